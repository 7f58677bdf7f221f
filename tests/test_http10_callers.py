"""Callers that speak HTTP/1.0 see a stream that breaks off as broken.

The end of their connection is the end of the body: without a reset, a stream that its
target broke off looked complete.
"""

import contextlib

import pytest
from eventlet.green import socket

from pollenmount import task
from pollenmount.api.web import Reply, WebServer, make_app
from tests.gateway_sockets import (
    request_bytes,
    start_with_target,
    use_green_sockets,
)

READ_BYTES = 65_536
PEER_TIMEOUT_MS = 5000


def request_10(path):
    """Return a caller's request in HTTP/1.0."""
    return request_bytes(path=path).replace(b"HTTP/1.1", b"HTTP/1.0", 1)


def read_to_end(connection):
    """Return the bytes until the connection is closed, and whether it was reset."""
    data = b""
    # A green socket's own `recv` reports a reset as an end of file.
    reader = task.SocketReader(connection)
    with contextlib.closing(connection):
        try:
            while received := reader.receive(READ_BYTES, PEER_TIMEOUT_MS):
                data += received
        except ConnectionResetError:
            return data, True
    return data, False


def send_events(is_whole):
    """Return a script of a target that sends two events, and may break off then."""

    def run(exchange):
        exchange.start()
        exchange.send_event(1)
        exchange.send_event(2)
        if is_whole:
            exchange.end()
        else:
            exchange.connection.shutdown(socket.SHUT_RDWR)

    return run


@pytest.mark.parametrize("is_whole", [True, False])
def test_a_stream_that_breaks_off_ends_in_a_reset(is_whole, network, monkeypatch):
    use_green_sockets(monkeypatch)
    with contextlib.ExitStack() as stack:
        entry, _ = start_with_target(stack, network, send_events(is_whole))
        peer = entry.connect()
        peer.sendall(request_10("/stream/1"))
        _, is_reset = read_to_end(peer)
    assert is_reset != is_whole


@pytest.mark.parametrize("is_whole", [True, False])
def test_any_reply_that_breaks_off_ends_in_a_reset(is_whole, network):
    """Both interfaces send their replies by this server."""

    def handle(request):
        return Reply(200, (), send_parts())

    def send_parts():
        yield b"part"
        if not is_whole:
            raise ValueError("broken")

    server = WebServer(f"127.{network}.7.1:7300", make_app(handle))
    with contextlib.closing(server):
        peer = socket.create_connection((f"127.{network}.7.1", 7300))
        peer.sendall(request_10("/"))
        data, is_reset = read_to_end(peer)
    assert is_reset != is_whole
    assert is_reset or data.endswith(b"\r\n\r\npart")
