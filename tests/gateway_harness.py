"""Test harness: an entry VM without network, with scripted attempts."""

from typing import NamedTuple

from pollenmount import task
from pollenmount.circuit_breakers import CircuitBreakers
from pollenmount.clock import ManualClock
from pollenmount.crashes.probe import CrashProbe
from pollenmount.fleet.capacity import summarize_capacities
from pollenmount.fleet.fleet import Fleet
from pollenmount.fleet.messages import (
    Capacities,
    EntryCounts,
    EvacuationsChanged,
    MemberUp,
    TargetSeen,
)
from pollenmount.fleet.records import CONTROL, ENTRY, MemberRecord, TargetRecord
from pollenmount.fleet.selection import select_senders
from pollenmount.gateway.cache import PrefixCacheTracker
from pollenmount.gateway.call import Call, ResponseHead
from pollenmount.gateway.choose import make_chooser
from pollenmount.gateway.crash_guard import CrashGuard
from pollenmount.gateway.dialect import (
    CallerInfo,
    Prompt,
    PromptPart,
    ResponseInfo,
)
from pollenmount.gateway.dispatch import Dispatcher
from pollenmount.gateway.lag import LagTracker
from pollenmount.gateway.load import LoadTracker
from pollenmount.gateway.metrics import GatewayMetrics
from pollenmount.gateway.progress import Progress
from pollenmount.gateway.rate_limiter import RateLimiter
from pollenmount.gateway.refusal_limits import RefusalLimits
from pollenmount.gateway.routing_context import LEARNING_MS, RoutingContext
from pollenmount.gateway.settings import Bounds, GatewaySettings, Listen
from pollenmount.gateway.stream_resumption import StreamResumption
from pollenmount.gateway.target_notices import TargetNotices
from pollenmount.gateway.target_paths import TargetPaths
from pollenmount.gateway.target_pauses import TargetPauses
from pollenmount.retry_budget import RetryBudget
from pollenmount.routes.plan import (
    DEFAULT_LIMITS,
    EngineLimits,
    RetryMode,
    Route,
    RoutePlan,
    ServiceLimits,
    Split,
)
from pollenmount.routes.store import RoutesStore
from pollenmount.wire.pool import ConnectionPool

REGIONS = {"west-a": "west", "east-a": "east", "south-a": "south"}
BOUNDS = Bounds(8, 0.2, 10, 54, 5)
ENGINE = ServiceLimits("engine", 620, 2.7, EngineLimits(128, 247_053))
PLAIN = ServiceLimits("desk", 100, 0.0, None)


def make_settings(name="west-1", region="west", **changes):
    """Return the settings of an entry VM."""
    settings = GatewaySettings(
        name,
        "10.1.0.1",
        region,
        f"{region}-a",
        REGIONS,
        Listen("10.1.0.1:80", "10.1.0.1:81", "", ""),
        7000,
        7015,
        ("10.1.0.9:90",),
        True,
        1,
        1200,
        BOUNDS,
    )
    return settings._replace(**changes)


def make_route(retry_mode=RetryMode.IDEMPOTENT, service="desk", **changes):
    """Return a route to one service."""
    route = Route(
        "r", "h", "/r/", retry_mode, 5000, 500, 0, (Split(service, 1),), 2, False, ()
    )
    return route._replace(**changes)


def make_prompt(prefix_id="s", shared=2000, own=500):
    """Return a prompt with one shared part and one of its own."""
    parts = (PromptPart(prefix_id, shared), PromptPart(f"own-{prefix_id}", own))
    return Prompt("m", shared + own, 50, parts)


def ignore(function, *args):
    """Stand in for `task.spawn`: without sockets there is nothing to watch."""


def make_context(settings, fleet, loads, metrics):
    """Return the `RoutingContext` of an entry VM with a fleet's view of the targets."""
    clock = fleet.clock
    pool = ConnectionPool(clock)
    pauses = TargetPauses(clock)
    refusals = RefusalLimits(clock)
    paths = TargetPaths(settings, fleet, clock, pool, metrics, spawn=task.run_logged)
    # Without network, a look at a path finds that it works.
    paths.can_connect = lambda target: True
    return RoutingContext(
        settings,
        clock,
        fleet,
        fleet.store,
        loads=loads,
        cache=PrefixCacheTracker(clock),
        breakers=CircuitBreakers(clock),
        rates=RateLimiter(clock, settings.name),
        pool=pool,
        lags=LagTracker(clock),
        pauses=pauses,
        refusals=refusals,
        paths=paths,
        notices=TargetNotices(fleet, pool, paths, pauses, refusals, metrics),
        resumption=StreamResumption(fleet, clock),
        guard=CrashGuard(
            *(fleet, clock, metrics),
            *(CrashProbe(pool, spawn=ignore), paths, settings.name),
        ),
    )


class TargetHead(NamedTuple):
    """Status and `ResponseInfo` of a target's response."""

    status: int
    info: ResponseInfo


