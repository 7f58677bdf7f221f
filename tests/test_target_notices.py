"""What targets say in their responses: that they leave.

Responses are bytes here, read by the real sender from scripted connections.
"""

import contextlib

import pytest

from pollenmount.fleet.leaving import MAX_LEAVING_TARGETS, LeavingTargets
from pollenmount.fleet.messages import TargetLeaving, TargetSilent
from pollenmount.fleet.observations import RESPONSE
from pollenmount.fleet.records import ENTRY
from pollenmount.gateway import attempt
from pollenmount.gateway.attempt import AttemptDestination
from pollenmount.gateway.call import ErrorResponse
from pollenmount.gateway.choose import TargetChoice
from pollenmount.gateway.progress import Progress
from pollenmount.wire import pool as wire_pool
from pollenmount.wire.connection import HttpResponseHead
from pollenmount.wire.errors import ConnectError, ConnectRefusedError
from tests.fleet_model import FleetModel
from tests.gateway_harness import make_prompt, make_route
from tests.scripted_vm import (
    EVENTS,
    KEEP_ALIVE,
    LEAVING,
    NOT_RUN,
    ONCE,
    STREAM,
    Vm,
    response_bytes,
    stream_head,
)
from tests.test_gateway_sender import STAMP
from tests.test_platform_adapter import DIALECT


@pytest.fixture
def make_vm(monkeypatch):
    return lambda *targets: Vm(monkeypatch, *targets)


# The header was taken for one that says nothing, and the target stayed in use.
@pytest.mark.parametrize(
    "response",
    [
        response_bytes(extra=STAMP + LEAVING),
        response_bytes(500, STAMP + LEAVING),
        response_bytes(503, NOT_RUN + LEAVING),
        response_bytes(404, STAMP + LEAVING),
    ],
)
def test_a_target_that_leaves_gets_no_more_requests(make_vm, response):
    vm = make_vm("a")
    vm.serve(response)
    assert vm.usable() == set()


# A VM without links, or whose control VMs don't hear the target, keeps what it knows.
@pytest.mark.parametrize("quorums", [{}, {"c": False}])
def test_it_holds_whether_or_not_a_control_vm_is_heard(make_vm, quorums):
    vm = make_vm("a", "b")
    vm.harness.fleet.quorums = quorums
    for name in "ab":
        vm.harness.fleet.handle(TargetSilent(name), "c")
    response = response_bytes(extra=STAMP + LEAVING)
    vm.serve(response)
    assert len(vm.usable()) == 1
    vm.serve(response)
    assert vm.usable() == set()


# Further attempts of the same request would go to it again, or to another that leaves.
def test_a_further_attempt_goes_elsewhere(make_vm):
    vm = make_vm("a", "b")
    (head, *_) = vm.serve(response_bytes(503, NOT_RUN + LEAVING), response_bytes())
    assert head.status == 200
    assert len({connection.address for connection in vm.opened}) == 2


# A stream may take minutes, and its end may never come.
def test_the_head_of_a_stream_is_enough(make_vm):
    vm = make_vm("a")
    vm.scripts = [[stream_head(LEAVING), EVENTS, EVENTS, b"0\r\n\r\n"]]
    call = vm.harness.make_call(STREAM)
    parts = vm.harness.dispatcher.serve(call, Progress(call))
    with contextlib.closing(parts):
        next(parts)
        assert vm.usable() == set()
        assert len([*parts]) >= 1


# Heartbeats that were sent before, or by another part of the target, say it is ready.
def test_heartbeats_of_the_same_start_do_not_bring_it_back(make_vm):
    vm = make_vm("a")
    vm.serve(response_bytes(extra=STAMP + LEAVING))
    vm.harness.add_target("a", sequence=9)
    assert vm.usable() == set()


# A restart under the same name or at the same address would never be used.
def test_a_later_start_is_a_new_target(make_vm):
    vm = make_vm("a")
    vm.serve(response_bytes(extra=STAMP + LEAVING))
    vm.harness.add_target("z", address="a:1", born=2)
    assert vm.usable() == {"z"}
    vm.harness.add_target("a", born=2)
    assert vm.usable() == {"a", "z"}


