"""Runs an action at most once: reserved before it is sent, recorded after."""

import hashlib
import uuid

from result import Err

from pollenmount.actions.machine import (
    ActionKey,
    ActionState,
    Reservation,
    Reserve,
    Settle,
    StoredAnswer,
)
from pollenmount.errors import Refusal, RefusalKind
from pollenmount.routing.request import Chunk, Head

__all__ = ["ActionRunner", "group_name"]

RETRY_AFTER_MS = 1000
REPLAYED = ("Pollenmount-Replayed", "yes")


def group_name(region):
    """Return the name of a region's group of the action log."""
    return f"actions/{region}"


class ActionRunner:
    """Runs actions through the log of the caller's home region."""

    def __init__(self, groups):
        self.groups = groups

    def run(self, call, serve):
        """Yield the answer's parts or one `Refusal`.

        `serve` yields the parts of a first run; it is called only with a reservation
        in hand.
        """
        group = group_name(call.caller.home)
        key = ActionKey(call.caller.name, call.key)
        attempt = uuid.uuid4().hex
        command = Reserve(key, digest_call(call), attempt)
        reserved = self.groups.propose(group, command, Reservation)
        if isinstance(reserved, Err):
            # Nothing was sent to a target, whatever became of the reservation.
            yield reserved.err_value._replace(not_run=True)
            return
        reservation = reserved.ok_value
        if reservation.state is not ActionState.GRANTED:
            yield from replay(reservation)
            return
        parts = tuple(serve())
        settlement = settle(key, attempt, parts)
        recorded = self.groups.propose(group, settlement, Reservation)
        if isinstance(recorded, Err) and settlement.state is ActionState.DONE:
            yield unrecorded()
            return
        yield from parts


def digest_call(call):
    """Return the digest by which a repeat is told from another request."""
    text = f"{call.method} {call.path}\n".encode()
    return hashlib.sha256(text + call.body).hexdigest()


def settle(key, attempt, parts):
    """Return the command that records how an attempt ended."""
    head = parts[0]
    if isinstance(head, Refusal):
        state = ActionState.RELEASED if head.not_run else ActionState.UNKNOWN
        return Settle(key, attempt, state)
    body = b"".join(part.data for part in parts[1:])
    answer = StoredAnswer(head.status, head.headers, body)
    return Settle(key, attempt, ActionState.DONE, answer)


def replay(reservation):
    """Yield the answer to a request that was reserved before."""
    if reservation.state is ActionState.DONE:
        stored = reservation.answer
        yield Head(stored.status, (*stored.headers, REPLAYED), "", "")
        yield Chunk(stored.body)
    elif reservation.state is ActionState.CONFLICT:
        message = "this idempotency key was used with another request; use a new key"
        yield Refusal(RefusalKind.KEY_CONFLICT, message)
    elif reservation.state is ActionState.RUNNING:
        message = "this request is running; come back with the same key"
        yield Refusal(RefusalKind.IN_PROGRESS, message, False, RETRY_AFTER_MS)
    else:
        message = (
            "the outcome of an earlier run with this key is unknown; it is not run "
            "again, ask the service whether it took effect"
        )
        yield Refusal(RefusalKind.OUTCOME_UNKNOWN, message, not_run=False)


def unrecorded():
    """Return the refusal for an answer that couldn't be recorded."""
    message = (
        "it was run but its answer could not be recorded; come back with the same key"
    )
    return Refusal(RefusalKind.OUTCOME_UNKNOWN, message, False, RETRY_AFTER_MS)
