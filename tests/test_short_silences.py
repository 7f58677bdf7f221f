"""A sound target that is silent for a second or so and goes on costs callers nothing.

The target, or the path to it, is silent at each moment of an exchange.
"""

import contextlib
import itertools
import socket
import time

import eventlet
import pytest

from pollenmount import task
from pollenmount.gateway import routing_context
from pollenmount.wire.pool import CONNECT_TIMEOUT_MS
from tests.gateway_sockets import (
    lose_packets,
    read_stream,
    request_bytes,
    start_with_target,
    use_green_sockets,
)

SILENCES_MS = (1000, 1500)
# Shortly before the first keepalive probe is due.
BEFORE_PROBE_MS = 900
BODY_BYTES = 1 << 20
SLOTS = 128
EVENTS = 3
RESPONSE = b"y" * 3000
# Shorter than the time-out of a second attempt to connect.
PORT_SILENCE_MS = 1250
# A time-out of connecting, and twice the time for which a breaker opens.
MAX_REFUSED_LATER_S = 0.8
REQUEST_INTERVAL_MS = 50
PATHS = ("/stream/1", "/once/1", "/again/1", "/resumed/1")
MOMENTS = (
    "before-request",
    "inside-request",
    "before-head",
    "inside-head",
    "after-head",
    "inside-body",
)


class Target:
    """The script of a target that is silent once in an exchange, and then goes on.

    `silence` is called with the connection and a duration in milliseconds. `runs` has
    the ids of the requests that were read whole.
    """

    def __init__(self):
        self.runs = []

    def run(self, exchange):
        """Answer a request whose id names what is to happen."""
        id_ = exchange.headers["x-pollenmount-attempt-id"]
        _, moment, kind, ms, path = id_.split("_")
        silence = lose_packets if kind == "path" else sleep
        if kind == "probe":
            silence = lose_probes

        def pause(at):
            if at == moment:
                silence(exchange.connection, int(ms))

        if moment == "inside-request":
            pause(moment)
        exchange.read_body()
        self.runs.append(id_)
        pause("before-head")
        send = send_stream if path in ("stream", "resumed") else send_body
        send(SlowStart(exchange, pause), pause)
        if moment == "before-request":
            eventlet.spawn(silence, exchange.connection, int(ms))


class SlowStart:
    """An `Exchange` whose connection pauses inside the head of the response."""

    def __init__(self, exchange, pause):
        self.exchange = exchange
        self.pause = pause
        self.connection = exchange.connection

    def start(self, framing):
        """Send the head of a response in two parts."""
        connection, sent = self.connection, []
        self.exchange.connection = type("Recorder", (), {"sendall": sent.append})
        self.exchange.start(framing)
        self.exchange.connection = connection
        (head,) = sent
        connection.sendall(head[:30])
        self.pause("inside-head")
        connection.sendall(head[30:])


def sleep(connection, ms):
    """Stand still; the kernel goes on to acknowledge what arrives."""
    task.sleep(ms)


def lose_probes(connection, ms):
    """Lose what arrives from shortly before the first probe on."""
    task.sleep(BEFORE_PROBE_MS)
    lose_packets(connection, ms)


def send_body(response, pause):
    """Send a response with a length."""
    response.start(f"Content-Length: {len(RESPONSE)}")
    pause("after-head")
    response.connection.sendall(RESPONSE[:100])
    pause("inside-body")
    response.connection.sendall(RESPONSE[100:])


def send_stream(response, pause):
    """Send a stream of events."""
    response.start("Transfer-Encoding: chunked")
    pause("after-head")
    for number in range(1, EVENTS + 1):
        response.exchange.send_event(number)
        if number == 1:
            pause("inside-body")
    response.exchange.end()


def is_whole(response, path):
    """Return whether a caller got the whole response."""
    if not response.startswith(b"HTTP/1.1 200"):
        return False
    if path in ("/stream/1", "/resumed/1"):
        return response.count(b"id: ") == EVENTS and response.endswith(b"0\r\n\r\n")
    return response.endswith(RESPONSE)


