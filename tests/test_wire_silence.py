"""A peer or path that falls silent while a response is due."""

import contextlib
import socket
import threading

import pytest
from eventlet.green import socket as green_socket

from pollenmount.gateway.retry_policy import RESERVE_AFTER_MS
from pollenmount.wire import connection as connection_module
from pollenmount.wire.connection import connect, encode_request
from pollenmount.wire.errors import PeerUnreachableError

RECEIVE_BUFFER_BYTES = 4096
BODY = b"x" * (8 << 20)
CONNECT_TIMEOUT_MS = 400
# Longer than the time-out of connecting, shorter than that of TCP.
SHORT_PAUSE_S = 1.5
# Longer than the TCP time-out with which a replaceable attempt is given up.
LONG_PAUSE_S = 2.5
DEADLINE_MS = 10_000
# How long a sound target, or its path, may be silent, and how soon it must be noticed
# that a path is lost.
SOUND_SILENCE_MS = 1500
NOTICED_AFTER_MS = 2500
# Of timers, and of tasks that wait for others.
TIMER_MARGIN_MS = 200
RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"


@pytest.fixture(autouse=True)
def cooperative_sockets(monkeypatch):
    """Use green sockets, as a VM does."""
    monkeypatch.setattr(connection_module, "socket", green_socket)


@contextlib.contextmanager
def paused_target(network, pause_s):
    """Yield the address of a target that reads a request after a pause."""
    with socket.socket() as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        listener.bind((f"127.{network}.7.1", 0))
        listener.listen()
        resumed = threading.Event()
        thread = threading.Thread(
            target=respond_late, args=(listener, resumed, pause_s)
        )
        thread.start()
        yield "{}:{}".format(*listener.getsockname())
        resumed.set()
        thread.join()


def respond_late(listener, resumed, pause_s):
    """Accept a connection, read nothing for a while, then read all and respond."""
    connection, _ = listener.accept()
    with connection:
        resumed.wait(pause_s)
        remaining = len(encode_request("POST", "/", (), BODY))
        while remaining > 0:
            try:
                data = connection.recv(1 << 20)
            except ConnectionResetError:
                return
            if not data:
                return
            remaining -= len(data)
        connection.sendall(RESPONSE)


def exchange(address, may_abandon):
    """Return the body of the response to a request with a large body."""
    connection = connect(address, CONNECT_TIMEOUT_MS)
    connection.may_abandon = lambda stalled_ms: may_abandon
    try:
        connection.send(encode_request("POST", "/", (), BODY))
        head = connection.read_head(lambda: DEADLINE_MS)
        return b"".join(connection.read_body(head, "POST", lambda: DEADLINE_MS))
    finally:
        connection.close()


def keepalive_end_ms(idle_s, interval_s, user_timeout_ms):
    """Return after which silence Linux ends a connection without data on the way.

    It looks when a probe is due. The number of probes does not count beside a
    TCP_USER_TIMEOUT: it ends the connection once a probe was sent and the silence is
    as long as that.
    """
    silence_ms = (idle_s + interval_s) * 1000
    while silence_ms < user_timeout_ms:
        silence_ms += interval_s * 1000
    return silence_ms


# Guards against time-outs of TCP that end an exchange of a target that is silent for a
# while, before a retry is reserved for it, or that leave a lost path unnoticed.
def test_time_outs_of_tcp_outlast_a_short_silence(network):
    names = ("TCP_KEEPIDLE", "TCP_KEEPINTVL", "TCP_USER_TIMEOUT")
    with paused_target(network, 0) as address:
        connection = connect(address, CONNECT_TIMEOUT_MS)
        idle_s, interval_s, user_timeout_ms = (
            connection.socket.getsockopt(socket.IPPROTO_TCP, getattr(socket, name))
            for name in names
        )
        connection.close()
    end_ms = keepalive_end_ms(idle_s, interval_s, user_timeout_ms)
    longest_ms = max(SOUND_SILENCE_MS, RESERVE_AFTER_MS) + TIMER_MARGIN_MS
    assert longest_ms < min(user_timeout_ms, end_ms)
    assert max(user_timeout_ms, end_ms) <= NOTICED_AFTER_MS


# Guards against a large request of which the rest is not sent after a short pause.
@pytest.mark.parametrize("may_abandon", [False, True])
def test_a_large_request_is_sent_on_after_a_short_pause(network, may_abandon):
    with paused_target(network, SHORT_PAUSE_S) as address:
        assert exchange(address, may_abandon) == b"done"


# Guards against a response that is lost because TCP gave up a target that was paused.
def test_a_paused_target_that_cannot_be_replaced_is_waited_for(network):
    with paused_target(network, LONG_PAUSE_S) as address:
        assert exchange(address, may_abandon=False) == b"done"


def test_a_paused_target_that_can_be_replaced_is_given_up(network):
    with (
        paused_target(network, LONG_PAUSE_S) as address,
        pytest.raises(PeerUnreachableError),
    ):
        exchange(address, may_abandon=True)
