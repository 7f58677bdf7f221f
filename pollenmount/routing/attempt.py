"""One attempt of a call at one candidate: sends it and yields the response."""

import contextlib
from functools import singledispatch

from pollenmount.denials import DENIALS
from pollenmount.documents import MAX_DURATION_MS
from pollenmount.errors import RefusalKind
from pollenmount.plans.plan import INTERACTIVE
from pollenmount.routing import forward
from pollenmount.routing.headers import (
    HOP_BY_HOP_HEADERS,
    request_headers,
    response_headers,
    strip_headers,
)
from pollenmount.routing.request import (
    Chunk,
    Head,
    LocalTarget,
    ModelRoute,
    RemoteEntry,
    is_idempotent,
)
from pollenmount.stream_continuation import is_event_stream
from pollenmount.targets.upstream import (
    ConnectError,
    FailedResponseError,
    UnfitResponseError,
    UnprovenDenialError,
    UpstreamError,
    UpstreamTimeoutError,
    read_body,
    set_read_timeout,
)
from pollenmount.wire.errors import MalformedResponseError
from pollenmount.wire.events import EventSplitter
from pollenmount.wire.numbers import parse_decimal

__all__ = [
    "BUSY_STATUSES",
    "FAILURE_STATUSES",
    "HOP_BY_HOP_HEADERS",
    "Attempter",
    "strip_headers",
]

REQUEST_ID_HEADER = "X-Request-Id"
NOT_RUN_HEADER = "Pollenmount-Not-Run"
RESUME_FROM_HEADER = "Pollenmount-Resume-From"
STREAM_END_MARK = b"\ndata: [DONE]"
# Enough for the end mark and trailing whitespace.
TAIL_BYTES = 64
BUSY_STATUSES = (429, 503)
FAILURE_STATUSES = (500, 502, 504)
FIRST_ERROR_STATUS = 400
STATUS_OK = 200
MS_PER_S = 1000
# Used if a busy target or entry VM asks for no delay.
DEFAULT_BUSY_MS = 500
MAX_BUSY_S = MAX_DURATION_MS // MS_PER_S
# A timeout after a shorter wait is due to the deadline of the call, not to the target.
MIN_TIMEOUT_FAILURE_MS = 1000
# Calls of other classes wait until their deadline.
FIRST_BYTE_TIMEOUT_MS = {INTERACTIVE: 10_000}
CHUNK_TIMEOUT_MS = 10_000


class Attempter:
    """Runs attempts, records their latency, and updates the circuit breakers.

    `region` is the name of this node's region.
    """

    def __init__(self, upstream, clock, region, peer_key, tracker, breakers):
        self.upstream = upstream
        self.clock = clock
        self.region = region
        self.peer_key = peer_key
        self.tracker = tracker
        self.breakers = breakers

    def find_refusal(self):
        """Return None: a call is not refused before its first attempt."""

    def run(self, candidate, call, number, fresh):
        """Yield the `Head` and the `Chunk`s of a response, or raise `UpstreamError`.

        `fresh` opens a new connection. The error is raised in the middle of a response
        if it ends early.
        """
        started_at = self.clock.now()
        self.breakers.start_probe(candidate.name)
        try:
            with self.tracker.count_in_flight(*in_flight_names(candidate)):
                parts = run_attempt(candidate, self, call, number, fresh)
                with contextlib.closing(parts):
                    head = next(parts)
                    first_byte_at = self.clock.now()
                    yield head
                    yield from parts
        except UpstreamError as error:
            self.record_failure(candidate, error, started_at)
            raise
        except BaseException:
            self.breakers.record_abandoned(candidate.name)
            raise
        self.breakers.record_success(candidate.name)
        self.record_latency(candidate, call, started_at, first_byte_at)

    def record_latency(self, candidate, call, started_at, first_byte_at):
        """Record the times of a complete response.

        The first byte of a non-streamed response arrives once all of it is generated,
        so only the total time is recorded.
        """
        name = latency_name(candidate)
        ended_at = self.clock.now()
        if call.stream:
            self.tracker.record_lateness(
                name, first_byte_at - started_at - candidate.expected_ms
            )
            self.tracker.record_hold_time(name, ended_at - first_byte_at)
        else:
            self.tracker.record_hold_time(
                name, max(ended_at - started_at - candidate.expected_ms, 1)
            )

    def record_failure(self, candidate, error, started_at):
        """Record a failed attempt, if the failure was the candidate's."""
        name = candidate.name
        waited_ms = self.clock.now() - started_at
        is_refused = isinstance(error, forward.ForwardRefusedError)
        if isinstance(error, UnprovenDenialError):
            # A service may answer single callers with such a status.
            self.breakers.record_success(name)
        elif is_refused and is_of_request(error):
            # It says something about the request, and nothing about the VM.
            self.breakers.record_abandoned(name)
        elif is_refused or error.retry_after_ms:
            self.breakers.record_busy(name, error.retry_after_ms or DEFAULT_BUSY_MS)
        elif (
            isinstance(error, UpstreamTimeoutError)
            and waited_ms < MIN_TIMEOUT_FAILURE_MS
        ):
            # The call was close to its deadline, so the candidate may be healthy.
            self.breakers.record_abandoned(name)
        else:
            is_unreachable = isinstance(error, ConnectError)
            self.breakers.record_failure(
                name, open_now=is_unreachable, started_at=started_at
            )
        if isinstance(error, UpstreamTimeoutError):
            self.tracker.record_lateness(latency_name(candidate), waited_ms)

    def open(self, address, method, path, headers, call, fresh):
        """Send a request; return the response, or raise an error after its timeout."""
        remaining_ms = call.deadline - self.clock.now()
        if sends_first_byte_early(call):
            remaining_ms = min(
                remaining_ms, FIRST_BYTE_TIMEOUT_MS.get(call.class_, remaining_ms)
            )
        return self.upstream.open(
            address, method, path, headers, call.body, remaining_ms, fresh, call.lease
        )


