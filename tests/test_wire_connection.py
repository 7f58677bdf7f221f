"""Truncated and malformed responses raise, whatever their framing."""

import struct
import time

import eventlet
import pytest
from eventlet.green import socket

from pollenmount import task
from pollenmount.wire.connection import (
    MAX_CHUNKS_PER_TURN,
    MAX_INTERIM_HEADS,
    MAX_TRAILER_LINES,
    Connection,
    HttpResponseHead,
    connect,
    parse_head,
)
from pollenmount.wire.errors import ExchangeError, MalformedResponseError

NO_LENGTH = b"HTTP/1.1 200 OK\r\n\r\npart of it"
LEFT_MS = 5000
# More than the socket buffers of both sides hold.
LARGE_REQUEST_BYTES = 32 << 20
# With a time that grows with the cube of the blanks, over a minute.
BLANK_COUNT = 4000
MAX_PARSE_S = 5
INTERIM = b"HTTP/1.1 102 Processing\r\n\r\n"
FINAL = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"


def serve_once(data, reset):
    """Return the address of a server that sends `data` once, then disconnects."""
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen()

    def run():
        connected_socket, _ = listener.accept()
        connected_socket.recv(100)
        connected_socket.sendall(data)
        if reset:
            linger = struct.pack("ii", 1, 0)
            connected_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            task.sleep(50)
        connected_socket.close()
        listener.close()

    task.spawn(run)
    host, port = listener.getsockname()
    return f"{host}:{port}"


def read_response(address):
    """Return the body of one response."""
    connected_socket = socket.create_connection(parse_address(address))
    connection = Connection(connected_socket)
    connection.send(b"GET / HTTP/1.1\r\n\r\n")
    head = connection.read_head(lambda: LEFT_MS)
    return b"".join(connection.read_body(head, "GET", lambda: LEFT_MS))


def parse_address(address):
    host, _, port = address.rpartition(":")
    return host, int(port)


def test_a_body_without_length_ends_at_the_close():
    assert read_response(serve_once(NO_LENGTH, reset=False)) == b"part of it"


def test_a_body_without_length_that_ends_by_a_reset_raises():
    with pytest.raises(ExchangeError):
        read_response(serve_once(NO_LENGTH, reset=True))


@pytest.mark.parametrize(
    "data",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\npart of it",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nx",
        # Too many digits for an integer must not be an unexpected error.
        b"HTTP/1.1 200 OK\r\nContent-Length: " + b"9" * 5000 + b"\r\n\r\nx",
        b"no answer at all\r\n\r\n",
        b"HTTP/1.1 20",
    ],
)
def test_a_truncated_or_malformed_response_raises(data):
    with pytest.raises(ExchangeError):
        read_response(serve_once(data, reset=False))


def test_interim_responses_are_skipped():
    data = (
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
    )
    assert read_response(serve_once(data, reset=False)) == b"ok"


def test_a_refused_connection_is_reported_as_not_run():
    with pytest.raises(ExchangeError) as caught:
        connect("127.0.0.1:1", 500)
    assert caught.value.not_run


# Guards against a response without length that seems complete after a reset.
def test_a_failure_that_only_the_sender_was_told_of_is_no_end_of_a_body():
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen()
    connected_socket = socket.create_connection(listener.getsockname())
    accepted, _ = listener.accept()
    connection = Connection(connected_socket)
    connection.send(bytes(LARGE_REQUEST_BYTES))
    task.sleep(50)
    accepted.sendall(NO_LENGTH)
    task.sleep(50)
    head = connection.read_head(lambda: LEFT_MS)
    body = connection.read_body(head, "GET", lambda: LEFT_MS)
    assert next(body) == b"part of it"
    # Closing with unread data resets the connection; the sender wakes up first.
    accepted.close()
    listener.close()
    task.sleep(50)
    with pytest.raises(ExchangeError):
        list(body)


# The kernel reports a reset once. A look at the connections of a target, to find out
# whether it runs, took the report, and the reader took the end for that of the body.
def test_a_reset_that_only_a_look_was_told_of_is_no_end_of_a_body():
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen()
    connection = Connection(socket.create_connection(listener.getsockname()))
    accepted, _ = listener.accept()
    connection.send(b"GET / HTTP/1.1\r\n\r\n")
    accepted.sendall(NO_LENGTH)
    head = connection.read_head(lambda: LEFT_MS)
    body = connection.read_body(head, "GET", lambda: LEFT_MS)
    assert next(body) == b"part of it"
    # The reader is not at its turn when the reset arrives.
    accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    accepted.close()
    listener.close()
    task.sleep(50)
    assert not connection.is_alive()
    with pytest.raises(ExchangeError):
        list(body)


# Guards against a response head that stops the whole VM while it is parsed.
@pytest.mark.parametrize("end", [b"", b"x", b"\r."])
def test_blanks_in_a_response_header_do_not_stall_the_vm(end):
    started_at = time.process_time()
    try:
        head = parse_head(b"HTTP/1.1 200 OK\r\nX:" + b" " * BLANK_COUNT + end)
        assert head.headers == (("X", end.decode()),)
    except MalformedResponseError:
        assert b"\r" in end
    assert time.process_time() - started_at < MAX_PARSE_S


def test_blanks_around_a_response_header_are_stripped():
    head = parse_head(b"HTTP/1.1 200 OK\r\nA: \t b c\t \r\nB:\r\nC:d")
    assert head.headers == (("A", "b c"), ("B", ""), ("C", "d"))


# Guards against a target that keeps a call and its VM busy with interim responses.
def test_interim_responses_are_bounded():
    assert read_response(serve_once(INTERIM * MAX_INTERIM_HEADS + FINAL, False)) == (
        b"ok"
    )
    with pytest.raises(MalformedResponseError):
        read_response(serve_once(INTERIM * (MAX_INTERIM_HEADS + 1) + FINAL, False))


# Guards against a target that keeps a call and its VM busy after the last chunk.
def test_trailers_are_bounded():
    lines = b"A: b\r\n" * MAX_TRAILER_LINES
    assert read_response(serve_once(CHUNKED + lines + b"\r\n", False)) == b"ok"
    with pytest.raises(MalformedResponseError):
        read_response(serve_once(CHUNKED + lines + b"A: b\r\n\r\n", False))


def read_chunks(count):
    """Return the body of `count` chunks that were received in one read."""
    connection = Connection(None)
    connection.buffer += b"1\r\nx\r\n" * count + b"0\r\n\r\n"
    head = HttpResponseHead(200, (("Transfer-Encoding", "chunked"),), False)
    return b"".join(connection.read_body(head, "GET", lambda: LEFT_MS))


# Guards against small chunks that keep a VM busy for most of a second at a time.
def test_many_chunks_in_one_read_let_other_tasks_run(turns):
    count = 10 * MAX_CHUNKS_PER_TURN
    assert read_chunks(count) == b"x" * count
    assert len(turns) >= 9


def test_few_chunks_in_one_read_take_no_turn_of_the_event_loop(turns):
    assert read_chunks(3) == b"xxx"
    assert not turns


# Guards against a connection that stays open because its request is cancelled while it
# closes it.
def test_a_close_that_is_cancelled_still_closes_the_socket():
    ours, theirs = socket.socketpair()
    connection = Connection(ours)
    connection.send(bytes(LARGE_REQUEST_BYTES))
    task.sleep(10)
    closing = eventlet.spawn(connection.close)
    eventlet.spawn(eventlet.kill, closing)
    task.sleep(50)
    assert ours.fileno() == -1
    theirs.close()
