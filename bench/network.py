"""Members in one process over a fake network, for tests and for slopes.

Messages go through the real codec and are counted; time is a manual clock. The network
can cut links in one direction or both, lose, repeat and replay messages.
"""

import collections
import random
from typing import NamedTuple

import msgspec
from result import Err, Ok

from pollenmount.bridge.control import CALLS_BY_REQUEST
from pollenmount.clock import ManualClock
from pollenmount.errors import Fault, SheetError, TransportError
from pollenmount.members.distribution import FetchPlan, PlanDistributor, PushPlan
from pollenmount.members.heartbeat import Heartbeater
from pollenmount.members.local import LocalMemberTable
from pollenmount.members.messages import FetchRosters, Heartbeat, Pull
from pollenmount.members.remote import RemoteDomainTable
from pollenmount.members.report import Reporter
from pollenmount.members.table import Member, MemberTable
from pollenmount.plans.machine import AcceptedPlan

__all__ = ["FakeNetwork", "FakeNode", "FakeTarget", "accept_plan"]

HEARTBEAT_INTERVAL_MS = 1000
MAX_RECORDED_MESSAGES = 200
UNREADABLE = b"unreadable"


class FakeTarget(NamedTuple):
    """A target as the table of targets shows it."""

    announcement: object


class FakePlan(NamedTuple):
    """A plan of which only the number matters."""

    number: int


class FakeStore:
    """The plan in force, without parsing; some sheets can't be read by some nodes."""

    def __init__(self, parses_all_sheets):
        self.parses_all_sheets = parses_all_sheets
        self.accepted = None
        self.numbers = [0]
        self.on_change = lambda plan: None

    @property
    def number(self):
        """Return the number of the plan in force."""
        return self.accepted.number if self.accepted else 0

    def put_if_newer(self, accepted):
        """Put a newer plan in force."""
        if accepted.number <= self.number:
            return False
        if not self.parses_all_sheets and UNREADABLE in accepted.sheet:
            raise SheetError([Fault("row 1", "unknown record", "run a newer version")])
        self.accepted = accepted
        self.numbers.append(accepted.number)
        self.on_change(FakePlan(accepted.number))
        return True


class FakeNode:
    """One node with its tables; `alive` is whether its process runs."""

    def __init__(
        self, network, name, domain, seeds, targets=(), parses_all_sheets=True
    ):
        self.network = network
        self.name = name
        self.domain = domain
        self.seeds = seeds
        self.targets = targets
        self.parses_all_sheets = parses_all_sheets
        self.address = f"{name}:1"
        self.starts = 0
        self.start()

    def start(self):
        """Start the process, without anything it knew before."""
        self.starts += 1
        self.alive = True
        self.stopping = False
        self.incarnation = f"{self.network.random.getrandbits(128):032x}"
        clock = self.network.clock
        local = LocalMemberTable(clock, HEARTBEAT_INTERVAL_MS, self.describe)
        remote = RemoteDomainTable(clock, HEARTBEAT_INTERVAL_MS, self.domain)
        self.members = MemberTable(clock, local, remote)
        self.store = FakeStore(self.parses_all_sheets)
        self.distributor = PlanDistributor(
            self, self.members, self.store, HEARTBEAT_INTERVAL_MS, self.network.spawn
        )
        report = Reporter(local, remote, lambda: self.targets).report
        self.heartbeater = Heartbeater(
            self,
            self.members,
            report,
            self.distributor,
            self.seeds,
            HEARTBEAT_INTERVAL_MS,
            self.network.spawn,
        )
        self.handlers = {
            Heartbeat: self.heartbeater.handle_heartbeat,
            Pull: self.heartbeater.handle_pull,
            FetchRosters: self.heartbeater.handle_fetch_rosters,
            FetchPlan: self.distributor.handle_fetch,
            PushPlan: self.distributor.handle_push,
        }

    def describe(self):
        """Return this node as other nodes know it."""
        return Member(
            self.name,
            self.incarnation,
            self.domain.partition("-")[0],
            self.domain,
            f"{self.name}:2",
            f"{self.name}:3",
            self.address,
            self.store.number,
            self.stopping or self.store.number == 0,
        )

    def run_heartbeat(self):
        """Do what is due at one heartbeat."""
        if self.heartbeater.joined:
            self.heartbeater.send_heartbeats()
        else:
            self.heartbeater.join_step()

    def call(self, address, request, timeout_ms):
        """Call another node (the interface of `ControlClient`)."""
        return self.network.call(self, address, request)

    def live_member_names(self):
        """Return the names of the members in reach."""
        return {member.name for member in self.members.live()}


