"""The HTTP layer alone: framing, time and memory limits, disconnects, targets."""

import contextlib
import io
import json
import string
import time

import eventlet
import pytest
from eventlet import tpool
from eventlet.green import socket
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from pollenmount.api import body as body_module
from pollenmount.api import connection, web
from pollenmount.api.head import parse_head
from pollenmount.api.reply import Reply, json_reply
from pollenmount.errors import ListenError
from pollenmount.targets.upstream import MAX_PARTS_PER_TURN, Upstream, read_body

PORT = 7100
MAX_BODY_BYTES = 1000
# With a time that grows with the cube of the blanks, half a minute.
BLANK_COUNT = 4000
MAX_PARSE_S = 5


@pytest.fixture
def serve(network):
    """Return a function that starts a server for a handler: (address, server)."""
    servers = []

    def start(handle, closing=lambda: False):
        address = f"127.{network}.9.1:{PORT + len(servers)}"
        servers.append(web.WebServer(address, web.make_app(handle, closing)))
        return address, servers[-1]

    yield start
    for server in servers:
        server.close()


def exchange(address, data, half_close=False):
    """Send bytes on a new connection and return all bytes received."""
    host, _, port = address.rpartition(":")
    with eventlet.Timeout(10), socket.create_connection((host, int(port))) as peer:
        peer.sendall(data)
        if half_close:
            peer.shutdown(socket.SHUT_WR)
        return b"".join(iter(lambda: peer.recv(65_536), b""))


def echo(request):
    read = request.read(MAX_BODY_BYTES)
    if not isinstance(read, bytes):
        return web.refusal_reply(read)
    document = [request.method, request.target, request.headers(), read.decode()]
    return json_reply(document)


def request_bytes(method="POST", target="/a", headers=(), data=b""):
    lines = [f"{method} {target} HTTP/1.1", "Host: h", *headers, "", ""]
    return "\r\n".join(lines).encode() + data


def status_and_code(answer):
    head, _, document = answer.partition(b"\r\n\r\n")
    return int(head.split()[1]), json.loads(document)["error"]["code"]


def test_chunked_body_is_read_and_the_connection_is_reused(serve):
    address, _ = serve(echo)
    data = b"3;a=b\r\nabc\r\n2\r\nde\r\n0\r\nTrailer: x\r\n\r\n"
    first = request_bytes(headers=["Transfer-Encoding: chunked"], data=data)
    last = request_bytes("GET", "/b", ["Connection: close"])
    answer = exchange(address, first + last)
    assert answer.count(b"HTTP/1.1 200") == 2
    assert b'"abcde"]' in answer and b'"/b"' in answer


@pytest.mark.parametrize(
    "data",
    [b"-3\r\nabc\r\n0\r\n\r\n", b"0x3\r\nabc\r\n0\r\n\r\n", b"3\r\nabcd\r\n0\r\n\r\n"]
    + [b"3\nabc\r\n0\r\n\r\n", b"3\r\nab", b"f" * 400, b"0\r\n" + b"T: x\r\n" * 99],
)
def test_malformed_chunks_are_refused_and_close_the_connection(serve, data):
    address, _ = serve(echo)
    sent = request_bytes(headers=["Transfer-Encoding: chunked"], data=data)
    answer = exchange(address, sent, half_close=True)
    assert status_and_code(answer) == (400, "bad_request")
    assert b"Connection: close" in answer


def test_body_that_ends_early_is_refused(serve):
    address, _ = serve(echo)
    sent = request_bytes(headers=["Content-Length: 5"], data=b"abc")
    assert status_and_code(exchange(address, sent, True)) == (400, "bad_request")


@pytest.mark.parametrize("chunked", [True, False])
def test_body_over_the_limit_is_refused_though_it_is_still_being_sent(serve, chunked):
    address, _ = serve(echo)
    size = 3 << 20
    framing = "Transfer-Encoding: chunked" if chunked else f"Content-Length: {size}"
    data = b"%x\r\n" % size + b"x" * size if chunked else b"x" * size
    answer = exchange(address, request_bytes(headers=[framing], data=data))
    assert status_and_code(answer) == (413, "too_large")


def test_buffered_bodies_are_bounded(serve):
    address, server = serve(echo)
    server.budget.limit = 10
    sent = request_bytes(headers=["Content-Length: 20"], data=b"x" * 20)
    assert status_and_code(exchange(address, sent)) == (503, "overloaded")
    headers = ["Content-Length: 9", "Connection: close"]
    for _ in range(3):
        answer = exchange(address, request_bytes(headers=headers, data=b"x" * 9))
        assert answer.startswith(b"HTTP/1.1 200")


