"""The log of actions: grants, answers, conflicts, and its snapshot."""

from pollenmount.actions.machine import (
    ActionKey,
    ActionMachine,
    ActionState,
    Reserve,
    Settle,
    StoredAnswer,
)

KEY = ActionKey("court", "f-1")
ANSWER = StoredAnswer(201, (("Content-Type", "text/plain"),), b"receipt")


def test_snapshot_keeps_answers_and_reservations():
    machine = ActionMachine()
    machine.apply(Reserve(KEY, "digest", "a"))
    machine.apply(Settle(KEY, "a", ActionState.DONE, ANSWER))
    machine.apply(Reserve(KEY._replace(key="f-2"), "digest", "b"))
    restored = ActionMachine()
    restored.restore(machine.snapshot())
    assert restored.apply(Reserve(KEY, "digest", "c")) == (ActionState.DONE, ANSWER)
    assert restored.snapshot() == machine.snapshot()
