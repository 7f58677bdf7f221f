"""Clock in whole milliseconds.

Decisions use `now`, which is monotonic and includes time in which the VM was suspended;
`wall_time` is for timestamps that leave the process.
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
    """A clock that is advanced explicitly, for tests and simulations.

    `start`
        Initial value of both readings in milliseconds (default 0).
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
        """Advance the clock by `ms` milliseconds."""
        self.value += ms