def test_huge_heads_are_refused(serve):
    address, _ = serve(echo)
    for headers in (["X: " + "x" * 9000], ["X: y"] * 200, ["X: " + "x" * 8000] * 9):
        answer = exchange(address, request_bytes(headers=headers))
        assert status_and_code(answer) == (431, "headers_too_large")


@pytest.mark.parametrize(
    ("name", "data", "module"),
    [
        ("HEAD_TIMEOUT_S", b"GET / HTTP/1.1\r\nHost: h\r\n", connection),
        ("BODY_TIMEOUT_S", request_bytes(headers=["Content-Length: 5"]), web),
    ],
)
def test_slow_senders_are_refused_in_bounded_time(
    serve, monkeypatch, name, data, module
):
    monkeypatch.setattr(module, name, 0.2)
    address, server = serve(echo)
    assert status_and_code(exchange(address, data)) == (408, "slow_request")
    assert server.active == 0


def test_slow_readers_use_bounded_memory_and_time(serve, monkeypatch):
    monkeypatch.setattr(connection, "RESPONSE_LIMIT_S", 0.5)
    chunks_sent = []

    def endless():
        while True:
            chunks_sent.append(1)
            yield b"x" * 65_536

    address, server = serve(lambda request: Reply(200, (), endless()))
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port))) as peer:
        peer.sendall(request_bytes("GET"))
        with eventlet.Timeout(10):
            while not chunks_sent or server.active:
                eventlet.sleep(0.02)
    # Only as much was generated as fits into the socket buffers.
    assert len(chunks_sent) < 500


def test_disconnect_cancels_only_cancellable_requests(serve):
    events = []

    def handle(request):
        if request.path == "/cancel":
            request.cancel_on_disconnect()
        try:
            eventlet.sleep(0.3)
            events.append(f"{request.path} ran to its end")
        finally:
            events.append(request.path)
        return json_reply({})

    address, server = serve(handle)
    host, _, port = address.rpartition(":")
    for path in ("/cancel", "/keep"):
        with socket.create_connection((host, int(port))) as peer:
            peer.sendall(request_bytes("GET", path))
            eventlet.sleep(0.05)
    with eventlet.Timeout(10):
        while server.active or len(events) < 3:
            eventlet.sleep(0.02)
    assert events == ["/cancel", "/keep ran to its end", "/keep"]


def test_answers_to_head_have_no_body(serve):
    address, _ = serve(lambda request: Reply(200, (), iter([b"body"])))
    sent = request_bytes("HEAD") + request_bytes("GET", "/", ["Connection: close"])
    answer = exchange(address, sent)
    assert answer.count(b"HTTP/1.1 200") == 2
    assert answer.count(b"body") == 1


def test_connections_are_closed_after_the_reply_while_closing(serve):
    address, server = serve(echo, closing=lambda: True)
    answer = exchange(address, request_bytes("GET"))
    assert b"\r\nConnection: close\r\n" in answer
    with eventlet.Timeout(10):
        while server.connections:
            eventlet.sleep(0.01)
    assert server.active == 0


def test_exception_in_a_handler_is_answered_without_details(serve, caplog):
    def handle(request):
        raise KeyError("secret text")

    address, _ = serve(handle)
    answer = exchange(address, request_bytes("GET", headers=["Connection: close"]))
    assert status_and_code(answer) == (500, "internal")
    assert b"secret" not in answer and "secret" not in caplog.text


@pytest.mark.parametrize(
    "target", ["/a%2fb/%c3%a9?q=%2F&x=a+b", "//a//b", "/a;b=c,d?%7e~", "/a%252e"]
)
def test_target_and_repeated_headers_reach_the_target_as_sent(serve, target):
    address, _ = serve(echo)
    headers = (("X-Twice", "1"), ("x-twice", "2"), ("Odd", "\xe9"))
    upstream = Upstream()

    def call():
        response = upstream.open(address, "PUT", target, headers, b"data", 5000)
        return json.loads(b"".join(read_body(response)))

    # urllib3 uses blocking sockets in this process, so it runs in a native thread.
    method, received_target, received_headers, data = tpool.execute(call)
    assert (method, received_target, data) == ("PUT", target, "data")
    pairs = [(name.lower(), value) for name, value in received_headers]
    assert [v for n, v in pairs if n == "x-twice"] == ["1", "2"]
    assert ("odd", "\xe9") in pairs
    upstream.close()


