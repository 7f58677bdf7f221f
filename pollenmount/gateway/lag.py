"""Tracks how much later than expected targets have responded recently."""

from typing import NamedTuple

__all__ = ["LagTracker"]

SMOOTHING_FACTOR = 0.25
HALF_LIFE_MS = 2000.0
MAX_LAG_MS = 3000.0


class Lag(NamedTuple):
    """A moving average of lags, as of `recorded_at`."""

    ms: float
    recorded_at: int


class LagTracker:
    """Moving averages of lags by target, which decay with time."""

    def __init__(self, clock):
        self.clock = clock
        self.lags = {}

    def record(self, id_, lag_ms):
        """Record by how many milliseconds a response began later than expected."""
        lag_ms = min(max(lag_ms, 0.0), MAX_LAG_MS)
        value = self.current(id_)
        value += SMOOTHING_FACTOR * (lag_ms - value)
        self.lags[id_] = Lag(value, self.clock.now())

    def current(self, id_):
        """Return the lag of a target, decayed since it was recorded."""
        lag = self.lags.get(id_)
        if lag is None:
            return 0.0
        age_ms = self.clock.now() - lag.recorded_at
        return lag.ms * 0.5 ** (age_ms / HALF_LIFE_MS)

    def forget(self, id_):
        """Drop the state of a target that has left."""
        self.lags.pop(id_, None)
