"""Sends one attempt to a target, or to an entry VM of another region."""

import contextlib
from typing import NamedTuple

from pollenmount.denials import DENIALS
from pollenmount.gateway.call import Call, Response, ResponseHead
from pollenmount.gateway.dialect import AttemptInfo
from pollenmount.gateway.hop import HOP_VERSION, is_hop_header, raise_if_refused
from pollenmount.gateway.target_pauses import bounded_pause_ms
from pollenmount.log import get_logger
from pollenmount.memory.response_room import ResponseRoomError, hold_response
from pollenmount.routes.plan import RetryMode
from pollenmount.stream_continuation import find_mismatch, is_event_stream
from pollenmount.wire.connection import MAX_INLINE_SEND_BYTES, encode_head
from pollenmount.wire.errors import (
    ExchangeError,
    MalformedResponseError,
    PeerUnreachableError,
    ResponseTimeoutError,
)
from pollenmount.wire.events import EventSplitter
from pollenmount.wire.numbers import parse_decimal
from pollenmount.wire.pool import MAX_IDLE_MS

__all__ = [
    "NO_CRASH_ERRORS",
    "Attempt",
    "AttemptDestination",
    "FailedResponseError",
    "MisdirectedError",
    "NoRoomError",
    "NotRunError",
    "ResponseObserver",
    "Sender",
    "StoppedError",
    "TargetPauseError",
    "UnfitResponseError",
    "connection_key",
    "is_success",
]

MISDIRECTED_REQUEST = 421
SERVER_ERROR = 500
UNAVAILABLE = 503
OK = 200
MULTIPLE_CHOICES = 300
MAX_FOREIGN_RESPONSES = 3
RESPONSE_GRACE_MS = 150
NON_IDEMPOTENT_MAX_IDLE_MS = 1000
MAX_COMPLETE_RESPONSE_BYTES = 8 << 20
# A response to another request may be as long as any; a refusal is far shorter.
MAX_DISCARDED_BYTES = MAX_COMPLETE_RESPONSE_BYTES

logger = get_logger("calls")


class NotRunError(ExchangeError):
    """The target reports that it did not run the request."""

    not_run = True

    def __init__(self, status):
        super().__init__(f"the target did not run the request (status {status})")
        self.status = status


class MisdirectedError(NotRunError):
    """Another target responded at the address, and did not run the request."""


class TargetPauseError(NotRunError):
    """The target did not run the request and wants none from this VM for a while."""

    def __init__(self, status):
        super().__init__(status)
        self.args = (f"the target asks for a pause (status {status})",)


class StoppedError(NotRunError):
    """This VM began to refuse requests before the attempt was sent."""

    def __init__(self):
        super().__init__(UNAVAILABLE)
        self.args = ("this VM is stopping",)


class FailedResponseError(ExchangeError):
    """The target failed and may have run the request.

    `response` is its complete response.
    """

    def __init__(self, response):
        super().__init__(f"the target failed with status {response.head.status}")
        self.response = response


class UnfitResponseError(ExchangeError):
    """The response does not go on with the stream that has begun."""


class NoRoomError(ExchangeError):
    """This VM has no memory for the response."""


# Errors that are no sign that the target has crashed.
NO_CRASH_ERRORS = (
    FailedResponseError,
    NoRoomError,
    UnfitResponseError,
    ResponseTimeoutError,
    PeerUnreachableError,
)


class AttemptDestination(NamedTuple):
    """Where an attempt is sent: a target, or an entry VM of another region.

    `name` is the key for loads and circuit breakers, and `incarnation` identifies the
    process start that is expected there. `target_id` is '' for an entry VM, to which
    `headers` are sent in addition. `version` is that of the target's software.
    """

    name: str
    address: str
    incarnation: object
    region: str
    target_id: str
    headers: tuple[tuple[str, str], ...] = ()
    version: str = ""

    @property
    def connection_key(self):
        """Return the key of its pooled connections: those to one process."""
        return connection_key(self.name, self.address, self.incarnation)


class ResponseObserver:
    """Callbacks for the progress of an attempt's response."""

    def on_send(self, remaining_ms):
        """Handle that the attempt is sent, with this time left for the response.

        An `ExchangeError` that it raises ends the attempt before it is sent.
        """

    def on_head(self, status, info):
        """Handle the arrival of the response's status and `ResponseInfo`."""

    def on_chunk(self):
        """Handle the arrival of a chunk of the body."""

    def on_delivered(self, event_id):
        """Handle that all events up to this number were passed on."""

    def may_abandon(self, stalled_ms):
        """Return whether to give up a silent peer; if not, wait until the deadline.

        It is called while nothing arrives, for `stalled_ms` so far.
        """
        return True