def test_address_in_use_raises_a_listen_error(serve):
    address, _ = serve(echo)
    with pytest.raises(ListenError, match=f"can't listen on {address}"):
        web.WebServer(address, None)


HEADER_LINES = st.lists(
    st.one_of(
        st.binary(max_size=40).map(lambda data: data + b"\r\n"),
        st.sampled_from(
            [
                b"Host: h\r\n",
                b"Content-Length: 3\r\n",
                b" folded\r\n",
                b"A: b\rC: d\r\n",
            ]
        ),
    ),
    max_size=6,
)


@settings(
    derandomize=True,
    database=None,
    max_examples=400,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow],
)
@given(HEADER_LINES)
def test_parsed_heads_are_unambiguous(lines):
    parsed = parse_head([b"GET /x HTTP/1.1\r\n", *lines])
    if parsed.is_err():
        return
    head = parsed.ok_value
    assert len(head.headers) == len(lines)
    for name, value in head.headers:
        assert set(name) <= set(
            string.ascii_letters + string.digits + "!#$%&'*+-.^_`|~"
        )
        assert not set(value) & set("\r\n\0")
    names = [name.lower() for name, _ in head.headers]
    assert names.count("host") == 1
    assert names.count("content-length") + names.count("transfer-encoding") <= 1


def test_byte_budget_is_bounded_and_can_be_released():
    budget = body_module.ByteBudget(8)
    budget.reserve(8)
    with pytest.raises(body_module.ByteBudgetExceededError):
        budget.reserve(1)
    budget.release(8)
    budget.reserve(8)


# Guards against a caller's head that stops the whole VM while it is parsed.
@pytest.mark.parametrize("end", [b"", b"x", b"\0"])
def test_blanks_in_a_request_header_do_not_stall_the_vm(end):
    started_at = time.process_time()
    line = b"X:" + b" " * BLANK_COUNT + end + b"\r\n"
    parsed = parse_head([b"GET /x HTTP/1.1\r\n", b"Host: h\r\n", line])
    assert parsed.is_err() == (end == b"\0")
    assert parsed.is_err() or parsed.ok_value.header("x") == end.decode()
    assert time.process_time() - started_at < MAX_PARSE_S


def test_blanks_around_a_request_header_are_stripped():
    lines = [b"Host: \t h i\t \r\n", b"B:\r\n", b"C:d\r\n"]
    head = parse_head([b"GET /x HTTP/1.1\r\n", *lines]).ok_value
    assert head.headers == (("Host", "h i"), ("B", ""), ("C", "d"))


# Guards against a caller whose small chunks stop a VM for seconds.
def test_a_body_in_many_chunks_lets_other_tasks_run(turns):
    count = 10 * body_module.MAX_BLOCKS_PER_TURN
    lines = [b"GET / HTTP/1.1\r\n", b"Host: h\r\n", b"Transfer-Encoding: chunked\r\n"]
    received = io.BytesIO(b"1\r\nx\r\n" * count + b"0\r\n\r\n")
    budget = body_module.ByteBudget(count)
    body = body_module.Body(parse_head(lines).ok_value, received, None, budget)
    assert body.read(count) == b"x" * count
    assert len(turns) >= 9


# Guards against a caller that stops a VM by sending requests without pause.
def test_requests_sent_ahead_let_other_tasks_run(serve, turns):
    count = 10 * connection.MAX_REQUESTS_PER_TURN
    turns_before = []

    def handle(request):
        turns_before.append(len(turns))
        return json_reply({})

    address, _ = serve(handle)
    last = request_bytes("GET", headers=["Connection: close"])
    exchange(address, request_bytes("GET") * (count - 1) + last)
    assert len(turns_before) == count
    assert turns_before[-1] - turns_before[0] >= 9


class EndlessResponse:
    """A response whose parts have arrived before they are read."""

    def __init__(self):
        self.owned_resources = contextlib.nullcontext()

    def stream(self, size, decode_content):
        return iter(lambda: b"x" * size, b"")

    def close(self):
        pass


# Guards against a target that sends without pause and so stops all other tasks.
def test_a_long_body_of_a_target_lets_other_tasks_run(turns):
    with contextlib.closing(read_body(EndlessResponse())) as parts:
        for _ in range(10 * MAX_PARTS_PER_TURN):
            next(parts)
    assert len(turns) >= 9
