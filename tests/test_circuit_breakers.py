"""How long a circuit breaker stays open."""

from pollenmount.circuit_breakers import BreakerTiming, CircuitBreakers
from pollenmount.clock import ManualClock

TIMING = BreakerTiming()
ATTEMPTS = 10
INTERVAL_MS = 10


def fail_one_after_the_other(breakers, clock, started_at):
    """Let attempts that are under way fail."""
    for _ in range(ATTEMPTS):
        breakers.record_failure("a", 1, open_now=True, started_at=started_at)
        clock.advance(INTERVAL_MS)


# Guards against breakers that stay open for longer, the more attempts were under way.
def test_attempts_that_were_under_way_lengthen_nothing():
    clock = ManualClock(1_000_000)
    breakers = CircuitBreakers(clock, TIMING)
    began_at = clock.now()
    fail_one_after_the_other(breakers, clock, began_at - 1)
    clock.advance(began_at + TIMING.initial_open_ms - clock.now() - 1)
    assert breakers.is_open("a", 1)
    clock.advance(1)
    assert not breakers.is_open("a", 1)


# Guards against a target that is down and gets a probe as often as at first.
def test_each_probe_that_fails_doubles_the_time():
    clock = ManualClock(1_000_000)
    breakers = CircuitBreakers(clock, TIMING)
    breakers.record_failure("a", 1, open_now=True, started_at=clock.now() - 1)
    open_ms = TIMING.initial_open_ms
    clock.advance(open_ms)
    while open_ms < TIMING.max_open_ms:
        breakers.start_probe("a", 1)
        started_at = clock.now()
        clock.advance(TIMING.probe_ms)
        # Another probe begins before the first one fails.
        breakers.start_probe("a", 1)
        clock.advance(INTERVAL_MS)
        breakers.record_failure("a", 1, started_at=started_at)
        open_ms *= 2
        clock.advance(open_ms - 1)
        assert breakers.is_open("a", 1)
        clock.advance(1)
        assert not breakers.is_open("a", 1)
