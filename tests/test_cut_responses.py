"""Responses and requests that end before their end, at every reader of HTTP.

A target stopped in the middle of its head and closed the connection; the client of the
own interface took the end of the connection for the end of the head, and callers got a
complete response with an empty or a short body.
"""

import socketserver
import threading

import pytest

from pollenmount.commands.base import NodeError, OperatorClient
from pollenmount.targets.upstream import Upstream, UpstreamError, read_body
from pollenmount.wire.errors import ExchangeError
from tests.test_gateway_sender import run
from tests.test_web import echo, exchange, serve  # noqa: F401

READ_BYTES = 65_536
TIMEOUT_MS = 5000
IDS = b"X-Request-Id: id-1\r\nX-Pollenmount-Attempt-Id: id-1\r\n"
STAMP = b"X-Pollenmount-Response-Stamp: 3e\r\n"
HEAD = b"HTTP/1.1 200 OK\r\n" + IDS + STAMP + b"Content-Type: application/json\r\n"
BODY = b'{"answer": 42}'
EMPTY = HEAD + b"Content-Length: 0\r\n\r\n"
COUNTED = HEAD + b"Content-Length: 14\r\n\r\n" + BODY
CHUNKED = (
    HEAD
    + b"Transfer-Encoding: chunked\r\n\r\n"
    + b"0a;x=y\r\n"
    + BODY[:10]
    + b"\r\n4\r\n"
    + BODY[10:]
    + b"\r\n0\r\nX-Trailer: 1\r\n\r\n"
)
WHOLE = {"empty": EMPTY, "counted": COUNTED, "chunked": CHUNKED}
# Framings that leave open where the body ends.
ODD_FRAMINGS = (
    *(b"Content-Length: ten", b"Content-Length: -1", b"Content-Length: 1, 2"),
    *(b"Content-Length: 1\r\nContent-Length: 2", b"Content-Length: "),
    *(b"Transfer-Encoding: gzip", b"Content-Length 14", b" Content-Length: 14"),
)
# Not from 100 to 599, or not three digits.
ODD_STATUSES = (
    *(b"000", b"099", b"600", b"999", b"20", b"1000"),
    *(b"+200", b"0200", b"2_0_0", b" 200"),
)


class CuttingServer(socketserver.ThreadingTCPServer):
    """Sends `data` in response to each request, and closes the connection."""

    allow_reuse_address = True
    daemon_threads = True
    request_queue_size = 128
    data = b""

    class Handler(socketserver.BaseRequestHandler):
        """Answers one request."""

        def handle(self):
            """Read the head of a request and send the data."""
            received = b""
            while b"\r\n\r\n" not in received:
                received += self.request.recv(READ_BYTES)
            self.request.sendall(self.server.data)

    def __init__(self, address):
        super().__init__(address, self.Handler)
        self.address = "{}:{}".format(*address)
        threading.Thread(target=self.serve_forever, args=(0.01,), daemon=True).start()

    def respond(self, data):
        """Return the address, at which the next request gets `data`."""
        self.data = data
        return self.address


@pytest.fixture
def server(network):
    with CuttingServer((f"127.{network}.9.7", 7300)) as started:
        yield started
        started.shutdown()


def read_of_routes(server, data):
    """Return the body that routes pass on, or None for an error."""
    parts, _ = run(data)
    return None if isinstance(parts[-1], ExchangeError) else parts[-1]


def read_of_own_interface(server, data):
    """Return the body that the own interface passes on, or None for an error."""
    address = server.respond(data)
    upstream = Upstream()
    try:
        response = upstream.open(address, "GET", "/", {}, b"", TIMEOUT_MS)
        return b"".join(read_body(response))
    except UpstreamError:
        return None
    finally:
        upstream.close()


def read_of_operators(server, data):
    """Return the body that operators' commands read, or None for an error."""
    address = server.respond(data)
    try:
        OperatorClient(address).request("GET", "/")
    except NodeError as error:
        # A body that ends early, not one that is no JSON.
        return None if "does not answer" in str(error) else b""
    return BODY


READERS = (read_of_routes, read_of_own_interface, read_of_operators)


@pytest.fixture(autouse=True)
def operator_key(monkeypatch):
    monkeypatch.setenv("POLLENMOUNT_OPERATOR_KEY", "key")


@pytest.mark.parametrize("read", READERS)
@pytest.mark.parametrize("name", WHOLE)
def test_no_response_that_is_cut_anywhere_is_taken_as_complete(server, read, name):
    whole = WHOLE[name]
    taken = [end for end in range(len(whole)) if read(server, whole[:end]) is not None]
    assert taken == []
    assert read(server, whole) == (b"" if name == "empty" else BODY)


# A head that can't be read left the body to end with the connection.
@pytest.mark.parametrize("read", READERS)
@pytest.mark.parametrize("framing", ODD_FRAMINGS)
def test_no_response_without_a_readable_framing_is_taken(server, read, framing):
    assert read(server, HEAD + framing + b"\r\n\r\n" + BODY) is None


# Targets in trouble sent such heads, and callers got them as responses.
@pytest.mark.parametrize("read", READERS)
@pytest.mark.parametrize("status", ODD_STATUSES)
def test_no_response_with_a_status_that_is_none_is_taken(server, read, status):
    head = COUNTED.replace(b"200", status, 1)
    assert read(server, head) is None
    # It must not follow an interim response either.
    assert read(server, b"HTTP/1.1 100 Continue\r\n\r\n" + head) is None


@pytest.mark.parametrize(
    "framing",
    [
        b"Content-Length: 4\r\n\r\nbody",
        b"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
    ],
)
def test_no_request_that_is_cut_anywhere_is_run(serve, framing):  # noqa: F811
    read = []

    def handle(request):
        reply = echo(request)
        if reply.status == 200:
            read.append(request.target)
        return reply

    address, _ = serve(handle)
    whole = b"POST /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n" + framing
    for end in range(len(whole)):
        exchange(address, whole[:end], half_close=True)
    assert read == []
    exchange(address, whole, half_close=True)
    assert read == ["/x"]
