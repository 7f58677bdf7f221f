"""Which entry VMs share the rate of a target that is cold, or has named a limit."""

import msgspec

from pollenmount.fleet.records import ENTRY
from pollenmount.fleet.selection import is_available, prefer_paths, select_senders

__all__ = ["SenderSelection"]


class SenderSelection:
    """Selects senders among the entry VMs that a control VM's fleet lists."""

    def __init__(self, fleet):
        self.fleet = fleet

    def of_cold(self, record):
        """Return the names of the VMs that may send to a target while it is cold."""
        plan = self.fleet.store.plan
        limits = plan.services.get(record.service) if plan else None
        if limits is None or limits.cold_per_s <= 0:
            return ()
        return self.of_rate(record, limits.cold_per_s)

    def of_rate(self, record, per_s):
        """Return the names of the VMs of a target's region that share its rate."""
        region = self.fleet.region_of(record.failure_domain)
        members = self.fleet.members.live_in(ENTRY, region)
        available = [member for member in members if is_available(member)]
        names = [member.name for member in prefer_paths(available)]
        return select_senders(record.id, per_s, names)

    def complete(self, message):
        """Return a `TargetLimited` with the VMs that may send to the target now.

        It stays as it is if the target is unknown, or names no limit any more.
        """
        known = self.fleet.targets.by_id.get(message.id)
        if known is None or message.per_s is None:
            return message
        senders = self.of_rate(known.record, message.per_s)
        return msgspec.structs.replace(message, senders=senders)