class ScriptedSender:
    """Stands in for `Sender`: each attempt runs the next step of the script.

    A step is a list of parts to yield. An exception in it is raised, an integer is
    reported as the number of the last event delivered, and a `TargetHead` as what the
    target says of itself.
    """

    def __init__(self):
        self.script = []
        self.attempts = []

    def run(self, attempt):
        """Yield the parts of the next step."""
        self.attempts.append(attempt)
        for part in self.script.pop(0):
            if isinstance(part, Exception):
                raise part
            if isinstance(part, TargetHead):
                attempt.observer.on_head(part.status, part.info)
            elif isinstance(part, int):
                attempt.observer.on_delivered(part)
            else:
                yield part


class EntryHarness:
    """An entry VM in the region west, with the targets and members that a test adds.

    `control` is the fleet as a control VM knows it, which tells the entry VM about its
    own region's targets, and about the capacity of the other regions.
    """

    clock_type = ManualClock

    def __init__(self, **changes):
        self.clock = self.clock_type(1_000_000)
        self.settings = make_settings(**changes)
        self.store = RoutesStore(lambda document: document)
        self.store.plan = RoutePlan(
            1, (), {"engine": ENGINE, "desk": PLAIN}, DEFAULT_LIMITS
        )
        self.fleet = Fleet(self.clock, self.store, REGIONS)
        self.control = Fleet(self.clock, self.store, REGIONS)
        self.loads = LoadTracker(lambda: self.reported)
        self.reported = {}
        self.metrics = GatewayMetrics()
        self.context = make_context(self.settings, self.fleet, self.loads, self.metrics)
        self.budget = RetryBudget(
            self.clock, BOUNDS.retry_limits, self.fleet.entry_counter.share
        )
        self.sender = ScriptedSender()
        self.dispatcher = Dispatcher(
            self.context,
            make_chooser(self.settings.chooser),
            self.sender,
            self.budget,
            self.clock,
            self.clock.advance,
        )
        self.add_entry("west-1", "west")
        self.clock.advance(LEARNING_MS)

    def add_entry(self, name, region, **changes):
        """Add an entry VM to the members, and report their number."""
        self.add_member(name, region, ENTRY, **changes)
        self.control.members.handle_up(MemberUp(self.fleet.members.get(name)), "c")
        regions = [member.region for member in self.control.members.live()]
        counts = {region: regions.count(region) for region in regions}
        self.fleet.handle(EntryCounts(counts, True, True), "c")

    def add_member(self, name, region, role=CONTROL, **changes):
        """Add a member, as reported by one source."""
        record = MemberRecord(
            *(name, "i", 1, 1, role, region, f"{region}-a"),
            *(f"{name}:80", f"{name}:70", f"{name}:75", f"{name}:70"),
            *(1, True, False),
        )
        self.fleet.handle(MemberUp(record._replace(**changes)), "c")

    def add_target(self, id_, region="west", service="desk", **changes):
        """Add a target, as described by its newest heartbeat."""
        record = TargetRecord(
            id_, 1, 1, service, f"{id_}:1", f"{region}-a", "v1", 6, False, 0
        )
        record = record._replace(**changes)
        names = [m.name for m in self.control.members.live_in(ENTRY, region)]
        rate = self.store.plan.services[record.service].cold_per_s
        message = TargetSeen(record, 0, select_senders(id_, rate, names))
        self.control.handle(message, "c")
        if region == self.settings.region:
            self.fleet.handle(message, "c")

    def add_engines(self, *names, region="west"):
        """Add targets of the service engine."""
        for name in names:
            self.add_target(name, region, "engine", slots=128)

    def restart(self):
        """Let the VM have just started."""
        self.context.started_at = self.clock.now()

    def update_capacities(self):
        """Report the capacity of the other regions with the load of their targets."""
        rows = summarize_capacities(self.control, self.reported, {})
        others = (row for row in rows if row.region != self.settings.region)
        self.fleet.handle(Capacities(tuple(others)), "c")

    def evacuate(self, *domains):
        """Evacuate failure domains."""
        revision = self.fleet.evacuations.revision + 1
        for fleet in (self.fleet, self.control):
            fleet.handle(EvacuationsChanged(revision, domains), "c")

    def make_call(self, route=None, prompt=None, timeout_ms=5000, **changes):
        """Return a call that has just been received."""
        route = route or make_route()
        info = CallerInfo("id-1", "h", timeout_ms, "", prompt, ())
        now = self.clock.now()
        call = Call(
            info,
            route,
            route.splits[0].service,
            "POST",
            "/r/1",
            b"",
            now,
            now + timeout_ms,
            1,
        )
        return call._replace(**changes)

    def serve(self, call, *script):
        """Return (parts, progress) of a call whose attempts follow the script."""
        self.update_capacities()
        self.sender.script = [*script]
        progress = Progress(call)
        return list(self.dispatcher.serve(call, progress)), progress

    def choose(self, call):
        """Return what the chooser picks for a call."""
        self.update_capacities()
        options = self.context.options(call, set())
        return self.dispatcher.chooser.choose(
            options, call.info.prompt, call.route.slo_ms
        )


def ok(target="t", body=b"done"):
    """Return the parts of a complete response."""
    return [ResponseHead(200, (), target, "west"), body]
