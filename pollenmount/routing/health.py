"""Circuit breaking by target and entry VM.

After failures a name gets nothing for a while; then one request at a time is let
through as a probe, until one brings an answer.
"""

import random

__all__ = ["Health"]

FAILURES_TO_OPEN = 3
FIRST_PAUSE_MS = 500
MAX_PAUSE_MS = 10_000
MAX_BUSY_MS = 10_000
JITTER = 0.3
FORGET_MS = 120_000
MAX_NAMES = 8192


class Breaker:
    """State of one name.

    `failures` counts those in a row; no work before `until`; `probing` while a probe
    is under way.
    """

    __slots__ = ("at", "failures", "pause_ms", "probing", "until")

    def __init__(self, now):
        self.at = now
        self.failures = 0
        self.pause_ms = 0
        self.until = 0
        self.probing = False


class Health:
    """Breakers by name; a name without one is usable.

    `seed`
        Seed of the jitter (default none).
    """

    def __init__(self, clock, seed=None):
        self.clock = clock
        self.random = random.Random(seed)
        self.by_name = {}

    def usable(self, name):
        """Return whether a name may get a request now."""
        breaker = self.by_name.get(name)
        if breaker is None:
            return True
        if self.clock.now() < breaker.until:
            return False
        return not (breaker.pause_ms and breaker.probing)

    def begin(self, name):
        """Note that a request starts; it is the probe of a breaker that was open."""
        breaker = self.by_name.get(name)
        if breaker and breaker.pause_ms:
            breaker.probing = True

    def succeeded(self, name):
        """Note an answer: the breaker closes."""
        self.by_name.pop(name, None)

    def abandoned(self, name):
        """Note a request that was given up without telling anything."""
        breaker = self.by_name.get(name)
        if breaker:
            breaker.probing = False

    def failed(self, name, at_once=False):
        """Note a failure; `at_once` opens the breaker without waiting for more."""
        breaker = self.get(name)
        breaker.failures += 1
        breaker.probing = False
        if at_once or breaker.pause_ms or breaker.failures >= FAILURES_TO_OPEN:
            doubled = min(breaker.pause_ms * 2, MAX_PAUSE_MS)
            breaker.pause_ms = max(doubled, FIRST_PAUSE_MS)
            self.pause(breaker, breaker.pause_ms)

    def busy(self, name, retry_after_ms):
        """Note that a name asked for a pause."""
        breaker = self.get(name)
        breaker.probing = False
        self.pause(breaker, min(retry_after_ms, MAX_BUSY_MS))

    def pause(self, breaker, ms):
        """Let the breaker's name rest; jitter keeps nodes from coming back at once."""
        jittered = ms * (1 + JITTER * self.random.random())
        breaker.until = max(breaker.until, self.clock.now() + int(jittered))

    def get(self, name):
        """Return the breaker of a name, new if it has none."""
        now = self.clock.now()
        if name not in self.by_name:
            if len(self.by_name) >= MAX_NAMES:
                self.sweep(now)
            self.by_name[name] = Breaker(now)
        self.by_name[name].at = now
        return self.by_name[name]

    def sweep(self, now):
        """Forget names whose last failure is long ago; the oldest if none is."""
        old = [n for n, b in self.by_name.items() if now - b.at >= FORGET_MS]
        for name in old or [min(self.by_name, key=lambda n: self.by_name[n].at)]:
            del self.by_name[name]
