"""A caller's request that comes as its idle connection is about to be closed."""

import threading
import time

import eventlet
import pytest

from pollenmount import task
from pollenmount.api.connection import default_limits
from tests.gateway_sockets import SocketEntry, request_bytes, use_green_sockets

IDLE_S = 0.4
STALL_S = 0.4


@pytest.fixture
def entry(network, monkeypatch):
    use_green_sockets(monkeypatch)
    entry = SocketEntry(f"127.{network}.10.1:7300")
    entry.server.limits = lambda: default_limits()._replace(idle_s=IDLE_S)
    yield entry
    entry.close()


def stand_still(reader):
    """Block the event loop when a byte arrives, before it looks at its timers."""
    reader.recv(1)
    time.sleep(STALL_S)


def send_during_a_stall(connection, data):
    """Send a request while the VM stands still and the idle time ends."""
    reader, writer = task.socketpair()
    stalled = eventlet.spawn(stand_still, reader)
    task.sleep(IDLE_S * 1000 - 200)
    sender = threading.Timer(STALL_S / 2, connection.fd.send, (data,))
    sender.start()
    writer.send(b"x")
    stalled.wait()
    sender.join()


# Guards against a request that is reset because the clock was looked at first (LOST).
@pytest.mark.parametrize("requests_before", [0, 1])
def test_a_request_that_came_before_the_idle_time_ended_is_answered(
    entry, requests_before
):
    with entry.connect() as connection:
        for _ in range(requests_before):
            connection.sendall(request_bytes())
            assert connection.recv(4096).startswith(b"HTTP/1.1 503")
        send_during_a_stall(connection, request_bytes())
        assert connection.recv(4096).startswith(b"HTTP/1.1 503")


def test_a_connection_without_a_request_is_closed_after_the_idle_time(entry):
    with entry.connect() as connection:
        send_during_a_stall(connection, b"")
        assert connection.recv(4096) == b""