def is_of_request(error):
    """Return whether a `ForwardRefusedError` is about the request, not about its VM."""
    kind = error.refusal.kind
    return bool(error.quarantine_ms) or kind is RefusalKind.OUTCOME_UNKNOWN


def sends_first_byte_early(call):
    """Return whether a healthy target sends its first byte early.

    An engine sends a non-streamed response in one piece once it has generated all
    tokens, however long that takes.
    """
    if isinstance(call.route, ModelRoute):
        return call.stream
    return is_idempotent(call.route)


@singledispatch
def in_flight_names(candidate):
    """Return the names under which requests in flight at a candidate are counted."""
    return (candidate.name,)


@in_flight_names.register
def _(candidate: RemoteEntry):
    return candidate.member.name, candidate.member.failure_domain


def latency_name(candidate):
    """Return the name under which the latency of a candidate is recorded."""
    return in_flight_names(candidate)[-1]


@singledispatch
def run_attempt(candidate, attempter, call, number, fresh):
    """Run one attempt at a candidate; yield the `Head` and `Chunk`s."""
    raise TypeError(f"not a candidate: {type(candidate).__name__}")


@run_attempt.register
def _(candidate: LocalTarget, attempter, call, number, fresh):
    announcement = candidate.target.announcement
    attempt_id = f"{call.id}-{number}"
    headers = request_headers(call, attempt_id)
    response = attempter.open(
        announcement.address, call.method, call.path, headers, call, fresh
    )
    with contextlib.closing(response):
        check_response(response, attempt_id, call)
        head = Head(
            response.status,
            response_headers(response.headers.items()),
            attempter.region,
            announcement.name,
            announcement.resume and call.stream,
            announced_length(response),
        )
        yield head
        yield from read_response(response, attempter, call, head)


def announced_length(response):
    """Return the size of a body that a response announces, 0 if it does not."""
    return parse_decimal(response.headers.get("Content-Length", "")) or 0


def check_response(response, attempt_id, call):
    """Raise `UpstreamError` unless this is a response to this attempt.

    A target that refuses a request before it has read it may not name its id. On a
    connection that was used before, that may be a refusal of an earlier request.
    """
    id_ = response.headers.get(REQUEST_ID_HEADER)
    not_run = response.headers.get(NOT_RUN_HEADER)
    if not_run and (id_ == attempt_id or id_ is None and response.is_first):
        retry_ms = retry_after_ms(response)
        raise UpstreamError("the target refused to run the request", True, retry_ms)
    if id_ != attempt_id:
        raise UnfitResponseError(
            "the response is for another request (X-Request-Id differs)"
        )
    if is_idempotent(call.route):
        check_response_status(response)
    check_denial(response.status)
    resumed = response.headers.get(RESUME_FROM_HEADER, "0")
    if call.resume_from and (response.status, resumed) != (
        STATUS_OK,
        str(call.resume_from),
    ):
        raise UnfitResponseError("the target did not resume the stream")


