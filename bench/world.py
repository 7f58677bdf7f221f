"""Nodes of one deployment before fake engines: the product's own decision code."""

import contextlib
import random

from bench.fakes import FakeSocket, FakeUpstream
from bench.virtual_time import Signal
from pollenmount.api.peers import find_route
from pollenmount.errors import Refusal
from pollenmount.members.summary import sum_offers
from pollenmount.members.table import DomainSummary, Member
from pollenmount.plans.plan import digest_key
from pollenmount.routing import forward
from pollenmount.routing.attempt import Attempter
from pollenmount.routing.budget import RetryBudget
from pollenmount.routing.health import Health
from pollenmount.routing.pipeline import BrokenAnswerError
from pollenmount.routing.queue import CallQueue
from pollenmount.routing.request import Chunk, View
from pollenmount.routing.router import Router
from pollenmount.routing.tracker import Tracker
from pollenmount.targets.table import TargetTable
from pollenmount.targets.upstream import UpstreamError

__all__ = ["Node", "World"]

FAR_MS = 30
REPORT_MS = 1000
WAKE_MS = 50
TTL_MS = 3000
PEER_KEY = "bench"


class Node:
    """One entry VM."""

    def __init__(self, world, region, number, make_policy):
        self.world = world
        self.region = region
        self.domain = f"{region}-a"
        name = f"{region}-{number}"
        self.member = Member(name, "1", region, self.domain, "", name, "", 1, False)
        time = world.time
        self.tracker = Tracker(time)
        self.table = TargetTable(time, TTL_MS, self.tracker.in_flight)
        self.health = Health(time, world.random.random())
        self.policy = make_policy(self.tracker, self.table.cache, world.random.random())
        upstream = world.make_upstream(time, world.engines, self.forward)
        self.attempter = Attempter(
            upstream, time, region, PEER_KEY, self.tracker, self.health
        )
        self.queue = CallQueue(time, lambda: Signal(time))
        self.router = Router(
            self,
            self.policy,
            self.attempter,
            self.health,
            RetryBudget(),
            self.queue,
            time.sleep,
        )
        self.wake()

    def wake(self):
        """Wake waiting calls regularly, for ever."""
        self.queue.wake()
        self.world.time.call_later(WAKE_MS, self.wake)

    def take(self):
        """Return the view of the moment."""
        world = self.world
        return View(
            world.plan,
            self.region,
            self.domain,
            self.table.live(),
            world.members,
            tuple(s for rows in world.summaries.values() for s in rows),
            world.time.now(),
            self.member.name,
        )

    def forward(self, address, headers, body, limit):
        """Carry a call to another node and return its response."""
        time = self.world.time
        node = self.world.nodes[address]
        self.world.region_bytes += len(body)
        time.sleep(FAR_MS)
        sent = forward.decode_call(headers, PEER_KEY)
        caller = self.world.callers[sent.key_digest]
        route = find_route(self.world.plan, sent)
        call = forward.to_call(sent, caller, route, body, time.now())
        parts = node.router.serve(call, may_forward=False)
        first = next(parts)
        time.sleep(FAR_MS)
        if isinstance(first, Refusal):
            raise forward.ForwardRefusedError(first)
        return ForwardResponse(self.world, first, parts)


class ForwardResponse:
    """Answer that comes from another node."""

    status = 200
    owned_resources = contextlib.nullcontext()
    connection_socket = FakeSocket()

    def __init__(self, world, head, parts):
        self.world = world
        self.parts = parts
        self.headers = dict([forward.encode_head(head)])

    def stream(self, amount, decode_content=False):
        """Yield the parts of the answer."""
        try:
            for part in self.parts:
                self.world.region_bytes += len(part.data)
                yield part.data
        except BrokenAnswerError as error:
            raise UpstreamError("response truncated") from error

    def release_conn(self):
        """Do nothing: there is no connection."""

    def close(self):
        """Give the answer up."""
        self.parts.close()


class World:
    """All nodes and engines of one deployment.

    `plan`, `vms` (region to count) and `engines` by name, whose names start with that
    of their region.
    """

    def __init__(
        self, time, plan, vms, engines, make_policy, seed, make_upstream=FakeUpstream
    ):
        self.time = time
        self.make_upstream = make_upstream
        self.random = random.Random(seed)
        self.plan = plan
        self.callers = {}
        self.summaries = {}
        self.region_bytes = 0
        self.engines = engines
        self.nodes = {}
        for region, count in vms.items():
            for number in range(1, count + 1):
                self.nodes[f"{region}-{number}"] = Node(
                    self, region, number, make_policy
                )
        self.members = tuple(node.member for node in self.nodes.values())
        self.report()

    def engines_of(self, region):
        """Return the engines of a region."""
        return [e for e in self.engines.values() if e.name.startswith(f"{region}-")]

    def nodes_of(self, region):
        """Return the nodes of a region."""
        return [node for node in self.nodes.values() if node.region == region]

    def report(self):
        """Let each engine announce itself and each failure domain send summaries."""
        for engine in self.engines.values():
            self.time.call_later(
                self.random.uniform(0, REPORT_MS), self.announce, engine
            )
        self.summarize()

    def announce(self, engine):
        """Announce one engine to the nodes of its failure domain, for ever."""
        if engine.alive:
            said = engine.announcement()
            for node in self.nodes.values():
                if engine.name.startswith(f"{node.region}-"):
                    node.table.announce(said)
        self.time.call_later(REPORT_MS, self.announce, engine)

    def summarize(self):
        """Tell every failure domain what the others can take, for ever."""
        for node in self.nodes.values():
            rows = tuple(
                DomainSummary(node.domain, node.region, *offer, *counts)
                for *offer, counts in sum_offers(node.table.live())
            )
            self.time.call_later(FAR_MS, self.summaries.__setitem__, node.domain, rows)
            node.table.sweep()
        self.time.call_later(REPORT_MS, self.summarize)

    def enter(self, node, call):
        """Serve one call at a node; return (status, first ms, whole ms, region)."""
        started = self.time.value
        first_at, region, outcome = None, "", "answered"
        try:
            for part in node.router.serve(call):
                if isinstance(part, Refusal):
                    outcome = str(part.kind)
                elif isinstance(part, Chunk):
                    first_at = first_at or self.time.value
                else:
                    region = part.region
        except BrokenAnswerError:
            outcome = "broken"
        ended = self.time.value
        return outcome, (first_at or ended) - started, ended - started, region

    def register(self, caller):
        """Make a caller known to all nodes."""
        self.callers[digest_key(caller.name)] = caller
        return caller
