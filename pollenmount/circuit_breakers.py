"""Circuit breakers of targets, VMs and regions, driven by this VM's requests.

After repeated failures a breaker opens, and its target gets no requests for a while.
Then the breaker is half-open: one request at a time is sent as a probe. A successful
probe closes it, a failed one opens it again for twice as long.
"""

import random
from typing import NamedTuple

__all__ = ["BreakerTiming", "CircuitBreakers"]

FAILURE_THRESHOLD = 3
MAX_EXPONENT = 8
MISDIRECTED_OPEN_MS = 10_000
MAX_BUSY_MS = 10_000
EXPIRY_MS = 120_000
MAX_BREAKERS = 8192


class BreakerTiming(NamedTuple):
    """How long breakers stay open, in milliseconds.

    A probe without an outcome blocks further ones for `probe_ms`. Open times are
    lengthened by up to `jitter_ratio`, so that VMs don't probe at the same time.
    """

    initial_open_ms: int = 300
    max_open_ms: int = 2400
    probe_ms: int = 300
    jitter_ratio: float = 0.0


class Breaker(NamedTuple):
    """Consecutive failures of one incarnation, and until when nothing is sent to it.

    `failed_at` is when the last one was counted.
    """

    failures: int
    open_until: int
    updated_at: int
    incarnation: object
    failed_at: int = 0

    @property
    def is_half_open(self):
        """Return whether the breaker has opened, and needs a success to close."""
        return self.failures >= FAILURE_THRESHOLD


class CircuitBreakers:
    """Circuit breakers by name; a state holds for one incarnation of a target only.

    `timing`
        A `BreakerTiming` (default: short times).
    `seed`
        Seed of the random jitter (default none).
    """

    def __init__(self, clock, timing=None, seed=None):
        self.clock = clock
        self.timing = timing or BreakerTiming()
        self.random = random.Random(seed)
        self.by_name = {}

    def is_open(self, name, incarnation=None):
        """Return whether no request may be sent now."""
        breaker = self.get(name, incarnation)
        return breaker is not None and self.clock.now() < breaker.open_until

    def last_failure_at(self, name, incarnation=None):
        """Return the time of the last failure or probe, None unless it has opened."""
        breaker = self.get(name, incarnation)
        is_failing = breaker is not None and breaker.is_half_open
        return breaker.updated_at if is_failing else None

    def is_usable(self, name):
        """Return whether a request may be sent now."""
        return not self.is_open(name)

    def get(self, name, incarnation):
        """Return the breaker of an incarnation, or None."""
        breaker = self.by_name.get(name)
        is_current = breaker is not None and breaker.incarnation == incarnation
        return breaker if is_current else None

    def start_probe(self, name, incarnation=None):
        """Record the start of a request; if it is a probe, others wait for it."""
        breaker = self.get(name, incarnation)
        if breaker is not None and breaker.is_half_open:
            self.block(name, breaker, self.timing.probe_ms)

    def record_abandoned(self, name):
        """Record a request that ended without a result, such as a cancelled one."""
        breaker = self.by_name.get(name)
        if breaker is not None and breaker.is_half_open:
            self.by_name[name] = breaker._replace(open_until=self.clock.now())

    def record_failure(self, name, incarnation=None, open_now=False, started_at=None):
        """Record a failure; return whether it opened the breaker.

        `open_now` opens it at the first failure; it is for failures to connect, and for
        refusals that certainly ran nothing. One of an attempt that had `started_at`
        before the last failure is no news of a target whose breaker has opened.
        """
        known = self.get(name, incarnation)
        if started_at is not None and is_outdated(known, started_at):
            return False
        failures = known.failures + 1 if known else 1
        if open_now:
            failures = max(failures, FAILURE_THRESHOLD)
        now = self.clock.now()
        breaker = Breaker(failures, 0, now, incarnation, now)
        self.store(name, breaker)
        if breaker.is_half_open:
            exponent = min(failures - FAILURE_THRESHOLD, MAX_EXPONENT)
            open_ms = self.timing.initial_open_ms << exponent
            self.block_with_jitter(name, breaker, min(open_ms, self.timing.max_open_ms))
        return failures == FAILURE_THRESHOLD

    def record_misdirected(self, name, incarnation=None):
        """Record that another target responded at the address."""
        breaker = Breaker(1, 0, self.clock.now(), incarnation)
        self.store(name, breaker)
        self.block(name, breaker, MISDIRECTED_OPEN_MS)

    def record_busy(self, name, retry_after_ms):
        """Record that a target asked not to be used for some time."""
        now = self.clock.now()
        breaker = self.by_name.get(name) or Breaker(0, 0, now, None)
        self.store(name, breaker)
        self.block_with_jitter(name, breaker, min(retry_after_ms, MAX_BUSY_MS))

    def record_success(self, name):
        """Record a success, which closes the breaker; return whether it was open."""
        breaker = self.by_name.pop(name, None)
        return breaker is not None and breaker.is_half_open

    def forget(self, name):
        """Drop the state of a target that has left."""
        self.by_name.pop(name, None)

    def block_with_jitter(self, name, breaker, ms):
        """Open a breaker for `ms` and up to a share of it more."""
        jitter = self.timing.jitter_ratio * self.random.random()
        self.block(name, breaker, int(ms * (1 + jitter)))

    def block(self, name, breaker, ms):
        """Open a breaker for `ms`."""
        now = self.clock.now()
        self.by_name[name] = breaker._replace(open_until=now + ms, updated_at=now)

    def store(self, name, breaker):
        """Store a breaker; if there are too many, remove old ones."""
        if name not in self.by_name and len(self.by_name) >= MAX_BREAKERS:
            self.sweep()
        self.by_name[name] = breaker

    def sweep(self):
        """Remove breakers whose last failure is long ago, or else the oldest one."""
        now = self.clock.now()
        expired = [
            n for n, b in self.by_name.items() if now - b.updated_at >= EXPIRY_MS
        ]
        for name in expired or [
            min(self.by_name, key=lambda n: self.by_name[n].updated_at)
        ]:
            del self.by_name[name]


def is_outdated(breaker, started_at):
    """Return whether a breaker had opened already when an attempt under way failed."""
    return (
        breaker is not None and breaker.is_half_open and started_at < breaker.failed_at
    )
