"""Clock in whole milliseconds.

Decisions use `now`, which never goes back and counts the time a VM was suspended;
`wall_time` is for records that people read.
"""

import time

__all__ = ["Clock", "ManualClock"]

NS_PER_MS = 1_000_000


class Clock:
    """The clock of this VM."""

    def now(self):
        """Return monotonic milliseconds, suspended time included."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // NS_PER_MS

    def wall_time(self):
        """Return milliseconds since the Unix epoch."""
        return time.time_ns() // NS_PER_MS


class ManualClock(Clock):
    """A clock that moves only when told to, for tests and models.

    `start`
        First value of both readings in milliseconds (default 0).
    """

    def __init__(self, start=0):
        self.value = start

    def now(self):
        """Return the current value."""
        return self.value

    def wall_time(self):
        """Return the current value."""
        return self.value

    def advance(self, ms):
        """Move the clock forward by `ms` milliseconds."""
        self.value += ms