class Attempt(NamedTuple):
    """One attempt to run a call at a destination.

    The response resumes after the event `resume_after`, '' for the beginning.
    `observer` is notified of each chunk and of the number of each event passed on.
    `begun` is the head that the caller has of a stream that goes on, else None.
    """

    call: Call
    destination: AttemptDestination
    resume_after: str
    observer: ResponseObserver
    begun: ResponseHead | None = None


class Sender:
    """Sends attempts over pooled connections and reads the responses.

    `has_ended` returns whether the target at a destination crashed as it closed a
    connection in good order.
    """

    def __init__(self, pool, dialect, clock, has_ended):
        self.pool = pool
        self.dialect = dialect
        self.clock = clock
        self.has_ended = has_ended

    def run(self, attempt):
        """Yield a `ResponseHead` and the body, or raise `ExchangeError`.

        The body of a plain response is yielded in one piece, a stream event by event.
        """
        call, destination = attempt.call, attempt.destination
        key = destination.connection_key
        non_idempotent = not call.route.may_retry
        max_idle_ms = NON_IDEMPOTENT_MAX_IDLE_MS if non_idempotent else MAX_IDLE_MS
        connection = self.pool.acquire(key, destination.address, max_idle_ms, call.id)
        connection.may_abandon = attempt.observer.may_abandon
        head = None
        try:
            remaining_ms = max(1, call.deadline - self.clock.now())
            attempt.observer.on_send(remaining_ms)
            connection.send(*self.encode(attempt, remaining_ms))
            head, info = self.read_head(connection, attempt)
            attempt.observer.on_head(head.status, info)
            yield from self.read_response(connection, head, info, attempt)
        finally:
            if head is None:
                self.pool.discard(key, connection)
            else:
                self.pool.release(key, connection, head)

    def encode(self, attempt, remaining_ms):
        """Return the request as bytes on the wire, a large body as a part of its own.

        It is not held twice so.
        """
        call = attempt.call
        info = AttemptInfo(
            attempt.destination.target_id,
            remaining_ms,
            call.route.priority,
            attempt.resume_after,
            call.account,
        )
        headers = self.dialect.attempt_headers(call.info, info)
        headers = (*headers, *attempt.destination.headers)
        size = len(call.body)
        head = encode_head(call.method, call.request_target, headers, size)
        if size <= MAX_INLINE_SEND_BYTES:
            return (head + call.body,)
        return head, call.body

    def make_remaining_ms(self, call):
        """Return a function that returns the milliseconds left for a response."""
        deadline = call.deadline + RESPONSE_GRACE_MS
        return lambda: deadline - self.clock.now()

    def read_head(self, connection, attempt):
        """Return (head, info) of the response to this call.

        A target may respond twice to an earlier request on the same connection; such
        responses are recognized by their request id and skipped. A refusal without one
        may be a copy as well, unless this is the first request on the connection.
        One that ends with the connection is not read: nothing can follow it.
        """
        remaining_ms = self.make_remaining_ms(attempt.call)
        for _ in range(MAX_FOREIGN_RESPONSES):
            head = connection.read_head(remaining_ms)
            if not attempt.destination.target_id:
                raise_if_refused(head, attempt.call.id)
            info = self.dialect.read_response(head)
            if info.id == attempt.call.id:
                connection.ids.add(info.id, is_success(head.status))
                return head, info
            log_other_id(connection, attempt, head.status, info)
            if info.not_run and not info.id:
                if connection.requests_sent > 1:
                    raise MalformedResponseError("a refusal of an unknown request")
                connection.ids.add(info.id, False)
                return head, info
            if not head.is_framed:
                break
            discard(connection.read_body(head, attempt.call.method, remaining_ms))
            if not connection.reusable:
                break
        raise MalformedResponseError(
            "the connection has responses to other requests only"
        )

    def read_response(self, connection, head, info, attempt):
        """Yield the head and the body of the response to this call."""
        call = attempt.call
        parts = connection.read_body(head, call.method, self.make_remaining_ms(call))
        with contextlib.closing(parts):
            if not head.is_framed and attempt.destination.target_id:
                parts = self.check_end(parts, attempt)
            if info.not_run or head.status == MISDIRECTED_REQUEST:
                discard(parts)
                raise not_run_error(head.status, info)
            if is_success(head.status) and not info.stamped:
                raise MalformedResponseError(
                    "a success without the target's response stamp"
                )
            response_head = make_response_head(head, info, attempt.destination)
            raise_if_unfit(attempt.begun, response_head)
            if (
                call.route.retry_mode is RetryMode.STREAM
                and head.status < MULTIPLE_CHOICES
            ):
                yield from self.read_events(
                    response_head, parts, attempt, head.is_framed
                )
            else:
                length = parse_decimal(head.header("content-length")) or 0
                yield from self.read_complete(response_head, parts, attempt, length)

    def check_end(self, parts, attempt):
        """Yield a body that ends with its connection; raise if its target has crashed.

        It ends as a whole one would. Of a stream, the caller has all events already.
        """
        yield from parts
        is_stream = attempt.call.route.retry_mode is RetryMode.STREAM
        if self.has_ended(attempt.destination, is_stream):
            raise ExchangeError("the target ended while it sent the response")

    def read_complete(self, head, parts, attempt, length):
        """Yield a response once complete; raise `FailedResponseError` for a failure.

        That is a 5xx, or a status that denies a run, as the target has not marked the
        response with 'not run'. `length` is its announced size, 0 if there is none.
        """
        call = attempt.call
        with hold_response(call.holding, call.deadline) as hold:
            try:
                hold(min(length, MAX_COMPLETE_RESPONSE_BYTES), has_arrived=False)
                response = Response(head, collect(parts, attempt, hold))
            except ResponseRoomError as error:
                raise NoRoomError(str(error)) from error
            if head.status >= SERVER_ERROR or head.status in DENIALS:
                raise FailedResponseError(response)
        yield head
        yield response.body

    def read_events(self, head, parts, attempt, is_framed):
        """Yield the head and the complete events of a stream as they arrive.

        A stream that ends with its connection, and not after an event, was broken off.
        So was one that another response has begun, if it ends inside an event.
        """
        splitter = EventSplitter(
            parse_decimal(attempt.resume_after),
            is_checked=attempt.begun is not None or is_event_stream(head.headers),
            is_numbered=attempt.call.route.resumable,
        )
        started = False
        for part in parts:
            attempt.observer.on_chunk()
            events = splitter.feed(part)
            if events and not started:
                started = True
                yield head
            if events:
                yield events
                attempt.observer.on_delivered(splitter.last_id)
            splitter.raise_problem()
        rest = splitter.finish()
        if rest and attempt.begun or not is_framed and (rest or not started):
            raise ExchangeError("the stream ended inside an event")
        if not started:
            yield head
        if rest:
            yield rest


