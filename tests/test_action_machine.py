"""State machine of the action log: grants, answers, conflicts and snapshots."""

import pytest

from pollenmount.actions import machine as machine_module
from pollenmount.actions.machine import MAX_TICK_MS, ActionMachine
from pollenmount.actions.messages import (
    ActionKey,
    ActionState,
    Holder,
    Renew,
    Reservation,
    Reserve,
    Settle,
    StoredResponse,
    Tick,
)

KEY = ActionKey("court", "f-1")
ANSWER = StoredResponse(201, (("Content-Type", "text/plain"),), b"receipt")
HOLD_MS = 2000
RETENTION_MS = 60_000
STEPS = HOLD_MS // MAX_TICK_MS + 1


def reserve(attempt, key=KEY, digest="digest", repeatable=False):
    return Reserve(key, digest, attempt, Holder("vm", "1"), HOLD_MS, repeatable)


def tick(machine, steps=1):
    for _ in range(steps):
        machine.apply(Tick(machine.time, MAX_TICK_MS, RETENTION_MS, 2 * RETENTION_MS))


@pytest.fixture
def machine():
    return ActionMachine()


def test_snapshot_keeps_answers_and_reservations(machine):
    machine.apply(reserve("a"))
    machine.apply(Settle(KEY, "a", ActionState.DONE, ANSWER))
    machine.apply(reserve("b", KEY._replace(key="f-2")))
    machine.apply(Settle(KEY, "c", ActionState.RELEASED))
    restored = ActionMachine()
    restored.restore(machine.snapshot())
    assert restored.apply(reserve("d")) == (ActionState.DONE, ANSWER)
    assert restored.snapshot() == machine.snapshot()
    assert restored.response_bytes == len(ANSWER.body)


def test_expired_hold_is_unknown_until_a_late_answer(machine):
    machine.apply(reserve("a"))
    tick(machine, STEPS - 1)
    assert machine.apply(reserve("b")).state is ActionState.RUNNING
    tick(machine)
    assert machine.apply(reserve("b")).state is ActionState.UNKNOWN
    assert machine.apply(Settle(KEY, "a", ActionState.DONE, ANSWER)).state == "done"
    assert machine.apply(reserve("b")) == (ActionState.DONE, ANSWER)


def test_renewed_hold_does_not_expire(machine):
    machine.apply(reserve("a"))
    for _ in range(5):
        tick(machine)
        assert machine.apply(Renew(KEY, "a", HOLD_MS)).state == "granted"
    assert machine.apply(Renew(KEY, "b", HOLD_MS)).state == "running"


def test_long_tick_does_not_expire_a_new_hold(machine):
    tick(machine, 3)
    machine.apply(reserve("a"))
    machine.apply(Tick(machine.time, 3_600_000, RETENTION_MS, RETENTION_MS))
    assert machine.apply(reserve("b")).state is ActionState.RUNNING


def test_two_ticks_of_one_interval_count_once(machine):
    ticks = [Tick(0, 400, RETENTION_MS, RETENTION_MS)] * 2
    assert [machine.apply(t) for t in ticks] == [(400, True), (400, False)]


def test_release_after_unknown_was_reported_keeps_the_key(machine):
    machine.apply(reserve("a"))
    tick(machine, STEPS)
    machine.apply(reserve("b"))
    assert machine.apply(Settle(KEY, "a", ActionState.RELEASED)).state == "unknown"
    assert machine.apply(reserve("c")).state is ActionState.UNKNOWN


def test_release_after_expiry_frees_the_key_if_unknown_was_not_reported(machine):
    machine.apply(reserve("a"))
    tick(machine, STEPS)
    assert machine.apply(Settle(KEY, "a", ActionState.RELEASED)).state == "released"
    assert machine.apply(reserve("b", digest="other")).state is ActionState.GRANTED


def test_attempt_that_was_never_granted_may_release_its_expired_hold(machine):
    machine.apply(reserve("a"))
    tick(machine, STEPS)
    assert machine.apply(reserve("a")).state is ActionState.RELEASED
    machine.apply(Settle(KEY, "a", ActionState.RELEASED))
    assert machine.apply(reserve("b")).state is ActionState.GRANTED


def test_reserve_that_arrives_after_its_release_is_not_granted(machine):
    machine.apply(Settle(KEY, "a", ActionState.RELEASED))
    assert machine.apply(reserve("a")).state is ActionState.RELEASED
    assert machine.apply(reserve("b")).state is ActionState.GRANTED


def test_repeatable_action_is_granted_again_but_never_released(machine):
    machine.apply(reserve("a", repeatable=True))
    machine.apply(Settle(KEY, "a", ActionState.UNKNOWN))
    assert machine.apply(reserve("b", repeatable=False)).state == "unknown"
    assert machine.apply(reserve("b", repeatable=True)).state == "granted"
    assert machine.apply(Settle(KEY, "b", ActionState.RELEASED)).state == "unknown"
    other = reserve("c", digest="other", repeatable=True)
    assert machine.apply(other).state is ActionState.CONFLICT


def test_late_answer_of_an_earlier_attempt_wins(machine):
    machine.apply(reserve("a", repeatable=True))
    tick(machine, STEPS)
    machine.apply(reserve("b", repeatable=True))
    machine.apply(Settle(KEY, "a", ActionState.DONE, ANSWER))
    second = ANSWER._replace(body=b"second")
    reply = machine.apply(Settle(KEY, "b", ActionState.DONE, second))
    assert reply == Reservation(ActionState.DONE, ANSWER)


def test_old_answers_then_old_keys_are_dropped(machine):
    machine.apply(reserve("a"))
    machine.apply(Settle(KEY, "a", ActionState.DONE, ANSWER))
    for _ in range(2):
        machine.apply(Tick(machine.time, RETENTION_MS, RETENTION_MS, 2 * RETENTION_MS))
    assert machine.apply(reserve("b")) == Reservation(ActionState.DONE, None)
    assert machine.response_bytes == 0
    for _ in range(2):
        machine.apply(Tick(machine.time, RETENTION_MS, RETENTION_MS, 2 * RETENTION_MS))
    assert machine.find(KEY) is None


def test_limits_on_keys_and_answer_bytes(machine, monkeypatch):
    monkeypatch.setattr(machine_module, "MAX_ACTIONS", 2)
    monkeypatch.setattr(machine_module, "MAX_TOTAL_RESPONSE_BYTES", len(ANSWER.body))
    for name in ("a", "b"):
        machine.apply(reserve(name, KEY._replace(key=name)))
        machine.apply(Settle(KEY._replace(key=name), name, ActionState.DONE, ANSWER))
    assert machine.apply(reserve("c")).state is ActionState.FULL
    kept = [machine.apply(reserve("x", KEY._replace(key=n))).response for n in "ab"]
    assert kept == [None, ANSWER]
