"""Traffic over a fleet of any size without network: what arrives at its targets.

Each entry VM of the region west has its own view of the targets, as links bring it, and
sends real calls through a real dispatcher. Targets answer at once.
"""

import collections
import random
from typing import NamedTuple

from pollenmount.clock import ManualClock
from pollenmount.fleet.messages import EvacuationsChanged
from pollenmount.fleet.records import CONTROL, ENTRY
from pollenmount.gateway.call import Call, ResponseHead
from pollenmount.gateway.choose import make_chooser
from pollenmount.gateway.dialect import CallerInfo, ResponseInfo
from pollenmount.gateway.dispatch import Dispatcher
from pollenmount.gateway.load import LoadTracker
from pollenmount.gateway.metrics import GatewayMetrics
from pollenmount.gateway.progress import Progress
from pollenmount.gateway.routing_context import LEARNING_MS
from pollenmount.retry_budget import RetryBudget
from pollenmount.routes.plan import RetryMode
from pollenmount.wire.errors import ConnectRefusedError
from tests.fleet_model import SERVICES, STEP_MS, ZONES, FleetModel
from tests.gateway_harness import (
    BOUNDS,
    make_context,
    make_prompt,
    make_route,
    make_settings,
)

REGION = "west"
DOMAIN = "west-a"
COLD_PER_S = SERVICES["engine"].cold_per_s
# The users' bound on the requests that a cold target gets in a second.
MAX_COLD_PER_S = 1.5 * COLD_PER_S + 3
WINDOW_MS = 1000
TIMEOUT_MS = 5000
ROUTE = make_route(RetryMode.STREAM, "engine", resumable=True)
PROMPTS = [make_prompt(f"p{number}") for number in range(8)]


class Arrival(NamedTuple):
    """A request that reached a target at a time, and the VM that sent it."""

    at: int
    target: str
    sender: str


class Process:
    """What a target really is, whatever the VMs believe."""

    def __init__(self):
        self.up = True
        self.born = 1
        self.cold_until = 0
        self.heard_from = 0
        self.limit_per_s = None


class Sender:
    """Stands in for the `Sender` of one VM; a target that is down refuses."""

    def __init__(self, traffic, name):
        self.traffic = traffic
        self.name = name

    def run(self, attempt):
        """Yield a complete response of the target."""
        id_ = attempt.destination.target_id
        process = self.traffic.processes[id_]
        if not process.up:
            raise ConnectRefusedError("connection refused")
        self.traffic.record_arrival(id_, self.name)
        info = ResponseInfo("id-1", True, False, False, None, (), process.limit_per_s)
        attempt.observer.on_head(200, info)
        yield ResponseHead(200, (), id_, REGION)
        yield b"id: 1\n\n"


