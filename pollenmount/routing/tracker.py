"""This node's own measurements: requests in flight, lateness and hold times.

Load reports of targets may be outdated or wrong; these numbers are neither.
"""

import contextlib

__all__ = ["Measurements", "Tracker"]

SMOOTHING_FACTOR = 0.2
IDLE_EXPIRY_MS = 120_000
LATE_HALF_LIFE_MS = 5000
MAX_NAMES = 8192
DEFAULT_HOLD_MS = 1000.0
ALL_NAMES = ""


class Measurements:
    """Smoothed measurements of one target, entry VM or failure domain.

    `late_ms` is how much later than expected the first byte arrived, as of `late_at`;
    `hold_ms` is how long a request occupied a slot; `samples` counts the measured hold
    times; `updated_at` is the time of the last update.
    """

    __slots__ = ("updated_at", "hold_ms", "in_flight", "late_at", "late_ms", "samples")

    def __init__(self, now):
        self.in_flight = 0
        self.late_ms = 0.0
        self.late_at = now
        self.hold_ms = 0.0
        self.samples = 0
        self.updated_at = now


class Tracker:
    """Counts and measures this node's own requests by target, entry VM or domain.

    The empty name stands for all of them together.
    """

    def __init__(self, clock):
        self.clock = clock
        self.by_name = {}

    def get(self, name):
        """Return the `Measurements` of a name, and create them if it has none."""
        measurements = self.by_name.get(name)
        if measurements is None:
            if len(self.by_name) >= MAX_NAMES:
                self.sweep()
            measurements = self.by_name[name] = Measurements(self.clock.now())
        return measurements

    def in_flight(self, name):
        """Return how many requests of this node are in flight at `name`."""
        measurements = self.by_name.get(name)
        return measurements.in_flight if measurements else 0

    @contextlib.contextmanager
    def count_in_flight(self, *names):
        """Context manager that counts one request in flight at each name."""
        all_measurements = [self.get(name) for name in names]
        for measurements in all_measurements:
            measurements.in_flight += 1
        try:
            yield
        finally:
            for measurements in all_measurements:
                measurements.in_flight -= 1
                measurements.updated_at = self.clock.now()

    def record_lateness(self, name, late_ms):
        """Record how much later than expected the first byte of a response arrived."""
        measurements = self.get(name)
        current = self.late_ms(name)
        measurements.late_ms = current + SMOOTHING_FACTOR * (late_ms - current)
        measurements.late_at = self.clock.now()

    def late_ms(self, name):
        """Return the smoothed lateness of first bytes, which decays by its age."""
        measurements = self.by_name.get(name)
        if measurements is None or not measurements.late_ms:
            return 0.0
        age_ms = self.clock.now() - measurements.late_at
        return measurements.late_ms * 0.5 ** (age_ms / LATE_HALF_LIFE_MS)

    def record_hold_time(self, name, hold_ms):
        """Record how long a request occupied a slot."""
        for measurements in (self.get(name), self.get(ALL_NAMES)):
            if not measurements.samples:
                measurements.hold_ms = float(hold_ms)
            measurements.samples += 1
            measurements.hold_ms += SMOOTHING_FACTOR * (hold_ms - measurements.hold_ms)
            measurements.updated_at = self.clock.now()

    def hold_ms(self, name=ALL_NAMES):
        """Return how long a request is expected to occupy a slot at `name`."""
        for measurements in (self.by_name.get(name), self.by_name.get(ALL_NAMES)):
            if measurements and measurements.samples:
                return measurements.hold_ms
        return DEFAULT_HOLD_MS

    def sweep(self):
        """Remove names that have been idle for longer than `IDLE_EXPIRY_MS`."""
        limit = self.clock.now() - IDLE_EXPIRY_MS
        for name, measurements in [*self.by_name.items()]:
            if not measurements.in_flight and measurements.updated_at < limit:
                del self.by_name[name]
