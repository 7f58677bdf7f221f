"""What this VM knew last of regions that its control VMs do not hear any more.

While control VMs are cut off from each other, entry VMs may still reach those of the
other regions. Calls that nothing else can take are sent to them as a last resort.
"""

from typing import NamedTuple

from pollenmount.fleet.records import ENTRY, ServiceCapacity

__all__ = ["RECORD_INTERVAL_MS", "LostRegions"]

RECORD_INTERVAL_MS = 500
# Longer than control VMs are usually cut off from each other.
RETENTION_MS = 20_000


class SeenCapacity(NamedTuple):
    """A capacity, and when control VMs reported it last."""

    row: ServiceCapacity
    seen_at: int


class SeenMembers(NamedTuple):
    """The entry VMs of a region, and when control VMs listed any of them last."""

    members: tuple
    seen_at: int


class LostRegions:
    """The newest capacities and entry VMs of other regions, kept for a while."""

    def __init__(self, fleet, clock):
        self.fleet = fleet
        self.clock = clock
        self.capacities = {}
        self.members = {}

    def record(self):
        """Record what control VMs report now; drop what they have not for long."""
        now = self.clock.now()
        for key, row in (self.fleet.capacities or {}).items():
            if row.targets:
                self.capacities[key] = SeenCapacity(row, now)
            members = self.fleet.members.known_in(ENTRY, row.region)
            if members:
                self.members[row.region] = SeenMembers(members, now)
        for table in (self.capacities, self.members):
            for key, seen in [*table.items()]:
                if now - seen.seen_at > RETENTION_MS:
                    del table[key]

    def rows(self):
        """Return the `ServiceCapacity` of each region and service that is kept."""
        return [seen.row for seen in self.capacities.values()]

    def members_in(self, region):
        """Return the entry VMs of a region: those listed now, else those kept."""
        listed = self.fleet.members.known_in(ENTRY, region)
        kept = self.members.get(region)
        return listed or (kept.members if kept else ())
