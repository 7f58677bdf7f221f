"""The log tells apart why a caller got no whole answer."""

import contextlib
import os
import signal
import struct
import types

import pytest
from eventlet.green import socket

from pollenmount.api import connection
from pollenmount.api.endings import End
from pollenmount.gateway import node as node_module
from pollenmount.gateway.node import GatewayNode, run_gateway
from tests.gateway_harness import make_settings
from tests.gateway_sockets import (
    FleetDialect,
    read_stream,
    request_bytes,
    start_with_target,
    stream_events,
    use_green_sockets,
    wait_until,
)

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
SMALL_BUFFER_BYTES = 4096
BIG_EVENT_BYTES = 200_000


@pytest.fixture
def serve(network, caplog, monkeypatch):
    """Return a function that starts an entry VM with a target that runs a script."""
    use_green_sockets(monkeypatch)
    caplog.set_level("INFO", "pollenmount")
    with contextlib.ExitStack() as stack:
        yield lambda run: start_with_target(stack, network, run)[0]


def lines(caplog, message):
    return [r.fields for r in caplog.records if r.msg == message]


def ended(caplog):
    """Return the fields of the only `call ended` line."""
    wait_until(lambda: lines(caplog, "call ended"))
    (fields,) = lines(caplog, "call ended")
    return fields


def start_stream(entry):
    """Return a connection on which a stream has begun."""
    peer = entry.connect()
    peer.sendall(request_bytes())
    assert peer.recv(100)
    return peer


def test_a_whole_stream_is_answered(serve, caplog):
    entry = serve(stream_events(3, 10))
    with entry.connect() as peer:
        peer.sendall(request_bytes())
        assert read_stream(peer).count(b"id: ") == 3
    fields = ended(caplog)
    assert (fields["outcome"], fields["last_event"]) == ("answered", 3)
    assert fields["delivered_bytes"] == 3 * len(b"id: 1\ndata: \n\n" + 20 * b"x")
    wait_until(lambda: entry.closed_connections() == {"caller_closed": 1})
    assert not lines(caplog, "connection closed")


@pytest.mark.parametrize(
    ("reset", "end"), [(False, End.CALLER_CLOSED), (True, End.CALLER_RESET)]
)
def test_a_caller_that_closes_differs_from_one_that_resets(serve, caplog, reset, end):
    """One outcome stood for all: nobody could tell who ended a stream."""
    entry = serve(stream_events(100, 50))
    peer = start_stream(entry)
    if reset:
        peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    else:
        peer.shutdown(socket.SHUT_WR)
    if reset:
        peer.close()
    fields = ended(caplog)
    assert fields["outcome"] == end
    assert fields["last_event"] >= 1
    wait_until(lambda: lines(caplog, "connection closed"))
    (closed,) = lines(caplog, "connection closed")
    assert (closed["end"], closed["requests"]) == (end, 1)
    assert entry.closed_connections() == {end: 1}


def test_a_caller_that_stops_reading_is_a_write_timed_out(serve, caplog, monkeypatch):
    monkeypatch.setattr(connection, "SOCKET_TIMEOUT_S", 0.3)
    entry = serve(stream_events(100, 0, BIG_EVENT_BYTES))
    with socket.socket() as peer:
        peer.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
        peer.connect(entry.address)
        peer.sendall(request_bytes())
        fields = ended(caplog)
    assert fields["outcome"] == End.WRITE_TIMED_OUT
    assert fields["delivered_bytes"] > 0


def test_a_write_that_fails_is_told(serve, caplog, monkeypatch):
    """The watcher may not have seen the reset yet."""
    monkeypatch.setattr(
        connection.Connection, "watch_for_disconnect", lambda *args: None
    )
    entry = serve(stream_events(100, 20))
    peer = start_stream(entry)
    peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    peer.close()
    assert ended(caplog)["outcome"] == End.WRITE_FAILED


