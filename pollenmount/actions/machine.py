"""State machine of a region's log of actions: what ran, runs, or may have run.

An action is a non-idempotent request, known by its caller and idempotency key.
"""

from enum import StrEnum
from functools import singledispatchmethod
from typing import NamedTuple

import msgspec

__all__ = [
    "ActionKey",
    "ActionMachine",
    "ActionState",
    "Reservation",
    "Reserve",
    "Settle",
    "StoredAnswer",
]


class ActionState(StrEnum):
    """Where an action stands."""

    GRANTED = "granted"
    RUNNING = "running"
    DONE = "done"
    RELEASED = "released"
    UNKNOWN = "unknown"
    CONFLICT = "conflict"


class ActionKey(NamedTuple):
    """Identity of an action: caller's name and the idempotency key."""

    caller: str
    key: str


class StoredAnswer(NamedTuple):
    """A whole answer, kept for repeats of the request."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class Reserve(NamedTuple):
    """Command: the right to run the action once, for one attempt."""

    key: ActionKey
    body_digest: str
    attempt: str


class Settle(NamedTuple):
    """Command: how the attempt ended (`done`, `released` or `unknown`)."""

    key: ActionKey
    attempt: str
    state: ActionState
    answer: StoredAnswer | None = None


class Reservation(NamedTuple):
    """Reply to a command: the state of the action, with the answer when done."""

    state: ActionState
    answer: StoredAnswer | None = None


class Action(NamedTuple):
    """One action in the log."""

    body_digest: str
    attempt: str
    state: ActionState
    answer: StoredAnswer | None = None


Actions = tuple[tuple[ActionKey, Action], ...]


class ActionMachine:
    """All actions of one region, by key."""

    commands = (Reserve, Settle)

    def __init__(self):
        self.actions = {}

    @singledispatchmethod
    def apply(self, command):
        """Apply one committed command and return its `Reservation`."""
        raise TypeError(f"no action command: {type(command).__name__}")

    @apply.register
    def _(self, command: Reserve):
        action = self.actions.get(command.key)
        if action is None or action.state is ActionState.RELEASED:
            self.actions[command.key] = Action(
                command.body_digest, command.attempt, ActionState.RUNNING
            )
            return Reservation(ActionState.GRANTED)
        if action.body_digest != command.body_digest:
            return Reservation(ActionState.CONFLICT)
        if action.state is ActionState.RUNNING and action.attempt == command.attempt:
            return Reservation(ActionState.GRANTED)
        return Reservation(action.state, action.answer)

    @apply.register
    def _(self, command: Settle):
        action = self.actions.get(command.key)
        if action is None or action.attempt != command.attempt:
            return Reservation(ActionState.UNKNOWN)
        if action.state is ActionState.RUNNING:
            action = action._replace(state=command.state, answer=command.answer)
            self.actions[command.key] = action
        return Reservation(action.state, action.answer)

    def snapshot(self):
        """Return the whole state as bytes."""
        return msgspec.msgpack.encode(tuple(self.actions.items()))

    def restore(self, data):
        """Replace the state by that of a snapshot."""
        self.actions = dict(msgspec.msgpack.decode(data, type=Actions))
