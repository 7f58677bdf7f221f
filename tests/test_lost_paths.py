"""Entry VMs that are cut off from all targets, while callers and other VMs reach them.

Real tables, links, dispatchers and hop handlers of a fleet without network. A cut VM's
connections to targets are refused.
"""

import contextlib
import itertools
from types import SimpleNamespace

import pytest

from pollenmount.fleet.records import ENTRY
from pollenmount.gateway.call import Call, ErrorResponse, ResponseHead
from pollenmount.gateway.callers import HopsApi
from pollenmount.gateway.choose import make_chooser
from pollenmount.gateway.dialect import CallerInfo, ResponseInfo
from pollenmount.gateway.dispatch import BrokenResponseError, Dispatcher
from pollenmount.gateway.hop import raise_if_refused
from pollenmount.gateway.load import LoadTracker
from pollenmount.gateway.metrics import GatewayMetrics
from pollenmount.gateway.progress import Progress
from pollenmount.retry_budget import RetryBudget
from pollenmount.routes.plan import RetryMode
from pollenmount.wire.connection import HttpResponseHead
from pollenmount.wire.errors import ConnectError, ConnectRefusedError
from tests.fleet_model import STEP_MS, FleetModel
from tests.gateway_harness import BOUNDS, make_context, make_route, make_settings

# One VM in each region keeps its paths.
CUT = ("entry-1", "entry-3", "entry-5", "entry-6", "entry-7")
INFO = ResponseInfo("id", True, False, False, None, ())
# The users' bounds: `contact_ms`, and the share of first attempts of the other VMs.
CONTACT_MS = 5000
MIN_SHARE = 2 / 3
CUT_MS = 14_000
SWEEP_MS = 250


class HopRequest:
    """A request that reaches the hop handler of a VM."""

    def __init__(self, call, headers):
        self.head = call.info
        self.headers = dict(headers)
        self.method, self.target = call.method, call.request_target
        self.body = call.body

    def header(self, name):
        """Return a header."""
        return self.headers.get(name, "")

    def read(self, limit):
        """Return the body."""
        return self.body

    def cancel_on_disconnect(self):
        """Do nothing: the sender of the hop stays."""


class EntryVm:
    """An entry VM of a `FleetModel` that serves calls, and hops of other VMs."""

    def __init__(self, vms, node):
        self.vms = vms
        self.node = node
        self.is_cut = False
        self.refuses = ConnectRefusedError
        clock = vms.clock
        settings = make_settings(node.name, node.region)
        settings = settings._replace(failure_domains=vms.regions)
        self.loads = LoadTracker(dict)
        metrics = GatewayMetrics()
        self.context = make_context(settings, node.fleet, self.loads, metrics)
        del self.context.paths.can_connect
        self.context.pool.connect = self.connect
        self.context.pool.discard = lambda key, connection: None
        share = node.fleet.entry_counter.share
        budget = RetryBudget(clock, BOUNDS.retry_limits, share)
        chooser = make_chooser(settings.chooser)
        self.dispatcher = Dispatcher(
            self.context, chooser, self, budget, clock, clock.advance
        )
        node.has_paths = lambda: not self.context.paths.is_lost
        self.hops = HopsApi(self.make_node(settings, budget, metrics))

    def make_node(self, settings, budget, metrics):
        """Return what the hop handler needs of a `GatewayNode`."""
        return SimpleNamespace(
            **{"clock": self.vms.clock, "settings": settings, "metrics": metrics},
            **{"store": self.node.store, "fleet": self.node.fleet, "calls": set()},
            **{"dispatcher": self.dispatcher, "budget": budget, "stopping": False},
            dialect=SimpleNamespace(read_caller=lambda info: info),
        )

    def connect(self, key, address):
        """Stand in for `ConnectionPool.connect`."""
        if self.is_cut:
            raise self.refuses(f"can't connect to {address}")

    def run(self, attempt):
        """Stand in for `Sender`: run an attempt at a target, or by a hop."""
        destination, call = attempt.destination, attempt.call
        attempt.observer.on_send(1000)
        if not destination.target_id:
            yield from self.hop(call, destination)
            return
        self.connect(None, destination.address)
        attempt.observer.on_head(200, INFO)
        yield ResponseHead(200, (), destination.target_id, destination.region)
        attempt.observer.on_chunk()
        yield b"done"

    def hop(self, call, destination):
        """Send a call to another VM."""
        peer = self.vms.by_address[destination.address]
        reply = peer.hops.handle(HopRequest(call, destination.headers))
        head = HttpResponseHead(reply.status, tuple(reply.headers), False)
        raise_if_refused(head)
        yield ResponseHead(reply.status, (), "", destination.region)
        yield b"".join(reply.body)

    def serve(self, call):
        """Return whether a call of a caller is served."""
        progress = Progress(call)
        parts = self.dispatcher.serve(call, progress)
        with contextlib.suppress(BrokenResponseError):
            return not isinstance(next(parts), ErrorResponse)
        return False


