"""Clock of the time in which this process ran, without the pauses.

A process that was paused does not know what other VMs admitted meanwhile. What it may
use up is therefore not refilled for the time of the pause.
"""

__all__ = ["MAX_STEP_MS", "READ_INTERVAL_MS", "RunningClock"]

# A longer time between two readings counts as a pause from there on.
MAX_STEP_MS = 500
# At which the clock has to be read, so that an idle process does not seem to be paused.
READ_INTERVAL_MS = 100


class RunningClock:
    """Advances with `clock`, by at most `MAX_STEP_MS` between two readings."""

    def __init__(self, clock):
        self.clock = clock
        self.read_at = self.value = clock.now()

    def now(self):
        """Return milliseconds of running time."""
        now = self.clock.now()
        self.value += min(MAX_STEP_MS, now - self.read_at)
        self.read_at = now
        return self.value
