"""Circuit breakers for targets, VMs and regions, driven by this VM's requests."""

from typing import NamedTuple

__all__ = ["CircuitBreakers"]

INITIAL_OPEN_MS = 300
MAX_OPEN_MS = 2400
MAX_EXPONENT = 8
FAILURE_THRESHOLD = 3
MISDIRECTED_OPEN_MS = 10_000


class BreakerState(NamedTuple):
    """Consecutive failures of one incarnation, and until when nothing is sent to it."""

    failures: int
    open_until: int
    incarnation: object


class CircuitBreakers:
    """Circuit breakers by name; a state holds for one incarnation of a target only."""

    def __init__(self, clock):
        self.clock = clock
        self.states = {}

    def record_failure(self, name, incarnation=None, open_now=False):
        """Record a failure of the target; return whether it opened the breaker.

        The breaker opens after several failures in a row, with exponential backoff.
        `open_now` opens it at the first one; it is for failures to connect, and for a
        refusal by a region that certainly ran nothing.
        """
        known = self.states.get(name)
        failures = (
            known.failures + 1 if known and known.incarnation == incarnation else 1
        )
        if open_now:
            failures = max(failures, FAILURE_THRESHOLD)
        open_until = 0
        if failures >= FAILURE_THRESHOLD:
            exponent = failures - FAILURE_THRESHOLD
            open_ms = min(MAX_OPEN_MS, INITIAL_OPEN_MS << min(exponent, MAX_EXPONENT))
            open_until = self.clock.now() + open_ms
        self.states[name] = BreakerState(failures, open_until, incarnation)
        return failures == FAILURE_THRESHOLD

    def record_misdirected(self, name, incarnation=None):
        """Record that another target responded at the address."""
        self.states[name] = BreakerState(
            1, self.clock.now() + MISDIRECTED_OPEN_MS, incarnation
        )

    def record_success(self, name):
        """Record a success, which closes the breaker; return whether it was open."""
        state = self.states.pop(name, None)
        return state is not None and state.failures >= FAILURE_THRESHOLD

    def start_probe(self, name, incarnation=None):
        """Record that a request probes a target; further ones wait for its outcome."""
        state = self.states.get(name)
        if state is not None and state.incarnation == incarnation and state.open_until:
            open_until = self.clock.now() + INITIAL_OPEN_MS
            self.states[name] = state._replace(open_until=open_until)

    def has_failed(self, name, incarnation=None):
        """Return whether the last request to the target failed."""
        state = self.states.get(name)
        return state is not None and state.incarnation == incarnation

    def is_open(self, name, incarnation=None):
        """Return whether no request may be sent now."""
        state = self.states.get(name)
        is_current = state is not None and state.incarnation == incarnation
        return is_current and self.clock.now() < state.open_until

    def forget(self, id_):
        """Drop the state of a target that has left."""
        self.states.pop(id_, None)