def raise_if_unfit(begun, head):
    """Raise `UnfitResponseError` unless a response goes on with the one `begun`."""
    if begun is None:
        return
    mismatch = find_mismatch(begun, head)
    if not mismatch and begun.version != head.version:
        mismatch = f"version {head.version!r} does not go on with {begun.version!r}"
    if mismatch:
        raise UnfitResponseError(mismatch)


def is_success(status):
    """Return whether a status says that the request succeeded."""
    return OK <= status < MULTIPLE_CHOICES


def make_response_head(head, info, destination):
    """Return the `ResponseHead` for the caller; the VM of a hop tells the version."""
    return ResponseHead(
        head.status,
        tuple(header for header in info.headers if not is_hop_header(header[0])),
        destination.target_id,
        destination.region,
        destination.version or head.header(HOP_VERSION.lower()),
    )


def log_other_id(connection, attempt, status, info):
    """Log a response without the id of the request that waits for one."""
    logger.info(
        "response without the request's id",
        extra={
            "request": attempt.call.id,
            "place": attempt.destination.name,
            "response_id": info.id,
            "status": status,
            "not_run": info.not_run,
            "connection_requests": connection.requests_sent,
        },
    )


def discard(parts):
    """Read a body to its end without keeping it.

    Raises `MalformedResponseError` if it is longer than any valid one.
    """
    remaining_bytes = MAX_DISCARDED_BYTES
    for part in parts:
        remaining_bytes -= len(part)
        if remaining_bytes < 0:
            raise MalformedResponseError("response to discard is too long")


def not_run_error(status, info):
    """Return the `NotRunError` for the status and the `ResponseInfo` of a response."""
    if status == MISDIRECTED_REQUEST:
        return MisdirectedError(status)
    if status == UNAVAILABLE and bounded_pause_ms(info.retry_after_s):
        return TargetPauseError(status)
    return NotRunError(status)


def connection_key(name, address, incarnation):
    """Return the pool's key for connections to one start of a target or VM."""
    return name, address, incarnation


def collect(parts, attempt, hold):
    """Return the body in parts; `hold` is called with the size that it has reached."""
    body = bytearray()
    for part in parts:
        attempt.observer.on_chunk()
        body += part
        if len(body) > MAX_COMPLETE_RESPONSE_BYTES:
            raise ExchangeError("the response body is too large")
        hold(len(body))
    return bytes(body)
