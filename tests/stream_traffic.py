"""Streams over a fleet without network: VMs and targets die, callers take up again.

Real calls go through the HTTP handlers, the dispatcher and the sender of each entry VM;
connections are simulated. Each event tells the version of the target that sent it.
"""

import random
import re
import types

from pollenmount.fleet.records import CONTROL, ENTRY
from pollenmount.gateway.attempt import Sender
from pollenmount.gateway.callers import CallersApi, HopsApi
from pollenmount.gateway.choose import make_chooser
from pollenmount.gateway.dispatch import Dispatcher
from pollenmount.gateway.load import LoadTracker
from pollenmount.gateway.metrics import GatewayMetrics
from pollenmount.retry_budget import RetryBudget
from pollenmount.routes.plan import RetryMode, index_routes
from pollenmount.wire.answered_ids import AnsweredIds
from pollenmount.wire.connection import HttpResponseHead
from pollenmount.wire.errors import ConnectError, ExchangeError
from tests.fleet_model import ZONES, FleetModel
from tests.gateway_harness import BOUNDS, make_context, make_route, make_settings
from tests.test_platform_adapter import DIALECT

__all__ = ["StreamTraffic"]

EVENTS = 8
TIMEOUT_MS = 15_000
STEP_MS = 50
MAX_WAITING = 24
MAX_TRIES = 6
ROUTE = make_route(
    RetryMode.STREAM, "engine", resumable=True, attempts=2, timeout_ms=TIMEOUT_MS
)
EVENT = re.compile(rb"id: (\d+)\ndata: (\S+)\n\n")


class Request:
    """A request as the handlers of an entry VM get it."""

    method = "POST"
    target = "/r/1"

    def __init__(self, headers, body=b""):
        self.head = types.SimpleNamespace(headers=tuple(headers))
        self.body = body

    def header(self, name):
        return next((v for k, v in self.head.headers if k.lower() == name.lower()), "")

    def read(self, limit):
        return self.body

    def cancel_on_disconnect(self):
        pass

    def find_end(self):
        return None


class Connection:
    """A connection to `peer`, a function that returns the reply to a request."""

    reusable = True
    requests_sent = 1

    def __init__(self, peer):
        self.peer = peer
        self.reply = None
        self.ids = AnsweredIds()

    def send(self, data):
        head, _, body = data.decode().partition("\r\n\r\n")
        lines = head.split("\r\n")[1:]
        headers = [line.split(": ", 1) for line in lines if ": " in line]
        self.reply = self.peer(headers, body.encode())

    def read_head(self, remaining_ms):
        headers = [h for h in self.reply.headers if h[0] != "Content-Length"]
        framed = (*headers, ("Transfer-Encoding", "chunked"))
        return HttpResponseHead(self.reply.status, framed, False)

    def read_body(self, head, method, remaining_ms):
        yield from self.reply.body


class Pool:
    """Opens a connection for each request of one VM."""

    def __init__(self, traffic, region):
        self.traffic = traffic
        self.region = region

    def acquire(self, key, address, *limits):
        name, _, port = address.partition(":")
        if port == "3":
            return Connection(self.traffic.hop_peer(name))
        return Connection(self.traffic.target_peer(name, self.region))

    def release(self, key, connection, head):
        pass

    def discard(self, key, connection):
        pass


class Stream:
    """A caller's stream over all its tries; `versions` have those of its events."""

    def __init__(self, number):
        self.number = number
        self.tries = 0
        self.root = ""
        self.last_event = 0
        self.versions = []
        self.node = None
        self.body = None
        self.refused = 0
        self.done = False

    @property
    def is_open(self):
        """Return whether a response is on its way."""
        return self.body is not None


