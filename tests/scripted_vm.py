"""An entry VM that reads the bytes of scripted responses with the real sender."""

from pollenmount.crashes import probe
from pollenmount.fleet.messages import TargetLeaving, TargetLimited
from pollenmount.gateway.attempt import Sender
from pollenmount.gateway.progress import Progress
from pollenmount.routes.plan import RetryMode
from pollenmount.wire import pool as wire_pool
from pollenmount.wire.errors import ConnectRefusedError
from tests.gateway_harness import EntryHarness, make_route
from tests.test_gateway_sender import STAMP, ScriptedConnection
from tests.test_platform_adapter import DIALECT

ONCE = make_route(RetryMode.ONCE)
STREAM = make_route(RetryMode.STREAM)
LEAVING = "Server-Leaving: 1\r\n"
NOT_RUN = "X-Pollenmount-Not-Run: 1\r\n"
KEEP_ALIVE = "Keep-Alive: timeout=9\r\n"
EVENTS = b"9\r\nid: 1\nx\n\n\r\n"


def response_bytes(status=200, extra=STAMP, body=b"done"):
    """Return a response to the calls of `EntryHarness`."""
    head = f"HTTP/1.1 {status} X\r\nX-Pollenmount-Attempt-Id: id-1\r\n{extra}"
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


def stream_head(extra):
    """Return the head of a streamed response."""
    head = response_bytes(extra=STAMP + extra, body=b"")
    return head.replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")


class LiveConnection(ScriptedConnection):
    """A scripted connection that seems open until it is closed."""

    closed = False

    def is_alive(self):
        return not self.closed

    def close(self):
        super().close()
        self.closed = True


class Vm:
    """An entry VM that reads scripted responses; `opened` are its connections.

    `ended` are the addresses of targets that refuse the connections of probes.
    """

    def __init__(self, monkeypatch, *targets):
        self.harness = EntryHarness()
        self.opened = []
        self.scripts = []
        monkeypatch.setattr(wire_pool, "connect", self.connect)
        harness = self.harness
        harness.dispatcher.sender = Sender(
            harness.context.pool,
            DIALECT,
            harness.clock,
            harness.context.guard.has_ended,
        )
        monkeypatch.setattr(probe, "connect", self.look)
        self.ended = set()
        for name in targets:
            harness.add_target(name)

    def connect(self, address, timeout_ms):
        """Return a connection with the next script."""
        connection = LiveConnection(self.scripts.pop(0), reset=False)
        connection.address = address
        self.opened.append(connection)
        return connection

    def look(self, address, timeout_ms):
        """Return a connection of a probe, unless the target at the address ended."""
        if address in self.ended:
            raise ConnectRefusedError(f"can't connect to {address}")
        return LiveConnection([], reset=False)

    def progress(self, call):
        """Return the progress of a call that begins."""
        return Progress(call)

    def serve(self, *scripts, route=ONCE, may_hop=True, **changes):
        """Return the parts of a call; each script is for one new connection."""
        self.scripts = [[s] if isinstance(s, bytes) else [*s] for s in scripts]
        self.harness.update_capacities()
        call = self.harness.make_call(route, **changes)
        served = self.harness.dispatcher.serve(call, Progress(call), may_hop)
        return list(served)

    def leave(self, id_="a", born=1, source="c"):
        """Let the VM hear that a target leaves."""
        self.harness.fleet.handle(TargetLeaving(id_, born), source)

    def hear_limit(self, per_s, *senders, id_="a", born=1):
        """Let the VM hear of a target's limit, and who may send there."""
        self.harness.fleet.handle(TargetLimited(id_, born, per_s, senders), "c")

    def usable(self, **changes):
        """Return the names of the targets that a call may be sent to."""
        call = self.harness.make_call(**changes)
        return {o.id for o in self.harness.context.options(call, set()).local}
