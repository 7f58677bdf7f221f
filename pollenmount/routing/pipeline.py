"""The way of a call to its answer, as generators over an immutable view."""

import contextlib

from pollenmount.errors import Refusal, RefusalKind
from pollenmount.routing.forward import ForwardRefusedError
from pollenmount.routing.request import Chunk, Head, is_idempotent
from pollenmount.targets.upstream import UpstreamError

__all__ = ["BrokenAnswerError", "attempts", "serve"]

MAX_ATTEMPTS = 3
RETRY_AFTER_MS = 1000


class BrokenAnswerError(Exception):
    """An answer broke off after parts of it were delivered."""

    def __init__(self, refusal):
        super().__init__(refusal.message)
        self.refusal = refusal


def serve(call, candidates, attempter, on_retry=lambda: None):
    """Yield the parts of an answer, or one `Refusal`.

    A streamed answer is passed on as it arrives; another is collected first, so that
    a target lost in mid-answer costs a retry. Raises `BrokenAnswerError` when parts of
    a stream were delivered already.
    """
    failure = None
    for number, candidate in enumerate(candidates, start=1):
        if number > MAX_ATTEMPTS:
            break
        if number > 1:
            on_retry()
        delivered = False
        try:
            run = attempter.run(candidate, call, number, not is_idempotent(call.route))
            with contextlib.closing(run) as parts:
                for part in parts if call.stream else collect(parts):
                    delivered = True
                    yield part
            return
        except UpstreamError as error:
            failure = error
            refusal = to_refusal(call, error, attempter.clock.now())
        if delivered:
            raise BrokenAnswerError(refusal)
        if not may_retry(call, failure, attempter.clock.now()):
            yield refusal
            return
    yield to_refusal(call, failure, attempter.clock.now())


def collect(parts):
    """Yield the head and the whole body of an answer, once it is complete."""
    head = next(parts)
    body = b"".join(part.data for part in parts)
    yield head
    yield Chunk(body)


def may_retry(call, failure, now):
    """Return whether another attempt is safe and in time."""
    return now < call.deadline and (failure.not_run or is_idempotent(call.route))


def to_refusal(call, failure, now):
    """Return the refusal for a call whose last attempt ended in `failure`."""
    if failure is None:
        message = "no target that may serve this is in reach; come back later"
        return Refusal(RefusalKind.NO_TARGET, message, retry_after_ms=RETRY_AFTER_MS)
    if isinstance(failure, ForwardRefusedError):
        return failure.refusal
    if now >= call.deadline and is_idempotent(call.route):
        message = "not answered before its deadline; allow more time"
        return Refusal(RefusalKind.DEADLINE, message, not_run=failure.not_run)
    if is_idempotent(call.route) or failure.not_run:
        message = f"the target failed ({failure}); send the request again"
        return Refusal(
            RefusalKind.TARGET_FAILED, message, failure.not_run, RETRY_AFTER_MS
        )
    message = (
        f"the outcome is unknown ({failure}); it is not run again, "
        "ask the service whether it took effect"
    )
    return Refusal(RefusalKind.OUTCOME_UNKNOWN, message, not_run=False)


def attempts(parts):
    """Split the parts of an answer into (head or refusal, rest)."""
    first = next(parts)
    if isinstance(first, Head | Refusal):
        return first, parts
    raise TypeError(f"an answer starts with {type(first).__name__}")
