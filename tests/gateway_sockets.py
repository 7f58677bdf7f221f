"""Test harness: an entry VM that serves callers over sockets, and scripted targets."""

import contextlib
import ctypes
import struct
import sys
import time
import types
from pathlib import Path

import eventlet
from eventlet.green import socket

from pollenmount import task
from pollenmount.accounts.quotas import Quotas
from pollenmount.api.web import WebServer, make_app
from pollenmount.clock import ManualClock
from pollenmount.gateway.attempt import Sender
from pollenmount.gateway.callers import CallersApi
from pollenmount.gateway.metrics import GatewayMetrics
from pollenmount.routes.plan import RetryMode, index_routes
from pollenmount.wire import connection as wire_connection
from tests.gateway_harness import EntryHarness, make_route

sys.path.insert(0, str(Path(__file__).parent.parent / "platform"))
from fleetport.dialect import FleetDialect  # noqa: E402

LISTEN_BACKLOG = 1024
READ_BYTES = 65_536
NS_PER_MS = 1_000_000
# From the kernel's headers; `socket` has no names for them.
SO_ATTACH_FILTER = 26
SO_DETACH_FILTER = 27
DROP_ALL = struct.pack("HBBI", 6, 0, 0, 0)
STREAM_END = b"0\r\n\r\n"
ROUTES = (
    make_route(RetryMode.STREAM, prefix="/stream/", timeout_ms=60_000),
    make_route(RetryMode.ONCE, prefix="/once/", timeout_ms=60_000),
    make_route(prefix="/again/", timeout_ms=60_000),
    make_route(RetryMode.STREAM, prefix="/resumed/", timeout_ms=60_000, resumable=True),
)


def use_green_sockets(monkeypatch):
    """Let connections to targets cooperate, as `monkey_patch` does in a VM."""
    monkeypatch.setattr(wire_connection, "socket", socket)


def lose_packets(connected_socket, ms):
    """Let the kernel drop all that arrives at a socket for a while.

    Nothing is acknowledged then, as if the network to this end were cut.
    """
    with packets_lost(connected_socket):
        task.sleep(ms)


@contextlib.contextmanager
def packets_lost(connected_socket):
    """Let the kernel drop all that arrives at a socket while the context lasts."""
    program = ctypes.create_string_buffer(DROP_ALL)
    packed = struct.pack("HL", 1, ctypes.addressof(program))
    connected_socket.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, packed)
    yield
    connected_socket.setsockopt(socket.SOL_SOCKET, SO_DETACH_FILTER, 0)


class TickingClock(ManualClock):
    """A clock that goes on by itself, and can be advanced in addition."""

    def __init__(self, start=0):
        super().__init__(start)
        self.started_ns = time.monotonic_ns()

    def now(self):
        """Return the value, with the time since the start."""
        return self.value + (time.monotonic_ns() - self.started_ns) // NS_PER_MS

    wall_time = now


class SocketEntry(EntryHarness):
    """An entry VM that listens on `address` for callers."""

    clock_type = TickingClock

    def __init__(self, address):
        super().__init__()
        self.address = parse_address(address)
        self.store.by_host = index_routes(ROUTES)
        dialect = FleetDialect()
        self.dispatcher.sleep = task.sleep
        self.context.guard.attempts.probe.spawn = task.spawn
        self.dispatcher.sender = Sender(
            self.context.pool, dialect, self.clock, self.context.guard.has_ended
        )
        self.metrics = GatewayMetrics()
        self.node = types.SimpleNamespace(
            settings=self.settings,
            clock=self.clock,
            store=self.store,
            dialect=dialect,
            dispatcher=self.dispatcher,
            fleet=self.fleet,
            metrics=self.metrics,
            quotas=Quotas(self.clock, self.store),
            refusing=False,
            calls=set(),
        )
        self.server = WebServer(
            address,
            make_app(
                CallersApi(self.node).handle, is_refusing=lambda: self.node.refusing
            ),
            on_close=self.metrics.count_closed_connection,
        )

    def connect(self):
        """Return a caller's connection."""
        return socket.create_connection(self.address)

    def closed_connections(self):
        """Return the number of closed connections by reason."""
        (family,) = self.metrics.closed_connections.collect()
        samples = (s for s in family.samples if s.name.endswith("_total"))
        return {sample.labels["end"]: sample.value for sample in samples}

    def close(self):
        """Stop listening and close idle connections."""
        self.server.close()
        self.context.pool.close()


