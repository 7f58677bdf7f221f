"""How many entry VMs share a budget, counted so that too few are never assumed."""

import collections

from pollenmount.fleet.messages import ENTRY

__all__ = ["EntryCounter"]

COUNT_WINDOW_MS = 60_000
STARTUP_GRACE_MS = 3000
STARTUP_ENTRIES = 24


class EntryCounter:
    """Counts entry VMs, in all or in one region.

    The highest count of the last minute holds: VMs that can't be seen may go on using
    their part. Until the first links have settled, many are assumed.
    """

    def __init__(self, clock, members):
        self.clock = clock
        self.members = members
        self.started_at = clock.now()
        self.history_by_region = {}

    def entries(self, region=None):
        """Return the number of entry VMs to share with, this one included."""
        now = self.clock.now()
        count = sum(
            member.role == ENTRY and region in (None, member.region)
            for member in self.members.known()
        )
        history = self.history_by_region.setdefault(region, collections.deque())
        while history and (history[0][0] <= now - COUNT_WINDOW_MS):
            history.popleft()
        while history and history[-1][1] <= count:
            history.pop()
        history.append((now, count))
        if now - self.started_at < STARTUP_GRACE_MS:
            return max(STARTUP_ENTRIES, history[0][1])
        return max(1, history[0][1])