def test_an_exception_in_a_stream_is_told_without_its_message(serve, caplog):
    """The server of connections caught it, and it looked as if the caller had left."""
    entry = serve(stream_events(100, 20))
    peer = start_stream(entry)

    def fail(now):
        raise KeyError("secret text")

    for call in entry.node.calls:
        call.progress.record_chunk = fail
    assert not read_stream(peer).endswith(b"0\r\n\r\n")
    assert ended(caplog)["outcome"] == "failed: KeyError"
    (failed,) = lines(caplog, "call failed")
    assert failed["error"] == "KeyError" and failed["frames"]
    assert "secret" not in caplog.text
    wait_until(lambda: lines(caplog, "connection closed"))
    assert entry.closed_connections() == {End.RESPONSE_BROKEN: 1}


def test_an_exception_before_the_first_byte_is_told(serve, caplog):
    entry = serve(stream_events(1, 0))
    entry.context.loads.track = None
    with entry.connect() as peer:
        peer.sendall(request_bytes())
        assert b"500" in peer.recv(100)
    assert ended(caplog)["outcome"] == "failed: TypeError"


def test_a_stream_that_its_target_broke_off_is_told_from_the_others(serve, caplog):
    def run(exchange):
        exchange.start()
        exchange.send_event(1)
        exchange.connection.shutdown(socket.SHUT_RDWR)

    entry = serve(run)
    with entry.connect() as peer:
        peer.sendall(request_bytes())
        read_stream(peer)
    assert ended(caplog)["outcome"].startswith("broken: ")
    wait_until(lambda: entry.closed_connections() == {End.RESPONSE_BROKEN: 1})
    assert lines(caplog, "attempt failed")[0]["last_event"] == 1


def test_idle_connections_are_counted_by_reason(serve):
    entry = serve(stream_events(1, 0))
    entry.server.limits = lambda: connection.default_limits()._replace(idle_s=0.1)
    with entry.connect() as peer:
        assert peer.recv(1) == b""
    wait_until(lambda: entry.closed_connections() == {End.IDLE: 1})


@pytest.fixture
def run_role(monkeypatch, caplog):
    """Return a function that runs a VM whose role is given; restore the signals."""
    caplog.set_level("INFO", "pollenmount")
    numbers = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    before = {number: signal.getsignal(number) for number in numbers}

    def run(role):
        monkeypatch.setattr(
            node_module, "get_plugin_by_name", lambda family, name: role
        )
        writer = types.SimpleNamespace(dropped=0)
        return run_gateway(make_settings(), FleetDialect(), "/nowhere", writer)

    yield run
    for number, handler in before.items():
        signal.signal(number, handler)


class RunningCall:
    """Stands in for a running `CallResponder`."""

    def __init__(self):
        self.was_cut = False

    def cut(self):
        self.was_cut = True


def test_the_end_of_a_process_names_the_calls_it_cuts(run_role, caplog):
    """Requests that a stop cut off left no line at all."""
    call = RunningCall()

    def make_role(node):
        node.calls.add(call)
        os.kill(os.getpid(), signal.SIGTERM)
        return types.SimpleNamespace(stop=lambda requested_at: None)

    assert run_role(make_role) == 0
    assert lines(caplog, "stopped") == [{"cut": 1}]
    assert call.was_cut


def test_an_exception_that_ends_a_process_is_told(run_role, caplog):
    """A process that an exception ended left no line in its log."""
    call = RunningCall()

    def make_role(node):
        node.calls.add(call)
        raise ValueError("secret text")

    with pytest.raises(ValueError):
        run_role(make_role)
    (fields,) = lines(caplog, "crashed")
    assert (fields["error"], fields["cut"]) == ("ValueError", 1)
    assert fields["frames"] and call.was_cut
    assert "secret" not in caplog.text


def test_a_cut_call_says_so(serve, caplog):
    entry = serve(stream_events(100, 20))
    node = GatewayNode(make_settings(), FleetDialect())
    with start_stream(entry):
        node.calls = entry.node.calls
        assert node.cut_calls() == 1
        assert ended(caplog)["outcome"] == End.CUT_AT_STOP
    wait_until(entry.closed_connections)
    assert len(lines(caplog, "call ended")) == 1
