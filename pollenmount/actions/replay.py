"""Responds to requests whose action is already in the log."""

from pollenmount.actions.messages import ActionState
from pollenmount.denials import DENIALS
from pollenmount.errors import Refusal, RefusalKind
from pollenmount.routing.request import Chunk, Head

__all__ = ["replay"]

RETRY_AFTER_MS = 1000
LOG_FULL_RETRY_AFTER_MS = 60_000
REPLAYED_HEADER = ("Pollenmount-Replayed", "yes")

REFUSAL_BY_STATE = {
    ActionState.CONFLICT: Refusal(
        RefusalKind.KEY_CONFLICT,
        "this idempotency key was used with another request; use a new key",
    ),
    ActionState.RUNNING: Refusal(
        RefusalKind.IN_PROGRESS,
        "this request is running; come back with the same key",
        not_run=False,
        retry_after_ms=RETRY_AFTER_MS,
    ),
    ActionState.DONE: Refusal(
        RefusalKind.ANSWER_GONE,
        "this request was run and answered; its answer is no longer kept and it is not "
        "run again, ask the service for the outcome",
        not_run=False,
    ),
    ActionState.UNKNOWN: Refusal(
        RefusalKind.OUTCOME_UNKNOWN,
        "the outcome of an earlier run with this key is unknown; it is not run "
        "again, ask the service whether it took effect",
        not_run=False,
    ),
    ActionState.RELEASED: Refusal(
        RefusalKind.NO_QUORUM,
        "the request was abandoned before it was sent; send it again",
        retry_after_ms=RETRY_AFTER_MS,
    ),
    ActionState.FULL: Refusal(
        RefusalKind.OVERLOADED,
        "the log of actions is full; retry later, or tell your operator",
        retry_after_ms=LOG_FULL_RETRY_AFTER_MS,
    ),
}


def replay(reservation):
    """Return the response's parts, or one `Refusal`, for a `Reservation`."""
    stored = reservation.response
    if stored is None:
        return (REFUSAL_BY_STATE[reservation.state],)
    if stored.status in DENIALS:
        # VMs of earlier builds recorded such responses, which prove nothing.
        return (REFUSAL_BY_STATE[ActionState.UNKNOWN],)
    head = Head(stored.status, (*stored.headers, REPLAYED_HEADER), "", "")
    return head, Chunk(stored.body)