class StreamTraffic:
    """A started fleet, targets of several versions, and callers' streams.

    `versions` are those of the running targets by id. `taken_up` counts the streams
    that were taken up again while two targets of their version ran, `gone_on` those of
    them that got a response. Callers name the streams that they take up if they are
    `named`; `draining` are the targets that say so, `silent` those whose heartbeats do
    not arrive. `break_share` of the pieces of
    targets' responses are not sent, and break these off.
    """

    def __init__(self, entries=6, targets=12, seed=1, named=True):
        self.named = named
        self.draining = set()
        self.silent = set()
        self.break_share = 0.0
        self.random = random.Random(seed)
        random.seed(seed)
        self.fleet = FleetModel(entries, targets, seed)
        self.versions = dict.fromkeys(self.fleet.targets, "v1")
        self.born = dict.fromkeys(self.fleet.targets, 1)
        self.fleet.beat_all = self.beat_all
        self.entries = {}
        self.streams = []
        self.taken_up = self.gone_on = 0
        self.fleet.put_plan(1)
        self.fleet.run(6000)

    def close(self):
        self.fleet.close()

    def beat_all(self):
        """Send the heartbeats of all targets that run."""
        controls = self.fleet.of_role(CONTROL)
        for id_, version in self.versions.items():
            region = ZONES[self.fleet.targets[id_]]
            near = [c for c in controls if c.region == region] or controls
            if near and id_ not in self.silent:
                born, draining = self.born[id_], id_ in self.draining
                self.fleet.beat(
                    id_, near[0], born=born, version=version, draining=draining
                )

    def release(self, id_, version):
        """Replace a target by one of another version, under an id of its own."""
        self.crash(id_)
        new = f"{id_.partition('-')[0]}-{version}-{len(self.born)}"
        self.fleet.targets[new] = self.fleet.targets[id_]
        self.versions[new], self.born[new] = version, 1

    def restart_silently(self, id_, version):
        """Restart a target under its id as another version; it is not heard yet."""
        self.versions[id_] = version
        self.born[id_] += 1
        self.silent.add(id_)

    def leave(self, id_):
        """Let a target say that it leaves, and end."""
        self.fleet.of_role(CONTROL)[0].server.targets.handle_leave(id_)
        self.crash(id_)

    def crash(self, id_):
        """End a target for good."""
        self.versions.pop(id_, None)

    def target_peer(self, id_, region):
        """Return what answers at a target's address, or raise `ConnectError`."""
        if id_ not in self.versions or ZONES[self.fleet.targets[id_]] != region:
            raise ConnectError("connection refused")

        def answer(headers, body):
            values = {k.lower(): v for k, v in headers}
            after = int(values.get("last-event-id", 0))
            stamp = [("X-Pollenmount-Response-Stamp", "s")]
            id_header = ("X-Pollenmount-Attempt-Id", values["x-pollenmount-attempt-id"])
            body = self.events(id_, after)
            return types.SimpleNamespace(
                status=200, headers=(id_header, *stamp), body=body
            )

        return answer

    def events(self, id_, after):
        """Yield the events of a target, in pieces, until it ends."""
        version = self.versions[id_]
        for number in range(after + 1, EVENTS + 1):
            event = b"id: %d\ndata: %s\n\n" % (number, version.encode())
            for piece in self.split(event):
                if id_ not in self.versions or self.random.random() < self.break_share:
                    raise ExchangeError("the answer ended early")
                yield piece

    def split(self, data):
        """Yield some bytes in two pieces."""
        cut = self.random.randrange(len(data))
        yield from filter(None, (data[:cut], data[cut:]))

    def hop_peer(self, name):
        """Return what answers at an entry VM's address for hops."""
        node = self.fleet.nodes[name]
        if not node.alive:
            raise ConnectError("connection refused")
        starts = node.starts

        def answer(headers, body):
            reply = HopsApi(self.entry(node)).handle(Request(headers, body))
            body = self.while_alive(node, starts, reply.body)
            return reply._replace(body=body)

        return answer

    def while_alive(self, node, starts, body):
        """Yield a body until the VM that sends it is killed."""
        for part in body:
            for piece in self.split(part):
                if not node.alive or node.starts != starts:
                    raise ExchangeError("the connection was closed")
                yield piece

    def entry(self, node):
        """Return the namespace of an entry VM's parts, new ones after a restart."""
        key = (node.name, node.starts)
        if key not in self.entries:
            self.entries[key] = self.make_entry(node)
        return self.entries[key]

    def make_entry(self, node):
        """Return the parts of an entry VM over its node's view of the fleet."""
        metrics = GatewayMetrics()
        settings = make_settings(node.name, node.region)
        context = make_context(settings, node.fleet, LoadTracker(dict), metrics)
        context.random = random.Random(node.name)
        probe = types.SimpleNamespace(has_crashed=lambda *args: False)
        context.guard.attempts.probe = probe
        clock = self.fleet.clock
        budget = RetryBudget(clock, BOUNDS.retry_limits, node.fleet.entry_counter.share)
        sender = Sender(Pool(self, node.region), DIALECT, clock, lambda *args: False)
        dispatcher = Dispatcher(
            context, make_chooser("random"), sender, budget, clock, self.sleep
        )
        node.store.by_host = index_routes((ROUTE,))
        return types.SimpleNamespace(
            settings=settings,
            clock=clock,
            store=node.store,
            dialect=DIALECT,
            dispatcher=dispatcher,
            fleet=node.fleet,
            metrics=metrics,
            refusing=False,
            stopping=False,
            calls=set(),
        )

    def sleep(self, ms=0):
        """Let time pass for the whole fleet."""
        self.fleet.run(STEP_MS)

    def begin(self, node=None):
        """Let a caller begin a stream at a VM, or at any; return it."""
        stream = Stream(len(self.streams))
        self.streams.append(stream)
        self.send(stream, node)
        return stream

    def take_up(self, stream, node=None):
        """Let a caller take a broken stream up again at a VM, or at any."""
        version = stream.versions[0]
        counted = [*self.versions.values()].count(version) >= 2 and self.in_touch()
        self.send(stream, node)
        if counted:
            self.taken_up += 1
            self.gone_on += stream.is_open

    def in_touch(self):
        """Return whether all entry VMs have run for a while."""
        nodes = self.fleet.of_role(ENTRY)
        return bool(nodes) and all(n.store.plan and n.fleet.quorums for n in nodes)

    def send(self, stream, node=None):
        """Send a request of a stream under a new id, to a VM or to any."""
        nodes = [n for n in self.fleet.of_role(ENTRY) if n.store.plan]
        if not nodes:
            return
        stream.node = node or self.random.choice(nodes)
        stream.starts = stream.node.starts
        stream.tries += 1
        stream.id = f"stream-{stream.number}-{stream.tries}"
        headers = [
            ("Host", "h"),
            ("X-Pollenmount-Attempt-Id", stream.id),
            ("X-Pollenmount-Deadline-Ms", str(TIMEOUT_MS)),
        ]
        if stream.last_event:
            headers.append(("Last-Event-Id", str(stream.last_event)))
            if self.named:
                headers.append(("Resumes", stream.root))
        request = Request(headers, str(stream.number).encode())
        reply = CallersApi(self.entry(stream.node)).handle(request)
        if reply.status == 200:
            stream.body = iter(reply.body)
        else:
            stream.refused += 1

    def read(self, stream):
        """Let a caller read what comes next of its stream."""
        if not stream.node.alive or stream.node.starts != stream.starts:
            stream.body = None
            return
        try:
            self.record(stream, next(stream.body))
        except StopIteration:
            stream.done, stream.body = True, None
        except Exception:
            stream.body = None

    def record(self, stream, part):
        """Record the events in a part of a response."""
        for match in EVENT.finditer(part):
            stream.root = stream.root or stream.id
            stream.last_event = int(match[1])
            stream.versions.append(match[2].decode())

    def act(self):
        """Let one caller do what it does next."""
        waiting = [s for s in self.streams if not s.done]
        if len(waiting) < MAX_WAITING:
            self.begin()
            return
        stream = self.random.choice(waiting)
        if stream.is_open:
            self.read(stream)
        elif stream.last_event:
            self.take_up(stream)
        else:
            self.send(stream)
        if stream.tries > MAX_TRIES:
            stream.done = True

    def kill_entries(self, nodes):
        """Kill entry VMs, and start them again a moment later."""
        for node in nodes:
            self.fleet.kill(node)
        self.fleet.run(500)
        for node in nodes:
            node.start()

    def joined(self):
        """Return the streams that hold events of two versions."""
        return [s for s in self.streams if len(set(s.versions)) > 1]

    def gaps(self):
        """Return the streams that miss an event, or have one twice."""
        return [s for s in self.streams if s.last_event != len(s.versions)]