class ScriptedTarget:
    """A target; `run` gets each `Exchange` on it and sends the response.

    `errors` are those of connections that the VM ended.
    """

    def __init__(self, address, run):
        self.address = address
        self.run = run
        self.requests = 0
        self.errors = []
        self.listener = task.listen(address, LISTEN_BACKLOG)
        self.thread = eventlet.spawn(self.accept)

    def accept(self):
        """Serve connections until `close`."""
        while True:
            connection, _ = self.listener.accept()
            eventlet.spawn(self.serve, connection)

    def serve(self, connection):
        """Serve the requests on one connection."""
        data = b""
        while True:
            while b"\r\n\r\n" not in data:
                received = connection.recv(READ_BYTES)
                if not received:
                    return
                data += received
            head, _, data = data.partition(b"\r\n\r\n")
            self.requests += 1
            try:
                self.run(Exchange(connection, head.decode("latin-1"), data))
            except ConnectionError as error:
                self.errors.append(error)
                return
            data = b""

    def close(self):
        """Stop listening."""
        self.thread.kill()
        self.listener.close()


class Exchange:
    """One request at a target, and its response.

    `data` has the bytes of the body that arrived with the head.
    """

    def __init__(self, connection, head, data):
        self.connection = connection
        lines = [line.partition(": ") for line in head.split("\r\n")[1:]]
        self.headers = {name.lower(): value for name, _, value in lines}
        self.data = data

    def read_body(self):
        """Read the rest of the body."""
        while len(self.data) < int(self.headers.get("content-length", 0)):
            received = self.connection.recv(READ_BYTES)
            if not received:
                raise ConnectionError("the request is truncated")
            self.data += received

    def start(self, framing="Transfer-Encoding: chunked"):
        """Send the head of a response, by default of a stream."""
        lines = (
            "HTTP/1.1 200 OK",
            "X-Pollenmount-Response-Stamp: s",
            f"X-Pollenmount-Attempt-Id: {self.headers['x-pollenmount-attempt-id']}",
            framing,
        )
        self.connection.sendall("\r\n".join((*lines, "", "")).encode())

    def send_response(self, body):
        """Send a complete response."""
        self.start(f"Content-Length: {len(body)}")
        self.connection.sendall(body)

    def send_event(self, number, size=20):
        """Send one event of a stream."""
        event = b"id: %d\ndata: %s\n\n" % (number, b"x" * size)
        self.connection.sendall(b"%x\r\n%s\r\n" % (len(event), event))

    def end(self):
        """End the stream."""
        self.connection.sendall(STREAM_END)


def start_with_target(stack, network, run, subnet=7):
    """Start an entry VM and a target that runs a script; return both.

    `stack` closes them.
    """
    address = f"127.{network}.{subnet}.2:7300"
    target = ScriptedTarget(address, run)
    stack.callback(target.close)
    entry = SocketEntry(f"127.{network}.{subnet}.1:7300")
    stack.callback(entry.close)
    entry.add_target("t", address=address)
    return entry, target


def stream_events(count, interval_ms, size=20):
    """Return a script that sends events at a fixed interval."""

    def run(exchange):
        exchange.read_body()
        exchange.start()
        for number in range(1, count + 1):
            exchange.send_event(number, size)
            task.sleep(interval_ms)
        exchange.end()

    return run


def request_bytes(id_="id-1", path="/stream/1", body=b"", headers=()):
    """Return a caller's request."""
    lines = [f"POST {path} HTTP/1.1", "Host: h", f"X-Pollenmount-Attempt-Id: {id_}"]
    lines += [*headers, f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


def read_stream(connection, timeout_s=20):
    """Return the bytes received until the stream or the connection ends."""
    data = b""
    with eventlet.Timeout(timeout_s):
        while not data.endswith(STREAM_END):
            received = connection.recv(READ_BYTES)
            if not received:
                break
            data += received
    return data


def wait_until(condition, timeout_s=10):
    """Wait until `condition()` holds."""
    with eventlet.Timeout(timeout_s):
        while not condition():
            eventlet.sleep(0.01)


def parse_address(address):
    """Split `IP:port` into (IP, port)."""
    host, _, port = address.rpartition(":")
    return host, int(port)
