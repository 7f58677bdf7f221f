"""How many entry VMs share a budget, counted so that too few are never assumed."""

import collections

from pollenmount.fleet.messages import ENTRY

__all__ = ["EntryCounter"]

MEMORY_MS = 60_000
SETTLE_MS = 3000
UNKNOWN_ENTRIES = 24


class EntryCounter:
    """Counts entry VMs, in all or in one region.

    The highest count of the last minute holds: VMs that can't be seen may go on using
    their part. Until the first links have settled, many are assumed.
    """

    def __init__(self, clock, members):
        self.clock = clock
        self.members = members
        self.began = clock.now()
        self.counts = {}

    def entries(self, region=None):
        """Return the number of entry VMs to share with, this one included."""
        now = self.clock.now()
        count = sum(
            member.role == ENTRY and region in (None, member.region)
            for member in self.members.known()
        )
        seen = self.counts.setdefault(region, collections.deque())
        while seen and (seen[0][0] <= now - MEMORY_MS):
            seen.popleft()
        while seen and seen[-1][1] <= count:
            seen.pop()
        seen.append((now, count))
        if now - self.began < SETTLE_MS:
            return max(UNKNOWN_ENTRIES, seen[0][1])
        return max(1, seen[0][1])