# The response of a target's last moments arrives after the heartbeat of its next start.
def test_a_late_response_does_not_mark_the_next_start(make_vm):
    vm = make_vm("a")
    vm.scripts = [[stream_head(LEAVING), EVENTS, b"0\r\n\r\n"]]
    call = vm.harness.make_call(STREAM)
    parts = vm.harness.dispatcher.serve(call, Progress(call))
    run = vm.harness.dispatcher.sender.read_head

    def read_after_restart(connection, attempt):
        vm.harness.add_target("a", born=2)
        return run(connection, attempt)

    vm.harness.dispatcher.sender.read_head = read_after_restart
    assert list(parts)
    assert vm.usable() == {"a"}


# A connection to the process of before would bring the new one its notice.
def test_connections_belong_to_one_start_of_a_target(make_vm):
    vm = make_vm("a")
    vm.serve(response_bytes(extra=STAMP + KEEP_ALIVE))
    vm.harness.add_target("a", born=2)
    vm.serve(response_bytes())
    assert len(vm.opened) == 2


# The target of before still answers at the address of the one that was asked.
def test_a_misdirected_response_marks_the_one_that_sent_it(make_vm):
    vm = make_vm("old")
    vm.harness.add_target("new", address="old:1", born=2)
    call = vm.harness.make_call(ONCE)
    destination = AttemptDestination("new", "old:1", 2, "west", "new")
    vm.scripts = [[response_bytes(421, LEAVING)]]
    progress = Progress(call)
    with pytest.raises(attempt.MisdirectedError):
        [*vm.harness.dispatcher.run_attempt(call, progress, destination, 0)]
    assert vm.usable() == {"new"}


# Another of three may be the one that answered; none is marked on a guess.
def test_a_misdirected_response_marks_none_of_several(make_vm):
    vm = make_vm("a")
    for number in (2, 3):
        vm.harness.add_target(f"a{number}", address="a:1", born=number)
    call = vm.harness.make_call(ONCE)
    destination = AttemptDestination("a3", "a:1", 3, "west", "a3")
    vm.scripts = [[response_bytes(421, LEAVING)]]
    with pytest.raises(attempt.MisdirectedError):
        [*vm.harness.dispatcher.run_attempt(call, Progress(call), destination, 0)]
    assert vm.usable() == {"a", "a2", "a3"}


# A pooled connection would be closed under the next request, which then may have run.
def test_its_connections_are_closed_and_not_kept(make_vm):
    vm = make_vm("a")
    kept = STAMP + KEEP_ALIVE
    vm.scripts = [[response_bytes(extra=kept)], [response_bytes(extra=kept)]]
    pool = vm.harness.context.pool
    key = attempt.connection_key("a", "a:1", 1)
    running = pool.acquire(key, "a:1")
    vm.serve(response_bytes(extra=kept))
    assert len(pool.idle[key]) == 1
    vm.leave()
    assert [connection.closed for connection in vm.opened] == [False, True]
    head = running.read_head(lambda: 1000)
    [*running.read_body(head, "POST", lambda: 1000)]
    pool.release(key, running, head)
    assert running.closed
    assert not pool.open_counts
    assert not pool.retired


# The connection by which the notice came would go back to the pool.
def test_the_connection_of_the_notice_is_closed(make_vm):
    vm = make_vm("a")
    vm.serve(response_bytes(extra=STAMP + KEEP_ALIVE + LEAVING))
    assert vm.opened[0].closed


# Requests that run at a target that leaves must end as usual.
def test_running_responses_end_as_usual(make_vm):
    vm = make_vm("a")
    vm.scripts = [[stream_head(""), EVENTS, EVENTS, b"0\r\n\r\n"]]
    call = vm.harness.make_call(STREAM)
    parts = vm.harness.dispatcher.serve(call, Progress(call))
    head = next(parts)
    vm.leave()
    assert head.status == 200
    assert b"".join(parts).count(b"id: 1") == 2


# The entry VM of another region was taken for the target that leaves.
def test_a_hop_passes_the_notice_on_and_keeps_the_vm(make_vm):
    vm = make_vm()
    vm.harness.add_target("e", "east")
    vm.harness.add_entry("east-1", "east")
    head, *_ = vm.serve(response_bytes(extra=STAMP + KEEP_ALIVE + LEAVING))
    assert ("Server-Leaving", "1") in head.headers
    assert not vm.opened[0].closed
    vm.serve(info=vm.harness.make_call().info._replace(id="id-2"))
    assert len(vm.opened) == 1
    assert not vm.harness.fleet.targets.leaving.born_by_id