class FleetTraffic:
    """A started fleet and the traffic of the region west.

    `processes` are the targets as they are, by id, `arrivals` what has reached them,
    and `cold_arrivals` those at a target that was cold at that moment.
    """

    def __init__(self, entries, targets, seed=1, chooser="expected_time"):
        self.chooser = chooser
        self.fleet = FleetModel(entries, targets, seed)
        self.clock: ManualClock = self.fleet.clock
        self.random = random.Random(seed)
        self.processes = {id_: Process() for id_ in self.fleet.targets}
        self.fleet.beat_all = self.beat_all
        self.dispatchers = {}
        self.evacuations = 0
        self.arrivals = []
        self.cold_arrivals = []
        self.fleet.put_plan(1)
        self.fleet.run(6000)

    def close(self):
        """End the model."""
        self.fleet.close()

    def targets_in(self, domain):
        """Return the ids of the targets of a failure domain."""
        return [id_ for id_, zone in self.fleet.targets.items() if zone == domain]

    def beat_all(self):
        """Send the heartbeats of all targets that run."""
        for id_ in self.processes:
            self.beat(id_)

    def beat(self, id_):
        """Send a target's heartbeat to a control VM of its region, if it is due."""
        process, now = self.processes[id_], self.clock.now()
        if not process.up or now < process.heard_from:
            return
        region = ZONES[self.fleet.targets[id_]]
        control = next(c for c in self.fleet.of_role(CONTROL) if c.region == region)
        cold_ms = max(0, process.cold_until - now)
        self.fleet.beat(id_, control, born=process.born, cold_ms=cold_ms)

    def crash(self, id_):
        """End a target's process."""
        self.processes[id_].up = False

    def restart(self, id_, cold_ms, silent_ms):
        """Start a target under its id, cold, and heard after `silent_ms`."""
        process = self.processes[id_]
        process.up = True
        process.born += 1
        self.turn_cold(id_, cold_ms, silent_ms)

    def turn_cold(self, id_, cold_ms, silent_ms):
        """Let a target be cold, and heard of after `silent_ms`."""
        process, now = self.processes[id_], self.clock.now()
        process.cold_until = now + cold_ms
        process.heard_from = now + silent_ms
        self.beat(id_)

    def evacuate(self, *domains):
        """Evacuate these failure domains, and take back all others."""
        self.evacuations += 1
        message = EvacuationsChanged(self.evacuations, domains)
        for node in self.fleet.of_role(CONTROL):
            node.fleet.handle(message, "log")

    def run(self, ms, per_s):
        """Let time pass, with so many calls a second at random entry VMs."""
        due = 0.0
        for _ in range(ms // STEP_MS):
            self.fleet.run(STEP_MS)
            entries = [n for n in self.fleet.of_role(ENTRY) if n.region == REGION]
            due += per_s * STEP_MS / 1000
            while due >= 1:
                due -= 1
                self.call(self.random.choice([n for n in entries if n.store.plan]))

    def call(self, node):
        """Send a call through an entry VM."""
        now = self.clock.now()
        prompt = self.random.choice(PROMPTS)
        info = CallerInfo("id-1", "h", TIMEOUT_MS, "", prompt, ())
        deadline = now + TIMEOUT_MS
        call = Call(info, ROUTE, "engine", "POST", "/r/1", b"", now, deadline, 1)
        parts = self.dispatcher(node).serve(call, Progress(call), may_hop=False)
        collections.deque(parts, maxlen=0)

    def dispatcher(self, node):
        """Return the `Dispatcher` of an entry VM, a new one after a restart."""
        key = (node.name, node.starts)
        if key not in self.dispatchers:
            self.dispatchers[key] = self.make_dispatcher(node)
        return self.dispatchers[key]

    def make_dispatcher(self, node):
        """Return a `Dispatcher` over a node's view of the fleet."""
        settings = make_settings(node.name, node.region)
        loads = LoadTracker(dict)
        context = make_context(settings, node.fleet, loads, GatewayMetrics())
        context.started_at -= LEARNING_MS
        context.random = random.Random(node.name)
        budget = RetryBudget(
            self.clock, BOUNDS.retry_limits, node.fleet.entry_counter.share
        )
        chooser = make_chooser(self.chooser)
        sender = Sender(self, node.name)
        return Dispatcher(context, chooser, sender, budget, self.clock, lambda ms: None)

    def record_arrival(self, id_, sender):
        """Record that a request has reached a target."""
        arrival = Arrival(self.clock.now(), id_, sender)
        self.arrivals.append(arrival)
        if arrival.at < self.processes[id_].cold_until:
            self.cold_arrivals.append(arrival)


def count_between(arrivals, id_, start, end):
    """Return how many arrivals a target got in a span of time."""
    return sum(a.target == id_ and start <= a.at < end for a in arrivals)


def most_in_window(arrivals, window_ms=WINDOW_MS):
    """Return the most arrivals that one target got in any span of a length."""
    times = collections.defaultdict(list)
    for arrival in arrivals:
        times[arrival.target].append(arrival.at)
    return max(
        (
            sum(start <= at < start + window_ms for at in of_target)
            for of_target in times.values()
            for start in of_target
        ),
        default=0,
    )
