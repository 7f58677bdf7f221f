"""What may not be repeated runs at most once while VMs are being added.

Each test is one order in which a VM that joins learns of the fleet, or the fleet of it.
"""

import types

import msgspec
import pytest

from pollenmount.fleet.entry_counter import EntryCounter
from pollenmount.fleet.messages import EntryCounts
from pollenmount.gateway.attempt import NotRunError
from pollenmount.gateway.callers import HopsApi
from pollenmount.gateway.dialect import CallerInfo
from pollenmount.gateway.hop import (
    HOP_REFUSED,
    HopRefusal,
    HopRefusedError,
    encode_hop,
)
from pollenmount.gateway.metrics import GatewayMetrics
from pollenmount.retry_budget import RetryBudget
from pollenmount.routes.plan import RetryMode
from pollenmount.wire.errors import ExchangeError
from tests.gateway_harness import BOUNDS, EntryHarness, make_route, ok

ONCE = make_route(RetryMode.ONCE)
NO_PLAN = HopRefusal(503, "this VM cannot accept requests now", True, 10)


@pytest.fixture
def joining():
    """Return a VM that has just started; it is not counted yet and knows no target."""
    harness = EntryHarness()
    harness.restart()
    harness.counter = EntryCounter(harness.clock)
    harness.budget = RetryBudget(
        harness.clock, BOUNDS.retry_limits, harness.counter.share
    )
    harness.dispatcher.retries.budget = harness.budget
    return harness


def test_it_runs_once_when_the_targets_come_late(joining):
    def sleep(ms):
        joining.clock.advance(ms)
        joining.add_target("a")
        joining.add_target("b")

    joining.dispatcher.sleep = sleep
    parts, progress = joining.serve(joining.make_call(ONCE), ok())
    assert parts[0].status == 200
    assert progress.sends == 1


def test_without_a_share_of_the_budget_it_is_refused_and_has_not_run(joining):
    for name in ("a", "b"):
        joining.add_target(name)
    parts, progress = joining.serve(joining.make_call(ONCE), [NotRunError(503)], ok())
    assert (parts[0].status, progress.sends) == (503, 1)
    assert parts[0].retry_after_ms > 0


def test_a_count_that_has_not_settled_gives_no_share(joining):
    for name in ("a", "b"):
        joining.add_target(name)
    joining.counter.record(EntryCounts({"west": 1}, True, False))
    _, progress = joining.serve(joining.make_call(ONCE), [NotRunError(503)], ok())
    assert progress.sends == 1


def test_with_its_share_it_goes_on_to_another_target_and_runs_once(joining):
    for name in ("a", "b"):
        joining.add_target(name)
    joining.counter.record(EntryCounts({"west": 9}, True, True))
    parts, progress = joining.serve(joining.make_call(ONCE), [NotRunError(503)], ok())
    assert (parts[0].status, progress.sends, progress.runs) == (200, 2, 0)


def test_a_break_is_not_repeated_whatever_the_share(joining):
    for name in ("a", "b"):
        joining.add_target(name)
    joining.counter.record(EntryCounts({"west": 1}, True, True))
    broken = [ExchangeError("reset")]
    parts, progress = joining.serve(joining.make_call(ONCE), broken, ok())
    assert (parts[0].status, progress.sends) == (502, 1)


@pytest.fixture
def sender():
    """Return a VM whose region has no target, with two VMs of another to hop to."""
    harness = EntryHarness()
    harness.add_target("e", "east")
    for name in ("east-1", "east-2"):
        harness.add_entry(name, "east")
    return harness


def test_a_hop_to_a_vm_without_a_plan_has_not_run_and_says_so(sender):
    refused = [HopRefusedError(NO_PLAN)]
    parts, progress = sender.serve(sender.make_call(ONCE), refused)
    assert (parts[0].status, progress.runs) == (503, 0)
    sender.clock.advance(1000)
    parts, progress = sender.serve(sender.make_call(ONCE), ok())
    assert (parts[0].status, progress.sends) == (200, 1)


def test_a_hop_to_a_vm_that_is_lost_while_it_joins_is_not_repeated(sender):
    broken = [ExchangeError("the connection was closed before a response")]
    parts, progress = sender.serve(sender.make_call(ONCE), broken, ok())
    assert (parts[0].status, progress.sends) == (502, 1)


class HopRequestStub:
    """A request with a hop header, as the receiving VM gets it."""

    method = "POST"
    target = "/r/1"
    head = None

    def __init__(self, header):
        self.values = dict([header])

    def header(self, name):
        return self.values.get(name, "")

    def read(self, limit):
        return b""

    def cancel_on_disconnect(self):
        pass


def receive_hop(harness, call, **changes):
    """Let a VM that does not know the sender receive a hop; return the reply."""
    info = CallerInfo("id-1", "h", 5000, "", None, ())
    values = {
        "store": harness.store,
        "dispatcher": harness.dispatcher,
        "clock": harness.clock,
        "fleet": harness.fleet,
        "metrics": GatewayMetrics(),
        "calls": set(),
        "dialect": types.SimpleNamespace(read_caller=lambda head: info),
        "stopping": False,
        "refusing": False,
    }
    node = types.SimpleNamespace(**(values | changes))
    stub = HopRequestStub(encode_hop(call, 5000, 1, call.version))
    return HopsApi(node).handle(stub)


def test_a_hop_of_a_vm_that_is_not_known_yet_is_run_once():
    receiver = EntryHarness(name="east-1", region="east")
    receiver.add_target("e", "east")
    receiver.sender.script = [ok("e"), ok("e")]
    reply = receive_hop(receiver, receiver.make_call(ONCE))
    assert reply.status == 200
    assert len(receiver.sender.attempts) == 1


# Guards against streams cut at the end of a planned stop of the VM that got the hop: it
# accepted hops for a while after the signal.
def test_a_vm_that_stops_refuses_hops_at_once_and_says_that_they_did_not_run():
    receiver = EntryHarness(name="east-1", region="east")
    receiver.add_target("e", "east")
    reply = receive_hop(receiver, receiver.make_call(ONCE), stopping=True)
    assert reply.status == 503
    refusal = msgspec.json.decode(dict(reply.headers)[HOP_REFUSED], type=HopRefusal)
    assert refusal.not_run
    assert not receiver.sender.attempts
