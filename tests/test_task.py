"""Reading a connection: few registrations, resets told from ends, no busy waiting."""

import struct

import eventlet
import pytest
from eventlet.green import socket

from pollenmount import task

PARTS = 20
LONG_MS = 5000


@pytest.fixture
def pair(network):
    """Return (reader's side, writer's side) of a TCP connection."""
    listener = eventlet.listen((f"127.{network}.8.2", 0))
    writer = socket.create_connection(listener.getsockname())
    connection, _ = listener.accept()
    yield connection, writer
    for endpoint in (connection, writer, listener):
        endpoint.close()


@pytest.fixture
def registrations(monkeypatch):
    """Return a list that gets an entry for each registration for reading."""
    hub = eventlet.hubs.get_hub()
    made = []
    add = hub.add
    monkeypatch.setattr(hub, "add", lambda *args: made.append(args) or add(*args))
    return made


def write_slowly(writer):
    for number in range(PARTS):
        task.sleep(2)
        writer.sendall(b"%02d" % number)


def test_a_stream_is_read_with_one_registration(pair, registrations):
    """Pattern: register once a connection, not once a part."""
    connection, writer = pair
    task.spawn(write_slowly, writer)
    reader = task.SocketReader(connection)
    received = b""
    while len(received) < 2 * PARTS:
        received += reader.receive(100, LONG_MS)
    assert received == b"".join(b"%02d" % number for number in range(PARTS))
    assert len([r for r in registrations if r[1] == connection.fd.fileno()]) == 1
    reader.close()


def test_bytes_that_nobody_waits_for_end_the_registration(pair, registrations):
    """A busy task must not be woken again and again for bytes it hasn't read yet."""
    connection, writer = pair
    reader = task.SocketReader(connection)
    writer.sendall(b"a")
    assert reader.receive(100, LONG_MS) == b"a"
    writer.sendall(b"b")
    assert reader.receive(100, LONG_MS) == b"b"
    writer.sendall(b"c")
    task.sleep(20)
    assert reader.hub_listener is None
    assert reader.receive(100, LONG_MS) == b"c"
    reader.close()


def test_an_end_a_reset_and_silence_are_told_apart(pair):
    connection, writer = pair
    reader = task.SocketReader(connection)
    with pytest.raises(TimeoutError):
        reader.receive(100, 20)
    writer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.close()
    with pytest.raises(ConnectionResetError):
        reader.receive(100, LONG_MS)
    reader.close()


def test_an_orderly_end_is_no_error(pair):
    connection, writer = pair
    reader = task.SocketReader(connection)
    writer.sendall(b"last")
    assert reader.receive(100, LONG_MS) == b"last"
    writer.close()
    assert reader.receive(100, LONG_MS) == b""
    reader.close()


def test_closing_ends_the_wait_of_another_task(pair):
    connection, _ = pair
    reader = task.SocketReader(connection)
    eventlet.spawn_after(0.02, reader.close)
    with pytest.raises(ConnectionAbortedError):
        reader.receive(100, LONG_MS)