class FakeNetwork:
    """Nodes by address, the links between them, and counts of bytes.

    `seed`
        Seed of all that is random (default 1).
    """

    def __init__(self, seed=1):
        self.clock = ManualClock(1)
        self.random = random.Random(seed)
        self.nodes = {}
        self.cut_links = set()
        self.loss_rate = 0.0
        self.duplicate_rate = 0.0
        self.replay_rate = 0.0
        self.recorded_messages = collections.deque(maxlen=MAX_RECORDED_MESSAGES)
        self.queue = collections.deque()
        self.bytes = collections.Counter()
        self.messages = collections.Counter()
        self.calls = collections.Counter()
        self.sent_bytes_by_type = collections.Counter()

    def add(self, name, domain, seeds, **options):
        """Start a node."""
        node = FakeNode(self, name, domain, seeds, **options)
        self.nodes[node.address] = node
        return node

    def spawn(self, function, *args):
        """Queue a call, as a task of its own."""
        self.queue.append((function, args))

    def run(self):
        """Run all queued calls."""
        while self.queue:
            function, args = self.queue.popleft()
            function(*args)

    def tick(self, heartbeats=1):
        """Let each running node do its heartbeat, `steps` times."""
        for _ in range(heartbeats):
            self.clock.advance(HEARTBEAT_INTERVAL_MS)
            nodes = [node for node in self.nodes.values() if node.alive]
            self.random.shuffle(nodes)
            for node in nodes:
                node.run_heartbeat()
                self.run()

    def delivers(self, source, target):
        """Return whether a message gets from one node to another."""
        node_pair = (source.name, target.name)
        link_names = {node_pair, (source.domain, target.domain)}
        return (
            not link_names & self.cut_links and self.random.random() >= self.loss_rate
        )

    def call(self, source, address, request):
        """Carry a call and its reply."""
        transport_error = Err(TransportError(address, "UNAVAILABLE", True))
        target = self.nodes.get(address)
        data = msgspec.msgpack.encode(request)
        self.count_sent(source, request, data)
        if target is None or not (source.alive and target.alive):
            return transport_error
        if not self.delivers(source, target):
            return transport_error
        reply = self.deliver(target, type(request), data)
        self.inject_duplicates(target, type(request), data)
        self.count_sent(target, request, reply)
        self.bytes[target.name, "in"] += len(data)
        if not self.delivers(target, source):
            return transport_error
        self.bytes[source.name, "in"] += len(reply)
        reply_type = CALLS_BY_REQUEST[type(request)].reply
        return Ok(msgspec.msgpack.decode(reply, type=reply_type))

    def deliver(self, target, kind, data):
        """Let a node handle an encoded request; return the encoded reply."""
        request = msgspec.msgpack.decode(data, type=kind)
        return msgspec.msgpack.encode(target.handlers[kind](request))

    def inject_duplicates(self, target, kind, data):
        """Deliver some messages again, at once or much later."""
        if self.random.random() < self.duplicate_rate:
            self.deliver(target, kind, data)
        if self.replay_rate:
            self.recorded_messages.append((target, kind, data))
            if self.random.random() < self.replay_rate:
                target, kind, data = self.random.choice(self.recorded_messages)
                if target.alive:
                    self.deliver(target, kind, data)

    def count_sent(self, sender, request, data):
        """Count one message out."""
        self.bytes[sender.name, "out"] += len(data)
        self.calls[sender.name] += 1
        self.sent_bytes_by_type[type(request).__name__] += len(data)
        self.messages[sender.name] += 1


def accept_plan(node, number, sheet=b"row\r\n"):
    """Let a node's log accept a plan."""
    node.store.put_if_newer(AcceptedPlan(number, f"digest-{number}", sheet))
