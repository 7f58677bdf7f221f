"""Circuit breakers of targets and entry VMs.

After repeated failures a breaker opens, and its target or entry VM gets no requests for
a while. Then the breaker is half-open: one request at a time is sent as a probe. A
successful probe closes it.
"""

import random

__all__ = ["CircuitBreakers"]

FAILURE_THRESHOLD = 3
INITIAL_OPEN_MS = 500
MAX_OPEN_MS = 10_000
MAX_BUSY_MS = 10_000
JITTER_RATIO = 0.3
EXPIRY_MS = 120_000
MAX_BREAKERS = 8192


class Breaker:
    """State of the breaker of one target or entry VM.

    `failures` counts consecutive failures. No request is sent before `open_until`. Then
    the breaker is half-open for as long as `open_ms` isn't 0, and `probing` is true
    while its one request is in flight.
    """

    __slots__ = ("updated_at", "failures", "open_ms", "probing", "open_until")

    def __init__(self, now):
        self.updated_at = now
        self.failures = 0
        self.open_ms = 0
        self.open_until = 0
        self.probing = False


class CircuitBreakers:
    """Circuit breakers by name; a name without one is usable.

    `seed`
        Seed of the random jitter (default none).
    """

    def __init__(self, clock, seed=None):
        self.clock = clock
        self.random = random.Random(seed)
        self.by_name = {}

    def is_usable(self, name):
        """Return whether a target or entry VM may get a request now."""
        breaker = self.by_name.get(name)
        if breaker is None:
            return True
        if self.clock.now() < breaker.open_until:
            return False
        return not (breaker.open_ms and breaker.probing)

    def record_start(self, name):
        """Record the start of a request; it is the probe if the breaker was open."""
        breaker = self.by_name.get(name)
        if breaker and breaker.open_ms:
            breaker.probing = True

    def record_success(self, name):
        """Record a complete response, and close the breaker."""
        self.by_name.pop(name, None)

    def record_abandoned(self, name):
        """Record a request that ended without a result, such as a cancelled one."""
        breaker = self.by_name.get(name)
        if breaker:
            breaker.probing = False

    def record_failure(self, name, open_now=False):
        """Record a failure; `open_now` opens the breaker at the first one."""
        breaker = self.get(name)
        breaker.failures += 1
        breaker.probing = False
        if open_now or breaker.open_ms or breaker.failures >= FAILURE_THRESHOLD:
            doubled = min(breaker.open_ms * 2, MAX_OPEN_MS)
            breaker.open_ms = max(doubled, INITIAL_OPEN_MS)
            self.block(breaker, breaker.open_ms)

    def record_busy(self, name, retry_after_ms):
        """Record that a target or entry VM asked not to be used for some time."""
        breaker = self.get(name)
        breaker.probing = False
        self.block(breaker, min(retry_after_ms, MAX_BUSY_MS))

    def block(self, breaker, ms):
        """Open the breaker; jitter keeps nodes from retrying at the same time."""
        jittered = ms * (1 + JITTER_RATIO * self.random.random())
        breaker.open_until = max(breaker.open_until, self.clock.now() + int(jittered))

    def get(self, name):
        """Return the breaker of a name, and create it if it has none."""
        now = self.clock.now()
        if name not in self.by_name:
            if len(self.by_name) >= MAX_BREAKERS:
                self.sweep(now)
            self.by_name[name] = Breaker(now)
        self.by_name[name].updated_at = now
        return self.by_name[name]

    def sweep(self, now):
        """Remove breakers whose last failure is long ago, or else the oldest one."""
        expired = [
            n for n, b in self.by_name.items() if now - b.updated_at >= EXPIRY_MS
        ]
        for name in expired or [
            min(self.by_name, key=lambda n: self.by_name[n].updated_at)
        ]:
            del self.by_name[name]