# Callers get the target's response as it is.
def test_the_header_is_passed_on_to_callers(make_vm):
    vm = make_vm("a")
    head, *_ = vm.serve(response_bytes(extra=STAMP + LEAVING))
    assert ("Server-Leaving", "1") in head.headers


# A service whose last target leaves made callers wait, or sent them there.
@pytest.mark.parametrize("may_hop", [True, False])
def test_the_last_target_of_a_service_is_refused_at_once(make_vm, may_hop):
    vm = make_vm("a")
    vm.serve(response_bytes(extra=STAMP + LEAVING))
    before = vm.harness.clock.now()
    (refusal,) = vm.serve(may_hop=may_hop)
    assert isinstance(refusal, ErrorResponse)
    assert (refusal.status, vm.harness.clock.now()) == (503, before)
    assert refusal.retry_after_ms > 0
    assert len(vm.opened) == 1


# A breaker that is half-open would send it a request as a probe.
def test_a_half_open_breaker_does_not_probe_it(make_vm):
    vm = make_vm("a", "b")
    vm.harness.context.breakers.record_failure("a", 1, open_now=True)
    vm.harness.clock.advance(1000)
    assert vm.usable() == {"a", "b"}
    vm.leave()
    assert vm.usable() == {"b"}


# A target may leave before it is warm.
def test_a_cold_target_that_leaves_is_not_used(make_vm):
    vm = make_vm()
    route = make_route(service="engine")
    vm.harness.add_target("e", service="engine", cold_ms=5000)
    assert vm.usable(route=route) == {"e"}
    vm.leave("e")
    assert vm.usable(route=route) == set()


# A request that was deferred in the meantime went to the target chosen before.
def test_a_request_that_waited_picks_again(make_vm):
    vm = make_vm("a", "b")
    harness = vm.harness
    first = []

    class Deferring:
        def choose(self, options, prompt, slo_ms):
            names = sorted(option.id for option in options.local)
            first.append(names[0])
            return TargetChoice(names[0], 1, should_defer=len(first) == 1)

    harness.dispatcher.chooser = Deferring()

    def sleep(ms):
        harness.clock.advance(ms)
        vm.leave(first[0])

    harness.dispatcher.sleep = sleep
    vm.serve(response_bytes(), prompt=make_prompt())
    assert [connection.address for connection in vm.opened] == ["b:1"]


# Each response would cost a message to each VM of the region.
def test_a_notice_is_news_once(make_vm):
    vm = make_vm("a")
    told = []
    vm.harness.fleet.listeners.append(lambda message, source: told.append(source))
    response = response_bytes(extra=STAMP + LEAVING)
    call = vm.harness.make_call(ONCE)
    destination = vm.harness.dispatcher.destinations.of_target("a")
    for _ in range(3):
        vm.scripts = [[response]]
        [*vm.harness.dispatcher.run_attempt(call, Progress(call), destination, 0)]
    assert told == [RESPONSE]
    samples = vm.harness.metrics.registry.get_sample_value(
        "pollenmount_targets_leaving_total", {"service": "desk"}
    )
    assert samples == 1


# All VMs know of a target that drains; each response of it would tell them again.
def test_a_target_that_drains_or_left_is_no_news(make_vm):
    vm = make_vm()
    vm.harness.add_target("a", draining=True)
    table = vm.harness.fleet.targets
    assert not table.handle_leaving(TargetLeaving("a", 1), RESPONSE)
    vm.harness.add_target("a", sequence=2)
    assert vm.usable() == set()
    vm.harness.add_target("b")
    table.handle_leave("b", "c")
    assert not table.handle_leaving(TargetLeaving("b", 1), RESPONSE)


# A VM that runs for months sees targets without end.
def test_marks_are_bounded():
    marks = LeavingTargets()
    for number in range(MAX_LEAVING_TARGETS + 5):
        assert marks.add(f"t{number}", 1)
    assert len(marks.born_by_id) == MAX_LEAVING_TARGETS


@pytest.fixture
def model():
    """Yield a started fleet of six control VMs and 12 entry VMs."""
    with FleetModel.started() as model:
        model.reset_counters()
        yield model


