"""Leases of actions: no action is settled while its holder's lease is valid."""

from types import SimpleNamespace

import pytest
from result import Err, Ok

from pollenmount.actions.lease import HOLD_MS, LEASE_MS, Lease
from pollenmount.actions.machine import ActionMachine
from pollenmount.actions.messages import ActionKey, ActionState, Holder, Reserve
from pollenmount.actions.runner import ActionRunner, Attempt
from pollenmount.actions.settler import Settler
from pollenmount.actions.ticker import Ticker
from pollenmount.clock import ManualClock
from pollenmount.errors import Refusal, RefusalKind
from pollenmount.routing.request import Chunk, Head

KEY = ActionKey("court", "f-1")
STEP_MS = 50


class SlowGroups:
    """A log that takes `delay_ms` to reply, or fails while it is `unreachable`."""

    unreachable = False

    def __init__(self, clock, delay_ms=0):
        self.clock = clock
        self.delay_ms = delay_ms
        self.machine = ActionMachine()

    def propose(self, group, command, answer_type):
        if self.unreachable:
            return Err(Refusal(RefusalKind.NO_QUORUM, "away", not_run=False))
        answer = self.machine.apply(command)
        self.clock.advance(self.delay_ms)
        return Ok(answer)


@pytest.mark.parametrize("idle_ms", [0, 400, 999, 5000, 29_999])
@pytest.mark.parametrize("tickers", [1, 2, 3])
def test_hold_outlasts_lease(idle_ms, tickers):
    clock = ManualClock()
    groups = SlowGroups(clock)
    machine = groups.machine
    voters = [Ticker(groups, "group", machine, clock) for _ in range(tickers)]
    for voter in voters:
        voter.step()
    clock.advance(idle_ms)
    lease = Lease(clock, "a", clock.now())
    machine.apply(Reserve(KEY, "digest", "a", Holder("vm", "1"), HOLD_MS))
    while machine.running:
        assert clock.now() < lease.started_at + 4 * LEASE_MS
        for voter in voters:
            voter.step()
        assert machine.running or not lease.is_valid()
        clock.advance(STEP_MS)


def test_lease_counts_from_before_the_proposal():
    clock = ManualClock(1000)
    groups = SlowGroups(clock)
    runner = ActionRunner(groups, clock, Holder("vm", "1"), None)
    groups.machine.apply(Reserve(KEY, "digest", "a", runner.holder, HOLD_MS))
    attempt = Attempt("group", KEY, Lease(clock, "a", clock.now()))
    clock.advance(3000)
    groups.delay_ms = LEASE_MS
    runner.renew(attempt)
    assert attempt.lease.started_at == 4000
    assert not attempt.lease.is_valid()


def test_forwarded_attempt_is_confirmed_only_while_it_is_the_holder():
    clock = ManualClock(1000)
    groups = SlowGroups(clock)
    runner = ActionRunner(groups, clock, Holder("vm", "1"), None)
    caller = SimpleNamespace(name="court", home="kigali")
    assert runner.confirm(caller, "f-1", "a") is None
    groups.machine.apply(Reserve(KEY, "digest", "a", runner.holder, HOLD_MS))
    assert runner.confirm(caller, "f-1", "a").is_valid()
    assert runner.confirm(caller, "f-1", "b") is None
    assert groups.machine.find(KEY).state is ActionState.RUNNING


def test_unrecorded_answer_is_returned_and_recorded_later():
    clock = ManualClock(1000)
    groups = SlowGroups(clock)
    runner = ActionRunner(groups, clock, Holder("vm", "1"), Settler(groups))
    groups.machine.apply(Reserve(KEY, "digest", "a", runner.holder, HOLD_MS))
    attempt = Attempt("group", KEY, Lease(clock, "a", clock.now()))
    groups.unreachable = True
    head, body = runner.record(attempt, (Head(201, (), "r", "t"), Chunk(b"receipt")))
    assert ("Pollenmount-Recorded", "pending") in head.headers
    runner.settler.step()
    assert groups.machine.find(KEY).state is ActionState.RUNNING
    groups.unreachable = False
    runner.settler.step()
    assert groups.machine.find(KEY).response.body == body.data
    assert not runner.settler.pending
