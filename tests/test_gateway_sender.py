"""Attempts over a connection: matching and passing on of responses."""

import pytest

from pollenmount.clock import ManualClock
from pollenmount.gateway.attempt import (
    MAX_DISCARDED_BYTES,
    Attempt,
    AttemptDestination,
    FailedResponseError,
    MisdirectedError,
    NotRunError,
    ResponseObserver,
    Sender,
)
from pollenmount.gateway.call import ErrorResponse, ResponseHead
from pollenmount.gateway.hop import HopRefusedError, id_headers, refusal_headers
from pollenmount.routes.plan import RetryMode
from pollenmount.wire.connection import Connection, HttpResponseHead
from pollenmount.wire.errors import ExchangeError, MalformedResponseError
from pollenmount.wire.pool import DEFAULT_MAX_IDLE_MS, idle_limit_ms
from tests.gateway_harness import EntryHarness, make_route
from tests.test_platform_adapter import DIALECT

STAMP = "X-Pollenmount-Response-Stamp: 3e\r\n"
STREAM = make_route(RetryMode.STREAM)
BLOCK = b"x" * 65_536


def response_bytes(id_="id-1", status=200, body=b"done", extra=STAMP):
    head = f"HTTP/1.1 {status} X\r\nX-Pollenmount-Attempt-Id: {id_}\r\n{extra}"
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


class ScriptedConnection(Connection):
    """A connection that receives given blocks and then ends or is reset."""

    def __init__(self, blocks, reset):
        super().__init__(None)
        self.blocks = [*blocks]
        self.reset = reset
        self.sent = b""

    def send_all(self, data):
        self.sent += data
        self.unsent_bytes = 0

    def receive_more(self, remaining_ms):
        if not self.blocks and self.reset:
            raise ExchangeError("reset")
        block = self.blocks.pop(0) if self.blocks else b""
        self.buffer += block
        self.eof_received = not block
        return bool(block)

    def close(self):
        self.reusable = False


class ScriptedPool:
    """Pool of one connection; `returned` tells whether it came back reusable."""

    def __init__(self, connection):
        self.connection = connection
        self.returned = None

    def acquire(self, key, address, *max_idle_ms):
        return self.connection

    def release(self, key, connection, head):
        self.returned = connection.reusable

    def discard(self, key, connection):
        self.returned = False


def run(*blocks, route=None, reset=False, target="a"):
    """Return (parts, pool) of one attempt, at a VM of another region if no target."""
    pool = ScriptedPool(ScriptedConnection(blocks, reset))
    sender = Sender(pool, DIALECT, ManualClock(1_000_000), lambda *args: False)
    call = EntryHarness().make_call(route)
    destination = AttemptDestination("a", "a:1", 1, "west", target)
    parts = []
    try:
        for part in sender.run(Attempt(call, destination, "", ResponseObserver())):
            parts.append(part)
    except ExchangeError as error:
        parts.append(error)
    return parts, pool


def test_a_complete_response_is_yielded_in_one_piece():
    parts, pool = run(response_bytes()[:30], response_bytes()[30:])
    assert parts[0].status == 200
    assert parts[1:] == [b"done"]
    assert pool.returned


def test_a_late_response_to_another_request_is_skipped():
    """A target may respond twice; the second is then read as the next response."""
    parts, _ = run(response_bytes("id-0", body=b"other") + response_bytes())
    assert parts[1:] == [b"done"]


# Guards against a request that waits until its deadline for the end of a late copy,
# which only the end of the connection would tell.
def test_the_end_of_another_response_without_a_length_is_not_waited_for():
    head = response_bytes("id-0").replace(b"Content-Length: 4\r\n", b"")
    parts, pool = run(head, reset=True)
    assert isinstance(parts[0], MalformedResponseError)
    assert not pool.returned


def test_only_a_response_to_another_request_is_an_error():
    parts, pool = run(response_bytes("id-0"))
    assert isinstance(parts[0], ExchangeError)
    assert not pool.returned


def test_a_success_without_the_response_stamp_is_an_error():
    parts, _ = run(response_bytes(extra=""))
    assert isinstance(parts[0], ExchangeError)


@pytest.mark.parametrize("data", [b"\x00\x01garbage\r\n\r\n", b"HTTP/9.1 200\r\n\r\n"])
def test_bytes_that_are_not_http_are_not_passed_on(data):
    parts, pool = run(data)
    assert isinstance(parts[0], ExchangeError)
    assert not pool.returned


def test_a_truncated_response_is_not_passed_on():
    parts, _ = run(response_bytes()[:-2])
    assert isinstance(parts[-1], ExchangeError)
    assert not any(isinstance(part, ResponseHead) for part in parts)


def test_not_run_and_misdirected_responses_raise():
    parts, _ = run(response_bytes(status=503, extra="X-Pollenmount-Not-Run: 1\r\n"))
    assert isinstance(parts[0], NotRunError)
    parts, _ = run(response_bytes(status=421, extra=""))
    assert isinstance(parts[0], MisdirectedError)
    assert parts[0].not_run


def test_an_error_response_keeps_status_and_body():
    parts, _ = run(response_bytes(status=500, body=b"no"))
    assert isinstance(parts[0], FailedResponseError)
    assert parts[0].response.body == b"no"


def test_complete_events_are_passed_on_as_they_come():
    head = response_bytes(body=b"").replace(
        b"Content-Length: 0", b"Transfer-Encoding: chunked"
    )
    blocks = [head, b"7\r\nid: 1\n\n\r\n", b"4\r\nid: \r\n", b"3\r\n2\n\n\r\n"]
    parts, pool = run(*blocks, b"0\r\n\r\n", route=STREAM)
    assert parts[1:] == [b"id: 1\n\n", b"id: 2\n\n"]
    assert pool.returned


