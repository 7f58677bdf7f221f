"""Commands and replies of a region's log of actions.

An action is a non-idempotent request, identified by its caller and idempotency key.
All times are log times: the sum of the milliseconds in `Tick` commands.
"""

from enum import StrEnum
from typing import NamedTuple

__all__ = [
    "Action",
    "ActionKey",
    "ActionState",
    "Holder",
    "LogTime",
    "Renew",
    "Reservation",
    "Reserve",
    "Settle",
    "StoredResponse",
    "Tick",
]


class ActionState(StrEnum):
    """State of an action, or the reason why a command was rejected."""

    GRANTED = "granted"
    RUNNING = "running"
    DONE = "done"
    RELEASED = "released"
    UNKNOWN = "unknown"
    CONFLICT = "conflict"
    FULL = "full"


class ActionKey(NamedTuple):
    """Identity of an action: the caller's name and the idempotency key."""

    caller: str
    key: str


class Holder(NamedTuple):
    """The VM that runs an attempt and the incarnation of its process."""

    vm: str
    incarnation: str


class StoredResponse(NamedTuple):
    """A complete response, kept for repeats of the request."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class Reserve(NamedTuple):
    """Command: reserve the right to run the action once, for one attempt.

    Nobody else settles the action before `hold_ms` have passed. `repeatable` says that
    the service itself ignores repeats of a key.
    """

    key: ActionKey
    body_digest: str
    attempt: str
    holder: Holder
    hold_ms: int
    repeatable: bool = False


class Renew(NamedTuple):
    """Command: extend the hold of the attempt to `hold_ms` from now."""

    key: ActionKey
    attempt: str
    hold_ms: int


class Settle(NamedTuple):
    """Command: record how the attempt ended (`done`, `released` or `unknown`)."""

    key: ActionKey
    attempt: str
    state: ActionState
    response: StoredResponse | None = None


class Tick(NamedTuple):
    """Command: `advance_ms` have passed since log time reached `from_log_time`.

    It is applied only if the log time is still `from_log_time`. Responses are kept for
    `response_retention_ms`, keys for `key_retention_ms`.
    """

    from_log_time: int
    advance_ms: int
    response_retention_ms: int
    key_retention_ms: int


class Reservation(NamedTuple):
    """Reply to a command on an action: its state, and the response if it is kept."""

    state: ActionState
    response: StoredResponse | None = None


class LogTime(NamedTuple):
    """Reply to a `Tick`: the log time, and whether the command advanced it."""

    time: int
    advanced: bool


class Action(NamedTuple):
    """One action in the log.

    `hold_end_or_settled_at` is the log time at which its hold ends while it runs, then
    that at which it was settled. `maybe_ran` says that an earlier attempt may have run,
    `reported_unknown` that a caller was told that the outcome is unknown.
    """

    body_digest: str
    attempt: str
    holder: Holder
    state: ActionState
    hold_end_or_settled_at: int
    repeatable: bool
    maybe_ran: bool = False
    reported_unknown: bool = False
    response: StoredResponse | None = None
