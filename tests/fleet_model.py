"""A fleet of any size without network: real tables and links, simulated connections."""

import collections
import contextlib
import random
import zlib
from unittest import mock

from pollenmount.clock import ManualClock
from pollenmount.fleet import client, server
from pollenmount.fleet.channel import LINK_TIMEOUT_MS
from pollenmount.fleet.client import LinkClient
from pollenmount.fleet.fleet import Fleet
from pollenmount.fleet.messages import RoutesChanged, decode, encode
from pollenmount.fleet.records import (
    CONTROL,
    ENTRY,
    MemberRecord,
    TargetLoad,
    TargetRecord,
)
from pollenmount.fleet.server import LinkServer
from pollenmount.fleet.totals import LOAD_INTERVAL_MS
from pollenmount.routes.plan import DEFAULT_LIMITS, RoutePlan, ServiceLimits
from pollenmount.routes.store import RoutesStore

REGIONS = ("east", "south", "west")
ZONES = {f"{region}-{zone}": region for region in REGIONS for zone in "ab"}
ROUND_MS = 250
STEP_MS = 50
HEARTBEAT_MS = 1200
OVERDUE_MS = 1800
SILENCE_MS = 4200
SERVICES = {"engine": ServiceLimits("engine", 620, 2.7, None)}


def decode_plan(document):
    """Return the plan in a document, which has nothing but the version."""
    return RoutePlan(int(document), (), SERVICES, DEFAULT_LIMITS)


class End:
    """One end of a link; what is pushed waits until the model delivers it."""

    def __init__(self, model, node, deliver, on_close):
        self.model = model
        self.node = node
        self.deliver = deliver
        self.on_close = on_close
        self.peer = None
        self.inbox = collections.deque()
        self.closed = False

    def push(self, message):
        self.push_encoded(encode(message))

    def push_encoded(self, data):
        if not self.closed:
            self.node.sent_bytes += len(data)
            self.peer.inbox.append(data)

    def close(self):
        """Close both ends; what is under way is lost."""
        for end in (self, self.peer):
            if not end.closed:
                end.closed = True
                end.inbox.clear()
                self.model.ends.pop(end, None)
                if end.node.alive:
                    end.on_close()


class Node:
    """One VM: its tables, its links, and what it sent and received."""

    def __init__(self, model, name, role, zone):
        self.model = model
        self.name = name
        self.role = role
        self.zone = zone
        self.region = ZONES[zone]
        self.address = f"{name}:1"
        self.alive = True
        self.frozen_at = None
        self.has_log = True
        self.has_paths = lambda: True
        self.starts = 0
        self.sent_bytes = 0
        self.received_bytes = 0
        self.received = collections.Counter()
        self.start()

    def start(self):
        """Start the VM, knowing nothing but the seeds."""
        self.alive = True
        self.starts += 1
        self.loads = ()
        self.store = RoutesStore(decode_plan)
        self.fleet = Fleet(self.model.clock, self.store, ZONES, self.role == CONTROL)
        self.changes = []
        self.fleet.listeners.append(
            lambda message, source: self.changes.append(message)
        )
        self.server = None
        if self.role == CONTROL:
            self.server = LinkServer(
                self.address, self.fleet, self.model.clock, lambda: self.has_log
            )
        self.client = LinkClient(
            self.fleet,
            self.model.clock,
            self.describe,
            lambda: self.loads,
            lambda: self.model.seeds,
            lambda: self.has_log,
        )

    def describe(self):
        """Return the VM's own record."""
        plan = self.store.version
        return MemberRecord(
            self.name,
            f"{self.name}-{self.starts}",
            self.starts,
            plan,
            self.role,
            self.region,
            self.zone,
            f"{self.name}:2",
            f"{self.name}:3",
            self.address if self.role == CONTROL else "",
            "",
            plan,
            plan > 0,
            False,
            self.has_paths(),
        )

    def receive(self, data):
        """Count a message and return it."""
        message = decode(data)
        self.received_bytes += len(data)
        self.received[type(message).__name__] += 1
        return message

    def on_message(self, address, data):
        """Handle a message on a link that this VM opened."""
        self.client.handle(address, self.receive(data))