def test_a_stream_cut_within_an_event_ends_with_the_one_before():
    head = response_bytes(body=b"").replace(
        b"Content-Length: 0", b"Transfer-Encoding: chunked"
    )
    parts, pool = run(head, b"a\r\nid: 1\n\nid:\r\n", route=STREAM)
    assert parts[1] == b"id: 1\n\n"
    assert isinstance(parts[2], ExchangeError)
    assert not pool.returned


def test_a_reset_response_without_length_is_incomplete():
    head = response_bytes(body=b"").replace(b"Content-Length: 0\r\n", b"")
    parts, _ = run(head, b"done")
    assert parts[1:] == [b"done"]
    parts, _ = run(head, b"done", reset=True)
    assert isinstance(parts[-1], ExchangeError)


def endless_body(head):
    """Return blocks of a body without length, longer than any that is discarded."""
    head = head.replace(b"Content-Length: 0\r\n", b"")
    return [head, *[BLOCK] * (2 * MAX_DISCARDED_BYTES // len(BLOCK))]


# Guards against a VM that reads bytes which nobody gets until the caller's deadline.
@pytest.mark.parametrize(
    "head",
    [
        response_bytes("id-0", body=b""),
        response_bytes(status=503, body=b"", extra="X-Pollenmount-Not-Run: 1\r\n"),
        response_bytes(status=421, body=b""),
    ],
)
def test_an_endless_body_to_discard_is_malformed(head):
    parts, pool = run(*endless_body(head))
    assert [type(part) for part in parts] == [MalformedResponseError]
    assert not parts[0].not_run
    assert not pool.returned
    unread_bytes = sum(map(len, pool.connection.blocks))
    assert unread_bytes >= MAX_DISCARDED_BYTES - 2 * len(BLOCK)


def test_a_long_response_to_another_request_is_discarded():
    body = b"x" * MAX_DISCARDED_BYTES
    parts, _ = run(response_bytes("id-0", body=body) + response_bytes())
    assert parts[1:] == [b"done"]


# Guards against a VM that collects an event that never ends until it has no memory.
def test_an_endless_event_breaks_the_stream():
    head = response_bytes(body=b"id: 1\n\n").replace(b"Content-Length: 7\r\n", b"")
    blocks = [BLOCK] * 100
    parts, pool = run(head, *blocks, route=STREAM)
    assert parts[1] == b"id: 1\n\n"
    assert [type(part) for part in parts[2:]] == [MalformedResponseError]
    assert not pool.returned
    assert pool.connection.blocks


# Guards against an unexpected error for bytes that a broken peer sends as a refusal.
@pytest.mark.parametrize("text", ["{", "[]", '["x"]', "\xff"])
def test_an_unreadable_refusal_of_a_hop_is_malformed(text):
    extra = f"{STAMP}Pollenmount-Hop-Refused: {text}\r\n"
    parts, pool = run(response_bytes(extra=extra), target="")
    assert [type(part) for part in parts] == [MalformedResponseError]
    assert not pool.returned


# Guards against a target whose own response is taken for a refusal between VMs.
def test_a_refusal_of_a_hop_is_none_of_a_target():
    extra = 'Pollenmount-Hop-Refused: [503,"r",true,0]\r\n'
    parts, _ = run(response_bytes(status=503, extra=extra))
    assert isinstance(parts[0], FailedResponseError)
    assert not parts[0].not_run


# No id binds it to its request, so that it must be the last response on a connection.
def test_a_refusal_of_a_hop_ends_the_connection():
    extra = 'Pollenmount-Hop-Refused: [503,"r",true,0]\r\n'
    parts, pool = run(response_bytes(status=503, extra=extra), target="")
    assert isinstance(parts[0], HopRefusedError)
    assert not pool.returned


# Guards against a stream that loses its end because of a number in its target's head.
def test_an_absurd_idle_time_of_a_target_is_left_out():
    headers = (("Keep-Alive", "timeout=" + "9" * 5000),)
    assert idle_limit_ms(HttpResponseHead(200, headers, False)) == DEFAULT_MAX_IDLE_MS


def test_an_absurd_event_id_of_a_caller_is_left_out():
    call = EntryHarness().make_call(STREAM)
    info = call.info._replace(resume_after="9" * 5000)
    assert call._replace(info=info).resume_after is None


def hop_refusal(id_):
    """Return the refusal of a hop as bytes; an earlier build tells no id."""
    headers = refusal_headers(ErrorResponse(503, "none"), True)
    lines = [f"{name}: {value}" for name, value in (*headers, *id_headers(id_))]
    head = "\r\n".join(("HTTP/1.1 503 X", *lines, "Content-Length: 0", "", ""))
    return head.encode()


# Guards against 'not run' for a request that another region runs.
def test_the_refusal_of_another_hop_is_skipped():
    parts, _ = run(hop_refusal("id-0") + response_bytes(), target="")
    assert parts[1:] == [b"done"]
    parts, pool = run(hop_refusal("id-0"), target="")
    assert isinstance(parts[0], ExchangeError) and not parts[0].not_run
    assert not pool.returned


@pytest.mark.parametrize("id_", ["id-1", ""])
def test_the_refusal_of_a_hop_is_believed(id_):
    parts, _ = run(hop_refusal(id_), target="")
    assert isinstance(parts[0], HopRefusedError) and parts[0].not_run
