"""Rate limits, circuit breakers, call queues and retry budgets, and their bounds."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bench.virtual_time import Signal, VirtualTime
from pollenmount.circuit_breakers import CircuitBreakers
from pollenmount.clock import ManualClock
from pollenmount.errors import RefusalKind
from pollenmount.members.table import Member
from pollenmount.parts.routing import BREAKER_TIMING
from pollenmount.retry_budget import RetryBudget, RetryLimits
from pollenmount.routing.admit import Admission, get_share
from pollenmount.routing.queue import CallQueue
from tests.stateful.scripted import CALLERS, make_call

FIXED = settings(derandomize=True, database=None, deadline=None, max_examples=60)
LIMITED = CALLERS["free"]._replace(rate=5, tokens=600, concurrency=4)
TIMES = st.lists(st.integers(0, 400), max_size=200)


def member(name, region, stopping=False):
    return Member(name, "1", region, f"{region}-a", "", name, "", 1, stopping)


@FIXED
@given(TIMES)
def test_rate_holds_over_every_interval(gaps):
    clock = ManualClock()
    admission = Admission(clock)
    caller = LIMITED._replace(tokens=0, concurrency=0)
    admitted = []
    for gap in gaps:
        clock.advance(gap)
        refusal = admission.check(caller)
        if refusal is None:
            admitted.append(clock.now())
        else:
            assert refusal.kind is RefusalKind.RATE_LIMITED
            assert 0 < refusal.retry_after_ms <= 200
    for start in range(len(admitted)):
        for end in range(start, len(admitted)):
            interval_ms = admitted[end] - admitted[start]
            assert end - start + 1 <= 5 + 5 * interval_ms / 1000 + 1e-6


def test_refused_caller_is_admitted_after_retry_after():
    clock = ManualClock()
    admission = Admission(clock)
    admission.charge_tokens(LIMITED, 700)
    refusal = admission.check(LIMITED)
    assert "tokens" in refusal.message
    clock.advance(refusal.retry_after_ms - 1)
    assert admission.check(LIMITED)
    clock.advance(2)
    assert admission.check(LIMITED) is None


@FIXED
@given(st.integers(0, 5), st.integers(0, 5), st.sampled_from(["free", "bound", "near"]))
def test_shares_of_all_vms_add_up_to_the_limit(east, west, name):
    members = [member(f"e{i}", "east") for i in range(east)]
    members += [member(f"w{i}", "west") for i in range(west)]
    members += [member("n", "north", stopping=True)]
    caller = CALLERS[name]
    usable = [m for m in members if m.region in caller.regions and not m.stopping]
    total = sum(get_share(caller, own.region, members) for own in usable)
    assert total == pytest.approx(1.0 if usable else 0.0)


def test_breaker_allows_one_probe_then_closes():
    clock = ManualClock()
    breakers = CircuitBreakers(clock, BREAKER_TIMING, seed=1)
    for _ in range(3):
        assert breakers.is_usable("a")
        breakers.record_failure("a")
    assert not breakers.is_usable("a")
    clock.advance(700)
    assert breakers.is_usable("a")
    breakers.start_probe("a")
    assert not breakers.is_usable("a")
    breakers.record_failure("a")
    clock.advance(700)
    assert not breakers.is_usable("a")
    clock.advance(700)
    breakers.start_probe("a")
    breakers.record_success("a")
    assert breakers.is_usable("a")


@FIXED
@given(st.lists(st.booleans(), max_size=300), st.integers(0, 40))
def test_retries_stay_within_their_share(steps, gap_ms):
    """The share holds in every window."""
    clock = ManualClock(10_000)
    budget = RetryBudget(clock, RetryLimits(1000, 0.2, 3))
    requests, retries = [], []
    for is_retry in steps:
        clock.advance(gap_ms)
        now = clock.now()
        if not is_retry:
            requests.append(now)
            budget.record_request()
        elif budget.try_acquire():
            retries.append(now)
            recent_requests = sum(now - at < 1000 for at in requests)
            recent_retries = sum(now - at < 1000 for at in retries)
            assert recent_retries <= 3 + 0.2 * recent_requests + 1e-6


class QueueHarness:
    """Calls in a queue whose free slots a test sets."""

    def __init__(self, max_queued=4):
        self.time = VirtualTime()
        self.queue = CallQueue(self.time, lambda: Signal(self.time), max_queued)
        self.free_slots = 0
        self.started = []
        self.refused = []

    def has_capacity(self):
        return self.free_slots > 0

    def serve(self, call, wait_ms=lambda ahead: 0):
        refusal = self.queue.wait(call, self.has_capacity, wait_ms)
        if refusal:
            self.refused.append((call.id, self.time.value, refusal))
            return
        self.free_slots -= 1
        self.started.append(call.id)

    def start(self, name, class_, **options):
        call = make_call(name, "free", "chat", class_, self.time.now())
        self.time.spawn(self.serve, call, *options.values())
        self.time.run(self.time.value)

    def set_free_slots(self, free_slots):
        self.free_slots = free_slots
        self.queue.wake()
        self.time.run(self.time.value)


def test_interactive_starts_first_then_by_deadline():
    harness = QueueHarness()
    harness.start("d1", "deferred")
    harness.start("i1", "interactive")
    harness.start("d2", "deferred")
    harness.start("i2", "interactive")
    harness.set_free_slots(3)
    assert harness.started == ["i1", "i2", "d1"]
    harness.set_free_slots(1)
    assert harness.started[-1] == "d2"
    assert not harness.queue.by_offer and not harness.queue.queued_bytes


def test_deferred_starts_near_its_deadline_without_capacity():
    harness = QueueHarness()
    harness.start("d1", "deferred")
    harness.time.call_at(46_000, harness.queue.wake)
    harness.time.run(44_000)
    assert harness.started == []
    harness.time.run(46_000)
    assert harness.started == ["d1"]


# A node that stopped sent calls to targets that had waited until then.
def test_a_closed_queue_refuses_the_calls_in_it_and_those_to_come():
    harness = QueueHarness()
    for name, class_ in (
        ("i1", "interactive"),
        ("i2", "interactive"),
        ("d", "deferred"),
    ):
        harness.start(name, class_)
    harness.queue.close()
    harness.free_slots = 9
    harness.start("i3", "interactive")
    assert not harness.started
    assert sorted(name for name, _, _ in harness.refused) == ["d", "i1", "i2", "i3"]
    refusals = [refusal for _, _, refusal in harness.refused]
    assert all(r.not_run and r.kind is RefusalKind.STOPPING for r in refusals)


def test_full_queue_and_wait_past_the_deadline_are_refused_at_once():
    harness = QueueHarness(max_queued=1)
    harness.start("i1", "interactive")
    harness.start("i2", "interactive")
    harness.start("d1", "deferred", wait_ms=lambda ahead: 70_000)
    assert [(name, at) for name, at, _ in harness.refused] == [("i2", 0), ("d1", 0)]
    assert all(refusal.not_run for _, _, refusal in harness.refused)
    assert harness.refused[1][2].retry_after_ms == 70_000