@pytest.fixture
def start(network, monkeypatch):
    """Return a function that starts an entry VM and a target with a script."""
    use_green_sockets(monkeypatch)
    # The VM and its only target share an event loop, so connecting may take long.
    monkeypatch.setattr(routing_context, "SLOW_CONNECT_MS", CONNECT_TIMEOUT_MS)
    with contextlib.ExitStack() as stack:

        def start(run):
            entry, scripted = start_with_target(stack, network, run, subnet=8)
            room = {"slots": SLOTS, "sequence": 2}
            entry.add_target("t", address=scripted.address, **room)
            return entry, scripted

        yield start


def ask(entry, id_, path, body):
    """Return the response to one request on a connection of its own."""
    with entry.connect() as peer:
        headers = ("Connection: close",)
        peer.sendall(request_bytes(id_, path, body, headers))
        return read_stream(peer)


def ask_in_turn(entry, first, moment, kind, ms, path):
    """Return the response to a request that falls into a silence.

    One that is sent in a silence follows an exchange that leaves its connection open.
    """
    name = path.split("/")[1]
    if moment == "before-request":
        ask(entry, f"{first}_{moment}_{kind}_{ms}_{name}", path, b"")
        moment = "none"
    body = bytes(BODY_BYTES) if moment == "inside-request" else b""
    return ask(entry, f"{first}x_{moment}_{kind}_{ms}_{name}", path, body)


# Guards against answers, streams and targets that are given up for a short silence.
@pytest.mark.parametrize("kind", ["process", "path", "probe"])
def test_a_silent_target_that_goes_on_costs_callers_nothing(start, kind):
    target = Target()
    entry, scripted = start(target.run)
    # With the time before a probe, one that reads nothing is silent for longer.
    moments = [m for m in MOMENTS if (kind, m) != ("probe", "inside-request")]
    cases = [*itertools.product(moments, [kind], SILENCES_MS, PATHS)]
    threads = [
        eventlet.spawn(ask_in_turn, entry, number, *case)
        for number, case in enumerate(cases)
    ]
    responses = [thread.wait() for thread in threads]
    broken = [
        (case, response[-200:])
        for case, response in zip(cases, responses, strict=True)
        if not is_whole(response, case[-1])
    ]
    assert not broken, "\n".join(map(repr, broken))
    assert len(target.runs) == len({*target.runs})
    assert not entry.context.breakers.by_name
    starts = entry.context.guard.attempts.starts.values()
    assert [(s.broken_at, s.crashed_at) for s in starts] == [(None, None)]
    assert not scripted.errors


# Guards against a target that is left out, after a short silence, for as long as the
# silence and more.
def test_a_target_that_took_no_connections_is_used_again_soon(start):
    entry, scripted = start(lambda exchange: exchange.send_response(RESPONSE))
    resumed_at = time.monotonic() + PORT_SILENCE_MS / 1000
    eventlet.spawn(lose_packets, scripted.listener, PORT_SILENCE_MS)
    refused_at = []

    def ask_once(number):
        sent_at = time.monotonic()
        if not is_whole(ask(entry, f"{number}", "/again/1", b""), "/again/1"):
            refused_at.append(sent_at)

    threads = []
    while time.monotonic() < resumed_at + 2 * MAX_REFUSED_LATER_S:
        threads.append(eventlet.spawn(ask_once, len(threads)))
        task.sleep(REQUEST_INTERVAL_MS)
    for thread in threads:
        thread.wait()
    assert refused_at
    assert max(refused_at) - resumed_at < MAX_REFUSED_LATER_S


# Guards against a target that counts as crashed because it broke off one request and
# then took no connections for a short while.
def test_a_silent_target_that_broke_off_a_request_has_not_crashed(start):
    def run(exchange):
        eventlet.spawn(lose_packets, target.listener, PORT_SILENCE_MS)
        task.sleep(REQUEST_INTERVAL_MS)
        exchange.connection.shutdown(socket.SHUT_RDWR)

    entry, target = start(run)
    assert ask(entry, "1", "/once/1", b"").startswith(b"HTTP/1.1 502")
    task.sleep(PORT_SILENCE_MS)
    (watched,) = entry.context.guard.attempts.starts.values()
    assert watched.broken_at is not None
    assert watched.crashed_at is None
