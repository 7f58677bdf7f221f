"""One attempt at one candidate: sends the call and yields the parts of the answer."""

import contextlib
from functools import singledispatch

from urllib3 import HTTPHeaderDict

from pollenmount.routing import forward
from pollenmount.routing.request import Chunk, Head, LocalTarget, RemoteEntry
from pollenmount.targets.upstream import UpstreamError, read_body

__all__ = ["HOP_HEADERS", "Attempter", "clean_headers"]

REQUEST_ID = "X-Request-Id"
NOT_RUN = "Pollenmount-Not-Run"
STREAM_END = b"data: [DONE]"
TAIL_BYTES = 64
UNAVAILABLE = 503

HOP_HEADERS = frozenset(
    {
        *("connection", "keep-alive", "proxy-authenticate", "proxy-authorization"),
        *("te", "trailer", "transfer-encoding", "upgrade", "content-length", "host"),
    }
)


def clean_headers(headers, dropped=HOP_HEADERS):
    """Return the headers without those that concern one connection only."""
    return tuple((k, v) for k, v in headers if k.lower() not in dropped)


class Attempter:
    """Runs attempts and counts those in flight at each target.

    `place` is the name of this node's region.
    """

    def __init__(self, upstream, clock, region, peer_key):
        self.upstream = upstream
        self.clock = clock
        self.region = region
        self.peer_key = peer_key
        self.in_flight = {}

    def run(self, candidate, call, number, fresh):
        """Yield `Head` and `Chunk`s of a whole answer, or raise `UpstreamError`."""
        return run_attempt(candidate, self, call, number, fresh)

    @contextlib.contextmanager
    def counted(self, name):
        """Count one request in flight at a target while the context lasts."""
        self.in_flight[name] = self.in_flight.get(name, 0) + 1
        try:
            yield
        finally:
            self.in_flight[name] -= 1
            if not self.in_flight[name]:
                del self.in_flight[name]

    def check_deadline(self, call):
        """Raise `UpstreamError` when the call's time is up."""
        if self.clock.now() >= call.deadline:
            raise UpstreamError("the deadline has passed")


@singledispatch
def run_attempt(candidate, attempter, call, number, fresh):
    """Run one attempt at a candidate."""
    raise TypeError(f"no candidate: {type(candidate).__name__}")


@run_attempt.register
def _(candidate: LocalTarget, attempter, call, number, fresh):
    said = candidate.target.said
    attempt_id = f"{call.id}-{number}"
    headers = HTTPHeaderDict(call.headers)
    headers[REQUEST_ID] = attempt_id
    if call.key:
        headers["Idempotency-Key"] = call.key
    with attempter.counted(said.name):
        response = attempter.upstream.open(
            said.address,
            call.method,
            call.path,
            headers,
            call.body,
            call.deadline - attempter.clock.now(),
            fresh,
        )
        parts = check_answer(response, attempt_id, attempter, call)
        head = Head(
            response.status,
            clean_headers(response.headers.items()),
            attempter.region,
            said.name,
        )
        yield head
        yield from parts


def check_answer(response, attempt_id, attempter, call):
    """Check an answer's head; return the generator of its checked parts."""
    if response.headers.get(NOT_RUN):
        response.close()
        raise UpstreamError("the target refused to run it", not_run=True)
    if response.headers.get(REQUEST_ID) != attempt_id:
        response.close()
        raise UpstreamError("the target answered another request")
    return checked_parts(response, attempter, call)


def checked_parts(response, attempter, call):
    """Yield the parts of an answer; raise if it isn't whole or in time."""
    tail = b""
    with contextlib.closing(read_body(response)) as parts:
        for data in parts:
            attempter.check_deadline(call)
            tail = (tail + data)[-TAIL_BYTES:]
            yield Chunk(data)
    if call.stream and response.status < 400 and STREAM_END not in tail:
        raise UpstreamError("the stream has no end mark")


@run_attempt.register
def _(candidate: RemoteEntry, attempter, call, number, fresh):
    member = candidate.member
    with attempter.counted(member.name):
        response = attempter.upstream.open(
            member.peers,
            "POST",
            forward.PATH,
            forward.encode_headers(call, attempter.clock.now(), attempter.peer_key),
            call.body,
            call.deadline - attempter.clock.now(),
            fresh,
        )
        forward.raise_refusal(response)
        yield forward.decode_head(response)
        yield from checked_parts(response, attempter, call)
