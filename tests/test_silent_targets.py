"""A target that is silent for a while, or cut off, doesn't lose a caller's answer."""

import contextlib

import pytest

from pollenmount import task
from tests.gateway_sockets import (
    STREAM_END,
    lose_packets,
    read_stream,
    request_bytes,
    start_with_target,
    use_green_sockets,
)

LOSS_MS = 700
SILENCE_MS = 2500
BODY_BYTES = 1 << 20


@pytest.fixture
def answer(network, monkeypatch):
    """Return a function: the response to a request to a target that runs a script."""
    use_green_sockets(monkeypatch)
    with contextlib.ExitStack() as stack:

        def start(run, path, body=b""):
            entry, _ = start_with_target(stack, network, run, subnet=6)
            headers = ("Connection: close",)
            with entry.connect() as peer:
                peer.sendall(request_bytes(path=path, body=body, headers=headers))
                return read_stream(peer)

        yield start


def lose_one_probe(exchange):
    """Be silent for a while; lose what arrives when the first probe is due."""
    task.sleep(LOSS_MS)
    lose_packets(exchange.connection, LOSS_MS)
    task.sleep(SILENCE_MS - 2 * LOSS_MS)


def test_a_lost_probe_does_not_end_a_stream(answer):
    """One lost packet on an idle, sound path ended a stream that cannot be resumed."""

    def run(exchange):
        exchange.start()
        exchange.send_event(1)
        lose_one_probe(exchange)
        exchange.send_event(2)
        exchange.end()

    response = answer(run, "/stream/1")
    assert response.count(b"id: ") == 2
    assert response.endswith(STREAM_END)


def test_a_lost_probe_does_not_end_a_request_that_must_not_be_repeated(answer):
    """One lost packet while a target worked became a 502, "it may have run"."""

    def run(exchange):
        lose_one_probe(exchange)
        exchange.send_response(b"done")

    response = answer(run, "/once/1")
    assert response.startswith(b"HTTP/1.1 200") and response.endswith(b"done")


@pytest.mark.parametrize("path", ["/stream/1", "/once/1"])
def test_a_busy_target_gets_the_whole_body(answer, path):
    """A target that read nothing for a second had its connection reset by this VM."""

    def run(exchange):
        task.sleep(SILENCE_MS)
        exchange.read_body()
        exchange.send_response(b"done")

    response = answer(run, path, bytes(BODY_BYTES))
    assert response.startswith(b"HTTP/1.1 200")
