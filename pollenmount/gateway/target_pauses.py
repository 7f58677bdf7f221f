"""Pauses: for how long targets, and services of regions, take nothing from this VM.

A target asks for a pause when it turns a request away. That is no failure: no success
of another request ends a pause, and no probe is sent during it. It holds for the VM
that was asked, and for one incarnation of the target.
"""

import math

__all__ = [
    "MAX_PAUSE_MS",
    "MAX_REGION_PAUSE_MS",
    "TargetPauses",
    "bounded_pause_ms",
    "spread_wait_ms",
]

MS_PER_S = 1000
# A target that wants more is asked once in this time, and says so again.
MAX_PAUSE_MS = 300_000
# Another VM or a new target of the region may take requests sooner.
MAX_REGION_PAUSE_MS = 10_000
MAX_PAUSES = 4096
# Callers who were told of the same end come back over this time after it.
MIN_SPREAD_MS = 500
SPREAD_SHARE = 0.25


class TargetPauses:
    """Pauses by name and incarnation, as `ends`: the times when they are over.

    The name is a target's id, or (region, service) for all its targets there.
    """

    def __init__(self, clock):
        self.clock = clock
        self.ends = {}

    def start(self, name, incarnation, ms):
        """Start a pause or lengthen it; return whether there was none."""
        is_new = not self.left_ms(name, incarnation)
        key = (name, incarnation)
        if key not in self.ends and len(self.ends) >= MAX_PAUSES:
            self.sweep()
        end = self.clock.now() + min(ms, MAX_PAUSE_MS)
        self.ends[key] = max(end, self.ends.get(key, end))
        return is_new

    def left_ms(self, name, incarnation=None):
        """Return how long a pause still lasts, 0 if there is none."""
        return max(0, self.ends.get((name, incarnation), 0) - self.clock.now())

    def forget(self, name):
        """Drop the pauses of a target that has left."""
        for key in [key for key in self.ends if key[0] == name]:
            del self.ends[key]

    def sweep(self):
        """Remove pauses that are over, or else the one that is over first."""
        now = self.clock.now()
        over = [key for key, end in self.ends.items() if end <= now]
        for key in over or [min(self.ends, key=self.ends.get)]:
            del self.ends[key]


def bounded_pause_ms(seconds):
    """Return a pause in milliseconds, 0 for a number that says nothing.

    `seconds` is as in `ResponseInfo.retry_after_s`.
    """
    if seconds is None or math.isnan(seconds) or seconds <= 0:
        return 0
    return math.ceil(min(seconds * MS_PER_S, MAX_PAUSE_MS))


def spread_wait_ms(pause_ms, random):
    """Return when a caller may come back after a pause, spread over a short time."""
    spread_ms = max(MIN_SPREAD_MS, SPREAD_SHARE * pause_ms)
    return math.ceil(pause_ms + spread_ms * random.random())