class Vms:
    """The entry VMs of a fleet, and which of their calls were served."""

    def __init__(self, model):
        self.model = model
        self.clock = model.clock
        self.regions = {node.zone: node.region for node in model.nodes.values()}
        self.all = [EntryVm(self, node) for node in model.of_role(ENTRY)]
        self.by_address = {f"{vm.node.name}:3": vm for vm in self.all}
        self.numbers = itertools.count()

    def cut(self, refuses=ConnectRefusedError):
        """Cut VMs off from all targets."""
        for vm in self.all:
            vm.is_cut = vm.node.name in CUT
            vm.refuses = refuses

    def make_call(self, vm, route):
        """Return a call that a VM has just received."""
        id_ = f"call-{next(self.numbers)}"
        info = CallerInfo(id_, "h", 5000, "", None, ())
        now = self.clock.now()
        body = id_.encode()
        values = (info, route, "engine", "POST", "/r/1", body, now, now + 5000, 1)
        return Call(*values)

    def run(self, ms, make_route_of):
        """Let each VM get a call in each step; return the results by whether it is cut.

        `make_route_of` returns the route of a call at a VM.
        """
        served = {True: [], False: []}
        ends_at = self.clock.now() + ms
        while self.clock.now() < ends_at:
            self.model.run(STEP_MS)
            if self.model.is_due(SWEEP_MS):
                for vm in self.all:
                    vm.context.guard.sweep()
                    vm.context.paths.sweep()
            for vm in self.all:
                call = self.make_call(vm, make_route_of(vm))
                served[vm.is_cut].append(vm.serve(call))
        return served


@pytest.fixture
def vms():
    with FleetModel.started(entries=8) as model:
        started = Vms(model)
        model.run(4000)
        yield started


def share(results):
    """Return the share of calls that were served."""
    return sum(results) / len(results)


ROUTES = {
    "anywhere": lambda vm: make_route(service="engine"),
    "once": lambda vm: make_route(RetryMode.ONCE, "engine"),
    "home": lambda vm: make_route(service="engine", homes=(vm.node.region,)),
}


# The first hop to each region met a VM that was cut off itself, and whose refusal kept
# the region out; within its own region a VM had no way at all. The refused connections
# of cut VMs counted as starts of the targets, so that other VMs sent them little.
@pytest.mark.parametrize("refuses", [ConnectRefusedError, ConnectError])
@pytest.mark.parametrize("route", ROUTES)
def test_callers_of_vms_without_paths_are_served_as_often_as_others(
    vms, route, refuses
):
    before = vms.run(1000, ROUTES[route])
    assert share(before[False]) == 1.0
    vms.cut(refuses)
    vms.run(CONTACT_MS, ROUTES[route])
    served = vms.run(CUT_MS - CONTACT_MS, ROUTES[route])
    assert share(served[False]) >= 0.9
    assert share(served[True]) >= MIN_SHARE * share(served[False])


# After its paths are back, a VM serves its callers by itself.
def test_a_vm_whose_paths_are_back_uses_them(vms):
    vms.cut()
    vms.run(CONTACT_MS, ROUTES["anywhere"])
    for vm in vms.all:
        vm.is_cut = False
    vms.run(3000, ROUTES["anywhere"])
    hops = []
    for vm in vms.all:
        vm.hop = lambda call, destination: hops.append(destination) or iter(())
    served = vms.run(1000, ROUTES["anywhere"])
    assert share(served[False]) == 1.0
    assert hops == []
