"""Table of members reported by several sources; live while any source lists them.

A source is a link, named by its address, or this VM itself. Members that no source
lists any more are kept for a while, as targets are.
"""

from typing import NamedTuple

from pollenmount.fleet.messages import MemberDown, MemberUp
from pollenmount.fleet.records import MemberRecord
from pollenmount.fleet.versioned_cache import VersionedCache

__all__ = ["MemberTable", "is_news"]

MEMBER_RETENTION_MS = 3000


class SourceEntry(NamedTuple):
    """A member's record from one source; `lost_at` is when that source lost it."""

    record: MemberRecord
    lost_at: int | None = None


class MemberTable:
    """Members by name, with one `SourceEntry` for each source."""

    def __init__(self, clock, on_change=lambda message, source: None):
        self.clock = clock
        self.on_change = on_change
        self.by_name = {}
        self.version = 0
        self.cache = VersionedCache(lambda: self.version)

    def handle_up(self, message, source):
        """Store the record that a source reports, and notify if the newest changed."""
        record = message.member
        sources = self.by_name.setdefault(record.name, {})
        before = self.get(record.name)
        was_listed = self.is_listed(record.name)
        if sources.get(source) == SourceEntry(record):
            return
        sources[source] = SourceEntry(record)
        for other, entry in [*sources.items()]:
            if other != source and entry.record.started < record.started:
                sources[other] = entry._replace(record=record)
        after = self.get(record.name)
        if before != after or not was_listed:
            self.version += 1
        if is_news(before, after) or not was_listed:
            self.on_change(message, source)

    def handle_down(self, message, source):
        """Mark a member as lost at a source; notify if no source lists it."""
        entry = self.by_name.get(message.name, {}).get(source)
        if entry is None or entry.record.incarnation != message.incarnation:
            return
        if entry.lost_at is None:
            sources = self.by_name[message.name]
            sources[source] = entry._replace(lost_at=self.clock.now())
            self.version += 1
            if not self.is_listed(message.name):
                self.on_change(message, source)

    def forget_source(self, source):
        """Mark all members of a source as lost there."""
        for name, sources in self.by_name.items():
            if source in sources:
                self.handle_down(
                    MemberDown(name, sources[source].record.incarnation), source
                )

    def is_listed(self, name):
        """Return whether some source lists the member."""
        sources = self.by_name.get(name, {})
        return any(entry.lost_at is None for entry in sources.values())

    def get(self, name):
        """Return the newest record of a member, or None."""
        sources = self.by_name.get(name)
        if not sources:
            return None
        records = (entry.record for entry in sources.values())
        return max(records, key=lambda record: (record.started, record.sequence))

    def record_from(self, name, source):
        """Return the record of a member that a source lists, or None."""
        entry = self.by_name.get(name, {}).get(source)
        return entry.record if entry and entry.lost_at is None else None

    def live(self):
        """Return the members that at least one source lists, as a tuple."""
        return self.cache.get("live", self.find_live)

    def known(self):
        """Return all members, including recently lost ones, as a tuple."""
        return self.cache.get("known", self.find_known)

    def live_in(self, role, region):
        """Return the live members of a role in a region, as a tuple."""
        return self.cache.get(
            ("live", role, region), lambda: filter_members(self.live(), role, region)
        )

    def known_in(self, role, region):
        """Return the known members of a role in a region, as a tuple."""
        return self.cache.get(
            ("known", role, region), lambda: filter_members(self.known(), role, region)
        )

    def find_live(self):
        """Compute `live`."""
        return tuple(self.get(name) for name in self.by_name if self.is_listed(name))

    def find_known(self):
        """Compute `known`."""
        return tuple(self.get(name) for name in self.by_name)

    def sweep(self):
        """Remove entries that their source lost more than `MEMBER_RETENTION_MS` ago."""
        now = self.clock.now()
        for name, sources in [*self.by_name.items()]:
            for source, entry in [*sources.items()]:
                if (
                    entry.lost_at is not None
                    and now - entry.lost_at > MEMBER_RETENTION_MS
                ):
                    del sources[source]
                    self.version += 1
            if not sources:
                del self.by_name[name]
                self.version += 1

    def snapshot(self, source=None):
        """Yield a `MemberUp` for each live member, or each one that `source` lists."""
        for record in self.live():
            if source is None or self.record_from(record.name, source):
                yield MemberUp(record)


def is_news(before, after):
    """Return whether other VMs must hear of a change of a member's record.

    Which plan a VM has is no news once it has one: each plan would otherwise make as
    many changes as there are VMs.
    """
    if before is None:
        return True
    plan = after.plan if before.plan and after.plan else before.plan
    return after != before._replace(sequence=after.sequence, plan=plan)


def filter_members(members, role, region):
    """Return the members of a role in a region, as a tuple."""
    return tuple(m for m in members if (m.role, m.region) == (role, region))
