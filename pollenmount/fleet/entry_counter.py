"""Count of the entry VMs that share a budget, erring on the high side."""

import collections
from typing import NamedTuple

__all__ = ["EntryCounter"]

COUNT_WINDOW_MS = 60_000
UNSETTLED_ENTRIES = 24


class OldCount(NamedTuple):
    """A count that another one replaced at `replaced_at`."""

    replaced_at: int
    count: int


class RegionCount:
    """Count of the entry VMs of one region, and recent higher counts."""

    def __init__(self):
        self.count = 0
        self.higher = collections.deque()

    def record(self, count, now):
        """Replace the count."""
        if count < self.count:
            self.higher.append(OldCount(now, self.count))
        self.count = count
        while self.higher and self.higher[-1].count <= count:
            self.higher.pop()

    def highest(self, now):
        """Return the highest count of the last `COUNT_WINDOW_MS`."""
        while self.higher and now - self.higher[0].replaced_at >= COUNT_WINDOW_MS:
            self.higher.popleft()
        return max(self.count, self.higher[0].count if self.higher else 0)


class EntryCounter:
    """Counts entry VMs, overall or in one region, from what control VMs report.

    Returns the highest count of the last minute, because VMs that have become
    unreachable may still use their share. Until a control VM has reported a settled
    count, this VM has no share, and a high count is assumed where one is needed.
    """

    def __init__(self, clock):
        self.clock = clock
        self.settled = False
        self.regions = {}

    def record(self, message):
        """Handle an `EntryCounts` message."""
        now = self.clock.now()
        self.settled = self.settled or message.settled
        for region in {*self.regions, *message.counts}:
            known = self.regions.setdefault(region, RegionCount())
            known.record(message.counts.get(region, 0), now)

    def entries(self, region=None):
        """Return the number of entry VMs, this one included, in a region or in all."""
        now = self.clock.now()
        count = sum(
            known.highest(now)
            for name, known in self.regions.items()
            if region in (None, name)
        )
        return max(1 if self.settled else UNSETTLED_ENTRIES, count)

    def share(self):
        """Return the share, 0 to 1, of this VM in a budget of all entry VMs."""
        return 1 / self.entries() if self.settled else 0.0
