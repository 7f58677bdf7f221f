"""Count of the entry VMs that share a budget, erring on the high side."""

import collections

from pollenmount.fleet.messages import ENTRY

__all__ = ["EntryCounter"]

COUNT_WINDOW_MS = 60_000
STARTUP_GRACE_MS = 3000
STARTUP_ENTRIES = 24


class EntryCounter:
    """Counts entry VMs, overall or in one region.

    Returns the highest count of the last minute, because VMs that have become
    unreachable may still use their share. A high count is assumed during start-up,
    until the first links are established.
    """

    def __init__(self, clock, members):
        self.clock = clock
        self.members = members
        self.started_at = clock.now()
        self.history_by_region = {}

    def entries(self, region=None):
        """Return the number of entry VMs that share a budget, including this one."""
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
