"""Members in one process over a fake network, for tests and for slopes.

Messages go through the real codec and are counted; time is a manual clock. The network
can cut links in one direction or both, lose, repeat and replay messages.
"""

import collections
import random
from typing import NamedTuple

import msgspec
from result import Err, Ok

from pollenmount.bridge.control import CALL_TYPES_BY_REQUEST
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

__all__ = ["FakeNetwork", "FakeNode", "FakeTarget", "accept"]

BEAT_MS = 1000
KEPT_MESSAGES = 200
UNREADABLE = b"unreadable"


class FakeTarget(NamedTuple):
    """A target as the table of targets shows it."""

    announcement: object


class FakePlan(NamedTuple):
    """A plan of which only the number matters."""

    number: int


class FakeStore:
    """The plan in force, without parsing; some sheets can't be read by some nodes."""

    def __init__(self, reads_all):
        self.reads_all = reads_all
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
        if not self.reads_all and UNREADABLE in accepted.sheet:
            raise SheetError([Fault("row 1", "unknown record", "run a newer version")])
        self.accepted = accepted
        self.numbers.append(accepted.number)
        self.on_change(FakePlan(accepted.number))
        return True


class FakeNode:
    """One node with its tables; `alive` is whether its process runs."""

    def __init__(self, network, name, domain, seeds, targets=(), reads_all=True):
        self.network = network
        self.name = name
        self.domain = domain
        self.seeds = seeds
        self.targets = targets
        self.reads_all = reads_all
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
        local = LocalMemberTable(clock, BEAT_MS, self.describe)
        remote = RemoteDomainTable(clock, BEAT_MS, self.domain)
        self.members = MemberTable(clock, local, remote)
        self.store = FakeStore(self.reads_all)
        self.distributor = PlanDistributor(
            self, self.members, self.store, BEAT_MS, self.network.spawn
        )
        report = Reporter(local, remote, lambda: self.targets).report
        self.heartbeater = Heartbeater(
            self,
            self.members,
            report,
            self.distributor,
            self.seeds,
            BEAT_MS,
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

    def step(self):
        """Do what is due at one heartbeat."""
        if self.heartbeater.joined:
            self.heartbeater.send_heartbeats()
        else:
            self.heartbeater.join_step()

    def call(self, address, request, timeout_ms):
        """Call another node (the interface of `ControlClient`)."""
        return self.network.call(self, address, request)

    def names(self):
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
        self.cuts = set()
        self.loss = 0.0
        self.repeats = 0.0
        self.replays = 0.0
        self.old = collections.deque(maxlen=KEPT_MESSAGES)
        self.queue = collections.deque()
        self.bytes = collections.Counter()
        self.messages = collections.Counter()
        self.calls = collections.Counter()
        self.kinds = collections.Counter()

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

    def tick(self, steps=1):
        """Let each running node do its heartbeat, `steps` times."""
        for _ in range(steps):
            self.clock.advance(BEAT_MS)
            nodes = [node for node in self.nodes.values() if node.alive]
            self.random.shuffle(nodes)
            for node in nodes:
                node.step()
                self.run()

    def is_open(self, source, target):
        """Return whether a message gets from one node to another."""
        pair = (source.name, target.name)
        pairs = {pair, (source.domain, target.domain)}
        return not pairs & self.cuts and self.random.random() >= self.loss

    def call(self, source, address, request):
        """Carry a call and its reply."""
        failed = Err(TransportError(address, "UNAVAILABLE", True))
        target = self.nodes.get(address)
        data = msgspec.msgpack.encode(request)
        self.count(source, request, data)
        if target is None or not (source.alive and target.alive):
            return failed
        if not self.is_open(source, target):
            return failed
        reply = self.deliver(target, type(request), data)
        self.disturb(target, type(request), data)
        self.count(target, request, reply)
        self.bytes[target.name, "in"] += len(data)
        if not self.is_open(target, source):
            return failed
        self.bytes[source.name, "in"] += len(reply)
        reply_type = CALL_TYPES_BY_REQUEST[type(request)].reply
        return Ok(msgspec.msgpack.decode(reply, type=reply_type))

    def deliver(self, target, kind, data):
        """Let a node handle an encoded request; return the encoded reply."""
        request = msgspec.msgpack.decode(data, type=kind)
        return msgspec.msgpack.encode(target.handlers[kind](request))

    def disturb(self, target, kind, data):
        """Deliver some messages again, at once or much later."""
        if self.random.random() < self.repeats:
            self.deliver(target, kind, data)
        if self.replays:
            self.old.append((target, kind, data))
            if self.random.random() < self.replays:
                target, kind, data = self.random.choice(self.old)
                if target.alive:
                    self.deliver(target, kind, data)

    def count(self, sender, request, data):
        """Count one message out."""
        self.bytes[sender.name, "out"] += len(data)
        self.calls[sender.name] += 1
        self.kinds[type(request).__name__] += len(data)
        self.messages[sender.name] += 1


def accept(node, number, sheet=b"row\r\n"):
    """Let a node's log accept a plan."""
    node.store.put_if_newer(AcceptedPlan(number, f"digest-{number}", sheet))