def read_notice(node, id_):
    """Let an entry VM read in a response that a target leaves."""
    node.fleet.targets.handle_leaving(TargetLeaving(id_, 1), RESPONSE)


def in_region(model, region, role=ENTRY):
    """Return the VMs of a region that have a role."""
    return [node for node in model.of_role(role) if node.region == region]


def knows(node, id_="t0"):
    """Return whether a VM treats a target as draining."""
    return node.fleet.targets.by_id[id_].record.draining


# Other VMs went on sending until each had its own response with the notice.
def test_the_region_hears_of_it_by_one_message_a_link(model):
    region = "east"
    node = in_region(model, region)[0]
    read_notice(node, "t0")
    model.run(100)
    assert all(knows(other) for other in in_region(model, region))
    for other in model.of_role(ENTRY):
        expected = 2 if other.region == region else 0
        assert other.received["TargetLeaving"] == expected
    controls = model.of_role("control")
    assert all(knows(control) for control in controls)
    # From each of the two that the entry VM is linked to, over one link to the others,
    # and from the entry VM itself.
    assert max(c.received["TargetLeaving"] for c in controls) <= len(controls)


# A heartbeat that says ready goes to all VMs, and would bring the target back.
def test_no_heartbeat_brings_it_back_anywhere(model):
    read_notice(in_region(model, "east")[0], "t0")
    model.run(5000)
    assert all(knows(node) for node in in_region(model, "east"))
    capacity = in_region(model, "west")[0].fleet.capacities["east", "engine"]
    assert capacity.targets == 7


# What was read while no control VM was in reach must be told once one is.
def test_what_was_read_without_links_is_told_later(model):
    node = in_region(model, "east")[0]
    node.zone, zone = "alone", node.zone
    model.cut("alone")
    read_notice(node, "t0")
    model.run(2000)
    others = [other for other in in_region(model, "east") if other is not node]
    assert not any(knows(other) for other in others)
    node.zone = zone
    model.cut()
    model.run(8000)
    assert all(knows(other) for other in others)


# A control VM that restarts, and a VM that joins, know nothing of earlier messages.
def test_vms_that_start_later_hear_of_it(model):
    read_notice(in_region(model, "east")[0], "t0")
    model.run(1000)
    restarted = model.nodes["control-east-a"]
    model.kill(restarted)
    model.run(2000)
    restarted.start()
    joined = model.add("entry-new", ENTRY, "east-a")
    model.put_plan(1)
    model.run(6000)
    for node in (restarted, joined):
        assert knows(node)
        assert "t0" in node.fleet.targets.leaving.born_by_id


# A target that can't be connected to is no target that leaves.
def test_a_failed_connection_says_nothing(make_vm, monkeypatch):
    vm = make_vm("a")

    def refuse(address, timeout_ms):
        raise ConnectError("refused")

    monkeypatch.setattr(wire_pool, "connect", refuse)
    vm.serve()
    assert not vm.harness.fleet.targets.leaving.born_by_id


# A target that is full refuses new connections only; it has not restarted.
@pytest.mark.parametrize(
    ("error", "idle", "in_use", "expected"),
    [
        (ConnectRefusedError, False, 0, True),
        (ConnectRefusedError, True, 0, False),
        (ConnectRefusedError, False, 5, False),
        (ConnectError, False, 0, False),
    ],
)
def test_only_a_target_that_refuses_every_connection_may_be_cold(
    make_vm, error, idle, in_use, expected
):
    vm = make_vm("a")
    if idle:
        vm.serve(response_bytes(extra=STAMP + KEEP_ALIVE))
    target = vm.harness.fleet.targets.by_id["a"]
    destination = AttemptDestination(
        "a", target.record.address, target.record.born, "west", "a"
    )
    vm.harness.context.pool.open_counts[destination.connection_key] += in_use
    vm.harness.context.notices.handle_failure(destination, error("refused"))
    now = vm.harness.clock.now()
    assert vm.harness.fleet.targets.by_id["a"].may_be_cold(now) is expected


@pytest.mark.parametrize(
    ("value", "expected"), [("1", True), ("0", False), ("", False)]
)
def test_the_header_is_decoded_by_its_value(value, expected):
    lines = (("Server-Leaving", value),) if value else ()
    assert (
        DIALECT.read_response(HttpResponseHead(200, lines, False)).leaving is expected
    )