class FleetModel:
    """Control VMs, two in each region, with `entries` entry VMs and some targets."""

    def __init__(self, entries, targets=24, seed=1):
        self.clock = ManualClock(1_000_000)
        self.random = random.Random(seed)
        self.stack = contextlib.ExitStack()
        for module in (client, server):
            for name, replacement in (
                ("PeriodicTask", lambda step, interval_ms: mock.Mock()),
                ("listen", lambda address, backlog: mock.Mock()),
                ("spawn", self.spawn),
            ):
                patch = mock.patch.object(module.task, name, replacement)
                self.stack.enter_context(patch)
        # In a fixed order, so that a seed tells what is played.
        self.ends = {}
        self.cut_zones = set()
        self.revision = 0
        zones = sorted(ZONES)
        self.seeds = [f"control-{zone}:1" for zone in zones[::2]]
        self.nodes = {}
        for zone in zones:
            self.add(f"control-{zone}", CONTROL, zone)
        for number in range(entries):
            self.add(f"entry-{number}", ENTRY, zones[number % len(zones)])
        self.targets = {
            f"t{number}": zones[number % len(zones)] for number in range(targets)
        }
        self.sequence = 0

    @classmethod
    @contextlib.contextmanager
    def started(cls, entries=12):
        """Yield a fleet with a plan in force, of six control VMs and some entry VMs."""
        with contextlib.closing(cls(entries)) as model:
            model.put_plan(1)
            model.run(6000)
            yield model

    def close(self):
        self.stack.close()

    def add(self, name, role, zone):
        """Add a VM and start it."""
        self.nodes[name] = Node(self, name, role, zone)
        return self.nodes[name]

    def of_role(self, role):
        """Return the running VMs of a role."""
        return [n for n in self.nodes.values() if n.role == role and n.alive]

    def spawn(self, function, *args):
        """Open the link that a client asks for; other tasks are not run."""
        owner = getattr(function, "__self__", None)
        if isinstance(owner, LinkClient):
            node = next(n for n in self.nodes.values() if n.client is owner)
            self.connect(node, *args)

    def connect(self, node, address):
        """Connect a VM to a control VM, or fail."""
        peer = self.nodes.get(address.partition(":")[0])
        if peer is None or not peer.alive or not self.reaches(node, peer):
            node.client.forget_link(address)
            return
        sessions = []

        def deliver_to_server(data):
            message = peer.receive(data)
            if sessions:
                peer.server.handle(sessions[0], message)
            else:
                sessions.append(peer.server.open_session(message, server_end))

        def close_session():
            if sessions:
                peer.server.close_session(sessions[0], "closed")

        server_end = End(self, peer, deliver_to_server, close_session)
        client_end = End(
            self,
            node,
            lambda data: node.on_message(address, data),
            lambda: node.client.forget_link(address),
        )
        client_end.peer, server_end.peer = server_end, client_end
        self.ends |= dict.fromkeys((client_end, server_end))
        node.client.open_link(address, client_end)

    def reaches(self, one, other):
        """Return whether two VMs are not separated by a cut."""
        return self.is_cut(one) == self.is_cut(other)

    def is_cut(self, node):
        """Return whether a VM, or its failure domain, is separated."""
        return bool({node.zone, node.name} & self.cut_zones)

    def cut(self, *zones):
        """Separate failure domains or VMs from the others; () joins all again."""
        self.cut_zones = set(zones)
        for end in [*self.ends]:
            if not end.closed and not self.reaches(end.node, end.peer.node):
                end.close()

    def kill(self, node):
        """Kill a VM; its links break."""
        node.alive = False
        for end in [*self.ends]:
            if end.node is node and not end.closed:
                end.close()

    def freeze(self, node):
        """Stop a VM; what is sent to it waits."""
        node.frozen_at = self.clock.now()

    def wake(self, node):
        """Let a VM go on; after a while its peers have closed its links."""
        frozen_ms, node.frozen_at = self.clock.now() - node.frozen_at, None
        for end in [*self.ends]:
            if end.node is node and not end.closed and frozen_ms >= LINK_TIMEOUT_MS:
                end.close()

    def put_plan(self, version):
        """Put a plan into force at all control VMs."""
        self.revision += 1
        document = zlib.compress(str(version).encode())
        for node in self.of_role(CONTROL):
            if not node.has_log:
                continue
            node.fleet.handle(RoutesChanged(self.revision, version, document), "log")

    def beat(self, id_, control, **changes):
        """Send a target's heartbeat to a control VM."""
        self.sequence += 1
        record = TargetRecord(
            *(id_, 1, self.sequence, "engine", f"{id_}:1", self.targets[id_]),
            *("v", 16, False, 0),
        )
        control.server.targets.handle_heartbeat(record._replace(**changes))

    def beat_all(self):
        """Send a heartbeat of each target to a control VM that it reaches."""
        controls = self.of_role(CONTROL)
        for id_, zone in self.targets.items():
            near = [
                c
                for c in controls
                if (c.zone in self.cut_zones) == (zone in self.cut_zones)
            ]
            if near:
                home = zlib.crc32(id_.encode()) % len(near)
                self.beat(id_, near[home])

    def set_loads(self, requests):
        """Let each entry VM have requests on each target of its region."""
        for node in self.of_role(ENTRY):
            own = [t for t, zone in self.targets.items() if ZONES[zone] == node.region]
            node.loads = tuple(TargetLoad(id_, requests, 100) for id_ in own)

    def deliver(self):
        """Deliver all messages, in a random order over the links."""
        while waiting := [e for e in self.ends if e.inbox and not e.node.frozen_at]:
            self.random.shuffle(waiting)
            for end in waiting:
                while end.inbox and self.random.random() < 0.7:
                    end.deliver(end.inbox.popleft())

    def run(self, ms):
        """Let time pass, with all periodic work and all messages."""
        for _ in range(ms // STEP_MS):
            self.clock.advance(STEP_MS)
            if self.is_due(HEARTBEAT_MS):
                self.beat_all()
            nodes = [n for n in self.nodes.values() if n.alive and not n.frozen_at]
            if self.is_due(ROUND_MS):
                run_round(nodes)
            if self.is_due(LOAD_INTERVAL_MS):
                send_loads(nodes)
            self.deliver()

    def is_due(self, interval_ms):
        """Return whether periodic work with this interval is due."""
        return self.clock.now() % interval_ms < STEP_MS

    def reset_counters(self):
        """Count what is sent and received from now on."""
        for node in self.nodes.values():
            node.received.clear()
            node.sent_bytes = node.received_bytes = 0
            node.changes.clear()


def run_round(nodes):
    """Let VMs do what they do in each round."""
    for node in nodes:
        node.client.run_round()
        if node.server:
            node.server.tick()
            node.server.targets.doubt_overdue(OVERDUE_MS)
            node.server.targets.sweep(SILENCE_MS)


def send_loads(nodes):
    """Let VMs report their loads, and the control VMs send the totals on."""
    for node in nodes:
        node.client.send_news()
        if node.server:
            node.server.send_news()