def check_response_status(response):
    """Raise `UpstreamError` if an idempotent call should be retried elsewhere."""
    if response.status in BUSY_STATUSES:
        problem = f"the target is busy ({response.status})"
        raise FailedResponseError(problem, retry_after_ms=retry_after_ms(response))
    if response.status in FAILURE_STATUSES:
        raise FailedResponseError(f"the target failed ({response.status})")


def check_denial(status):
    """Raise `UpstreamError` for a status that denies a run which nothing disproves."""
    if status in DENIALS:
        problem = f"the target refused ({status}) and may have run the request"
        raise UnprovenDenialError(problem)


def retry_after_ms(response):
    """Return the delay that a target asks for in Retry-After, or the default."""
    seconds = parse_decimal(response.headers.get("Retry-After", ""), MAX_BUSY_S)
    return DEFAULT_BUSY_MS if seconds is None else seconds * MS_PER_S


def read_response(response, attempter, call, head):
    """Yield the chunks of a body, those of a stream in whole events.

    Raises `UpstreamError` if the body is truncated or late, or if there are bytes in a
    stream that are no event.
    """
    if not call.stream or head.status != STATUS_OK:
        yield from read_checked(response, attempter, call, head.status)
        return
    splitter = EventSplitter(is_checked=is_event_stream(head.headers))
    parts = read_checked(response, attempter, call, head.status, splitter)
    with contextlib.closing(parts):
        try:
            for part in parts:
                events = splitter.feed(part.data)
                if events:
                    yield Chunk(events)
                splitter.raise_problem()
            rest = splitter.finish()
        except MalformedResponseError as error:
            raise UnfitResponseError(str(error)) from error
    if rest:
        yield Chunk(rest)


def read_checked(response, attempter, call, status, splitter=None):
    """Yield the chunks of a body; raise `UpstreamError` if it is truncated or late.

    `status` is the HTTP status from the target. The end mark is required in streams
    only, and not in error responses. If the `splitter` that gets the chunks checks
    events, the next whole event has to come in time, not only the next bytes.
    """
    has_events = splitter is not None and splitter.is_checked
    events = 0
    expects_end_mark = call.stream and status < FIRST_ERROR_STATUS
    chunk_timeout_ms = CHUNK_TIMEOUT_MS if expects_end_mark else call.deadline
    tail = b"\n"
    now = attempter.clock.now
    set_read_timeout(response, min(chunk_timeout_ms, call.deadline - now()))
    try:
        with contextlib.closing(read_body(response)) as parts:
            for data in parts:
                remaining_ms = call.deadline - now()
                if remaining_ms <= 0:
                    raise UpstreamTimeoutError("the deadline has passed")
                if expects_end_mark:
                    tail = (tail + data)[-TAIL_BYTES:]
                yield Chunk(data)
                if has_events and splitter.count == events:
                    continue
                events = splitter.count if has_events else 0
                # The caller may have taken its time.
                remaining_ms = call.deadline - now()
                set_read_timeout(response, min(chunk_timeout_ms, remaining_ms))
    except UpstreamError:
        # The response is complete once the end mark has arrived.
        if not (expects_end_mark and has_end_mark(tail)):
            raise
    if expects_end_mark and not has_end_mark(tail):
        raise UpstreamError("the stream ended without its end mark")


def has_end_mark(tail):
    """Return whether the last bytes of a stream are the end mark."""
    return tail.rstrip().endswith(STREAM_END_MARK)


@run_attempt.register
def _(candidate: RemoteEntry, attempter, call, number, fresh):
    headers = forward.encode_headers(call, attempter.clock.now(), attempter.peer_key)
    response = attempter.open(
        candidate.member.peers, "POST", forward.PATH, headers, call, fresh
    )
    with contextlib.closing(response):
        forward.check_id(response, call)
        forward.raise_refusal(response)
        head = forward.decode_head(response)
        # VMs of earlier builds pass such a response on.
        check_denial(head.status)
        head = head._replace(length=announced_length(response))
        yield head
        yield from read_response(response, attempter, call, head)
