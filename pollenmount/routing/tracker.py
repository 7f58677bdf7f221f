"""What this node measures itself: requests in flight, waits and holding times.

Load reports of targets lag and may be wrong; these numbers are neither.
"""

import contextlib

__all__ = ["Measure", "Tracker"]

SMOOTHING = 0.2
IDLE_MS = 120_000
LATE_HALF_LIFE_MS = 5000
MAX_NAMES = 8192
START_HOLD_MS = 1000.0
FLEET = ""


class Measure:
    """Smoothed measurements of one target, entry VM or failure domain.

    `late_ms` is how much later than expected the first byte came; `hold_ms` how long a
    request stayed; `at` the time of the last change.
    """

    __slots__ = ("at", "hold_ms", "in_flight", "late_at", "late_ms", "samples")

    def __init__(self, now):
        self.in_flight = 0
        self.late_ms = 0.0
        self.late_at = now
        self.hold_ms = 0.0
        self.samples = 0
        self.at = now


class Tracker:
    """Counts and measures this node's own requests by name.

    The empty name stands for all of them together.
    """

    def __init__(self, clock):
        self.clock = clock
        self.by_name = {}

    def get(self, name):
        """Return the `Measure` of a name, new if it has none."""
        measure = self.by_name.get(name)
        if measure is None:
            if len(self.by_name) >= MAX_NAMES:
                self.sweep()
            measure = self.by_name[name] = Measure(self.clock.now())
        return measure

    def in_flight(self, name):
        """Return how many requests of this node are in flight at `name`."""
        measure = self.by_name.get(name)
        return measure.in_flight if measure else 0

    @contextlib.contextmanager
    def counted(self, *names):
        """Count one request in flight at each name while the context lasts."""
        measures = [self.get(name) for name in names]
        for measure in measures:
            measure.in_flight += 1
        try:
            yield
        finally:
            for measure in measures:
                measure.in_flight -= 1
                measure.at = self.clock.now()

    def late(self, name, late_ms):
        """Take in how much later than expected the first byte of an answer was."""
        measure = self.get(name)
        current = self.late_ms(name)
        measure.late_ms = current + SMOOTHING * (late_ms - current)
        measure.late_at = self.clock.now()

    def late_ms(self, name):
        """Return how much later than expected a first byte is; old news fades."""
        measure = self.by_name.get(name)
        if measure is None or not measure.late_ms:
            return 0.0
        age = self.clock.now() - measure.late_at
        return measure.late_ms * 0.5 ** (age / LATE_HALF_LIFE_MS)

    def held(self, name, hold_ms):
        """Take in how long a request held its slot."""
        for measure in (self.get(name), self.get(FLEET)):
            if not measure.samples:
                measure.hold_ms = float(hold_ms)
            measure.samples += 1
            measure.hold_ms += SMOOTHING * (hold_ms - measure.hold_ms)
            measure.at = self.clock.now()

    def hold_ms(self, name=FLEET):
        """Return how long a request is expected to stay at `name`."""
        for measure in (self.by_name.get(name), self.by_name.get(FLEET)):
            if measure and measure.samples:
                return measure.hold_ms
        return START_HOLD_MS

    def sweep(self):
        """Forget names that have been idle for long."""
        limit = self.clock.now() - IDLE_MS
        for name, measure in [*self.by_name.items()]:
            if not measure.in_flight and measure.at < limit:
                del self.by_name[name]
