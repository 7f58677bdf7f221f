"""Serves a call with as many attempts as are safe and within the retry budget."""

import contextlib
import itertools

from pollenmount.denials import DENIALS
from pollenmount.errors import Refusal, RefusalKind
from pollenmount.memory.response_room import ResponseRoomError, hold_response
from pollenmount.routing.crash_guard import QuarantinedError
from pollenmount.routing.delivery import Delivery
from pollenmount.routing.forward import ForwardRefusedError
from pollenmount.routing.request import Chunk, Head, is_idempotent
from pollenmount.targets.upstream import UpstreamError

__all__ = ["BrokenResponseError", "Retries", "serve", "split_first_part"]

MAX_ATTEMPTS = 3
RETRY_AFTER_MS = 1000
MAX_BACKOFF_STEP_MS = 50
MAX_BUFFERED_BODY_BYTES = 8 << 20


class BrokenResponseError(Exception):
    """A response ended early after parts of it were delivered."""

    def __init__(self, refusal):
        super().__init__(refusal.message)
        self.refusal = refusal


class Retries:
    """Decides whether a call gets another attempt.

    `budget` is the retry budget of the node. `sleep` waits for some milliseconds, drawn
    from `random`. `on_retry` is called before each further attempt.
    """

    def __init__(self, budget, sleep, random, on_retry=lambda: None):
        self.budget = budget
        self.sleep = sleep
        self.random = random
        self.on_retry = on_retry

    def allows_another(self, call, failure, number, clock):
        """Return whether attempt `number + 1` is safe, in time and in the budget."""
        is_safe = failure.not_run or is_idempotent(call.route)
        if not is_safe or number >= MAX_ATTEMPTS or clock.now() >= call.deadline:
            return False
        if not self.budget.try_acquire():
            return False
        if number > 1:
            self.sleep(self.random.randint(0, MAX_BACKOFF_STEP_MS * number))
        self.on_retry()
        return clock.now() < call.deadline


def serve(call, candidates, attempter, retries):
    """Yield the parts of a response, or one `Refusal`.

    A streamed response is delivered as it arrives; if its target fails, another one
    resumes it after the delivered events where the targets support this. Other
    responses are buffered first, so that a target that fails in the middle costs only
    a retry. Raises `BrokenResponseError` if parts of a stream were delivered and no
    target can complete it. A call that comes here after its deadline is not sent.
    """
    if attempter.clock.now() < call.deadline:
        yield from run_attempts(call, candidates, attempter, retries)
    else:
        message = "its deadline passed before it was sent; allow more time"
        yield Refusal(RefusalKind.DEADLINE, message)


def run_attempts(call, candidates, attempter, retries):
    """Yield the parts of a response, or one `Refusal`, after one or more attempts."""
    delivery = Delivery(call.resume_from)
    failures = []
    for number in itertools.count(1):
        candidate = candidates.next(call)
        if candidate is None:
            break
        try:
            attempt = attempter.run(
                candidate, call, number, not is_idempotent(call.route)
            )
            with contextlib.closing(attempt) as parts:
                yield from (
                    delivery.deliver(parts) if call.stream else buffer_body(parts, call)
                )
            return
        except UpstreamError as error:
            failures.append(error)
        if isinstance(failures[-1], QuarantinedError):
            break
        if delivery.head and not delivery.resumable:
            break
        if not retries.allows_another(call, failures[-1], number, attempter.clock):
            break
        call = call._replace(resume_from=delivery.events)
    refusal = to_refusal(call, failures, attempter.clock.now())
    if delivery.head:
        raise BrokenResponseError(refusal)
    yield refusal


def buffer_body(parts, call):
    """Yield the head and the body of a response in one chunk, once it is complete.

    A body larger than the buffer is delivered from there on as it arrives.
    """
    head = next(parts)
    with hold_response(call.holding, call.deadline) as hold:
        try:
            chunk = collect_body(head, parts, hold)
        except ResponseRoomError as error:
            raise UpstreamError(str(error)) from error
        yield head
        yield chunk
    yield from parts


def collect_body(head, parts, hold):
    """Return the body as a `Chunk`, or its start; `hold` is called with its size."""
    hold(min(head.length, MAX_BUFFERED_BODY_BYTES), has_arrived=False)
    # The memory of many small parts would not be returned when they are joined.
    body = bytearray()
    for part in parts:
        body += part.data
        hold(len(body))
        if len(body) > MAX_BUFFERED_BODY_BYTES:
            break
    return Chunk(bytes(body))


def to_refusal(call, failures, now):
    """Return the refusal of a call whose attempts ended in `failures`.

    It says 'not run' only if that is certain for every attempt.
    """
    if not failures:
        message = "no target that may serve this is reachable; try again later"
        return Refusal(RefusalKind.NO_TARGET, message, retry_after_ms=RETRY_AFTER_MS)
    not_run = all(failure.not_run for failure in failures)
    if isinstance(failures[-1], QuarantinedError):
        return to_quarantine_refusal(call, failures, not_run, now)
    failure = failures[-1]
    if isinstance(failure, ForwardRefusedError):
        return to_own_refusal(failure.refusal, not_run)
    if now >= call.deadline and is_idempotent(call.route):
        message = "not completed before its deadline; allow more time"
        return Refusal(RefusalKind.DEADLINE, message, not_run=not_run)
    if is_idempotent(call.route) or not_run:
        message = f"the target failed ({failure}); send the request again"
        wait_ms = max(failure.retry_after_ms, RETRY_AFTER_MS)
        return Refusal(RefusalKind.TARGET_FAILED, message, not_run, wait_ms)
    message = (
        f"the outcome is unknown ({failure}); the request is not run again, "
        "ask the service whether it took effect"
    )
    return Refusal(RefusalKind.OUTCOME_UNKNOWN, message, not_run=False)


def to_quarantine_refusal(call, failures, not_run, now):
    """Return the refusal of a call that got no further attempt for a quarantine."""
    *earlier, quarantined = failures
    if not_run:
        return quarantined.refusal
    refusal = to_refusal(call, earlier, now)
    if refusal.retry_after_ms:
        return refusal._replace(retry_after_ms=quarantined.retry_after_ms)
    return refusal


def to_own_refusal(refusal, not_run):
    """Return the refusal of another VM as that of the whole call.

    Its status may say that the call has not run, which another attempt may have done.
    """
    if not not_run and refusal.status in DENIALS:
        kind = RefusalKind.TARGET_FAILED
        message = f"{refusal.message} (an earlier attempt may have run)"
        refusal = refusal._replace(kind=kind, message=message)
    return refusal._replace(not_run=not_run)


def split_first_part(parts):
    """Return the first part of a response (`Head` or `Refusal`) and the others."""
    first = next(parts)
    if isinstance(first, Head | Refusal):
        return first, parts
    raise TypeError(f"not the first part of a response: {type(first).__name__}")
