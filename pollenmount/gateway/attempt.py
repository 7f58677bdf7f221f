"""One attempt at one target or at an entry VM of another region."""

import contextlib
from typing import NamedTuple

from pollenmount.gateway.call import Call, Response, ResponseHead
from pollenmount.gateway.dialect import AttemptInfo
from pollenmount.gateway.hop import raise_if_refused
from pollenmount.routes.plan import Repeat
from pollenmount.wire.connection import encode_request
from pollenmount.wire.errors import ExchangeError, MalformedAnswerError
from pollenmount.wire.events import EventSplitter

__all__ = [
    "Attempt",
    "AttemptDestination",
    "FailedResponseError",
    "MisdirectedError",
    "NotRunError",
    "ResponseObserver",
    "Sender",
]

MISDIRECTED_REQUEST = 421
SERVER_ERROR = 500
OK = 200
MULTIPLE_CHOICES = 300
MAX_FOREIGN_RESPONSES = 3
RESPONSE_GRACE_MS = 150
NON_IDEMPOTENT_MAX_IDLE_MS = 1000
MAX_COMPLETE_RESPONSE_BYTES = 8 << 20


class NotRunError(ExchangeError):
    """The target says that it did not run the request."""

    not_run = True

    def __init__(self, status):
        super().__init__(f"the target didn't run it ({status})")
        self.status = status


class MisdirectedError(NotRunError):
    """Another target answers at the address."""


class FailedResponseError(ExchangeError):
    """The target ran the request and answered with a failure; `response` is whole."""

    def __init__(self, response):
        super().__init__(f"the target failed ({response.head.status})")
        self.response = response


class AttemptDestination(NamedTuple):
    """Where an attempt is sent: `name` counts and marks it, `incarnation` is its start.

    `headers` are added for an entry VM of another region; `target` is the target's id,
    '' there.
    """

    name: str
    address: str
    incarnation: object
    region: str
    target: str
    headers: tuple[tuple[str, str], ...] = ()


class ResponseObserver:
    """Is told how an attempt's answer comes."""

    def on_first_byte(self):
        """Take in that the first byte of the body is there."""

    def on_delivered(self, event_id):
        """Take in that all events up to this number were handed on."""


class Attempt(NamedTuple):
    """A call at a place, going on after an event ('' for the beginning).

    `observer` is told of the first byte and of each event's number.
    """

    call: Call
    destination: AttemptDestination
    resume_after: str
    observer: ResponseObserver


class Sender:
    """Sends attempts over pooled connections and reads their answers."""

    def __init__(self, pool, dialect, clock):
        self.pool = pool
        self.dialect = dialect
        self.clock = clock

    def run(self, attempt):
        """Yield a `ResponseHead` and the answer's bytes, or raise `ExchangeError`.

        Whole answers come in one piece, streams event by event.
        """
        call, destination = attempt.call, attempt.destination
        key = (destination.name, destination.address)
        non_idempotent = not call.route.may_repeat
        connection = self.pool.take(
            key,
            destination.address,
            *((NON_IDEMPOTENT_MAX_IDLE_MS,) if non_idempotent else ()),
        )
        head = None
        try:
            connection.send(self.encode(attempt))
            head, info = self.read_head(connection, attempt)
            yield from self.read_response(connection, head, info, attempt)
        finally:
            if head is None:
                self.pool.discard(key, connection)
            else:
                self.pool.give_back(key, connection, head)

    def encode(self, attempt):
        """Return the bytes of the request."""
        call = attempt.call
        info = AttemptInfo(
            attempt.destination.target,
            max(1, call.deadline - self.clock.now()),
            call.route.rank,
            attempt.resume_after,
        )
        headers = self.dialect.attempt_headers(call.info, info)
        headers = (*headers, *attempt.destination.headers)
        return encode_request(call.method, call.target, headers, call.body)

    def left_ms(self, call):
        """Return the function that tells the time left for an answer."""
        deadline = call.deadline + RESPONSE_GRACE_MS
        return lambda: deadline - self.clock.now()

    def read_head(self, connection, attempt):
        """Return (head, info) of the call's own answer; late foreign ones are skipped.

        A target may answer an earlier request twice; the id tells.
        """
        left_ms = self.left_ms(attempt.call)
        for _ in range(MAX_FOREIGN_RESPONSES):
            head = connection.read_head(left_ms)
            raise_if_refused(head)
            info = self.dialect.read_response(head)
            if info.id == attempt.call.id or (info.not_run and not info.id):
                return head, info
            for _ in connection.read_body(head, attempt.call.method, left_ms):
                pass
            if not connection.reusable:
                break
        raise MalformedAnswerError("the answers are to other requests")

    def read_response(self, connection, head, info, attempt):
        """Yield the parts of the call's own answer."""
        call = attempt.call
        parts = connection.read_body(head, call.method, self.left_ms(call))
        with contextlib.closing(parts):
            if info.not_run or head.status == MISDIRECTED_REQUEST:
                for _ in parts:
                    pass
                kind = (
                    MisdirectedError
                    if head.status == MISDIRECTED_REQUEST
                    else NotRunError
                )
                raise kind(head.status)
            if OK <= head.status < MULTIPLE_CHOICES and not info.stamped:
                raise MalformedAnswerError(
                    "a success that the target doesn't vouch for"
                )
            destination = attempt.destination
            response_head = ResponseHead(
                head.status, info.headers, destination.target, destination.region
            )
            if call.route.repeat is Repeat.STREAM and head.status < MULTIPLE_CHOICES:
                yield from self.read_events(response_head, parts, attempt)
            else:
                yield from read_complete(response_head, parts, attempt)

    def read_events(self, head, parts, attempt):
        """Yield a stream's events as they come, each of them whole."""
        before = attempt.resume_after
        splitter = EventSplitter(int(before) if before.isdecimal() else None)
        started = False
        for part in parts:
            attempt.observer.on_first_byte()
            events = splitter.feed(part)
            if events and not started:
                started = True
                yield head
            if events:
                yield events
                attempt.observer.on_delivered(splitter.last_id)
        if not started:
            yield head
        if splitter.rest:
            yield splitter.rest


def read_complete(head, parts, attempt):
    """Yield an answer once it is whole; a failure is raised with it."""
    body = bytearray()
    for part in parts:
        attempt.observer.on_first_byte()
        body += part
        if len(body) > MAX_COMPLETE_RESPONSE_BYTES:
            raise ExchangeError("the answer is too long")
    response = Response(head, bytes(body))
    if head.status >= SERVER_ERROR:
        raise FailedResponseError(response)
    yield head
    yield response.body
