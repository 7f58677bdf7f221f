"""Answers that break off, whatever they look like until then."""

import struct

import pytest
from eventlet.green import socket

from pollenmount import task
from pollenmount.wire.connection import Connection, connect
from pollenmount.wire.errors import ExchangeError

NO_LENGTH = b"HTTP/1.1 200 OK\r\n\r\npart of it"
LEFT_MS = 5000


def serve_once(data, reset):
    """Return the address of a server that answers once, then ends the connection."""
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen()

    def run():
        opened, _ = listener.accept()
        opened.recv(100)
        opened.sendall(data)
        if reset:
            linger = struct.pack("ii", 1, 0)
            opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            task.sleep(50)
        opened.close()
        listener.close()

    task.spawn(run)
    host, port = listener.getsockname()
    return f"{host}:{port}"


def read_answer(address):
    """Return the whole body of one answer."""
    opened = socket.create_connection(tuple_of(address))
    connection = Connection(opened)
    connection.send(b"GET / HTTP/1.1\r\n\r\n")
    head = connection.read_head(lambda: LEFT_MS)
    return b"".join(connection.read_body(head, "GET", lambda: LEFT_MS))


def tuple_of(address):
    host, _, port = address.rpartition(":")
    return host, int(port)


def test_a_body_without_length_ends_with_its_connection():
    assert read_answer(serve_once(NO_LENGTH, reset=False)) == b"part of it"


def test_a_body_without_length_that_is_reset_is_not_whole():
    with pytest.raises(ExchangeError):
        read_answer(serve_once(NO_LENGTH, reset=True))


@pytest.mark.parametrize(
    "data",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\npart of it",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nx",
        b"no answer at all\r\n\r\n",
        b"HTTP/1.1 20",
    ],
)
def test_what_is_no_whole_answer_raises(data):
    with pytest.raises(ExchangeError):
        read_answer(serve_once(data, reset=False))


def test_interim_answers_are_passed_over():
    data = (
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
    )
    assert read_answer(serve_once(data, reset=False)) == b"ok"


def test_no_connection_is_told_as_not_run():
    with pytest.raises(ExchangeError) as caught:
        connect("127.0.0.1:1", 500)
    assert caught.value.not_run
