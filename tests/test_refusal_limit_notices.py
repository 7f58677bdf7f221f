"""What targets name as the refusals that they bear, at an entry VM without network."""

import pytest

from pollenmount.gateway.attempt import NotRunError
from pollenmount.gateway.call import ErrorResponse
from pollenmount.gateway.dialect import ResponseInfo
from tests.gateway_harness import EntryHarness, TargetHead, make_route, ok
from tests.scripted_vm import NOT_RUN, Vm, response_bytes
from tests.test_gateway_sender import STAMP

SLOTS = 6


@pytest.fixture
def harness():
    vm = EntryHarness()
    vm.add_target("t")
    return vm


def head(status=200, per_s=None, not_run=False):
    """Return what a target says of itself: how many refusals it bears."""
    info = ResponseInfo("id-1", True, not_run, False, None, (), None, per_s)
    return TargetHead(status, info)


def refusal(per_s=None, status=503):
    """Return the parts of a refusal."""
    return [head(status, per_s, not_run=True), NotRunError(status)]


def serve(vm, *script):
    """Return the first part of the response to a call, and its progress."""
    vm.clock.advance(1)
    parts, progress = vm.serve(vm.make_call(), *script)
    return parts[0], progress


def fill(vm, *ids):
    """Let all slots of targets be in use by other VMs."""
    vm.reported = {
        id_: vm.loads.total_at(id_)._replace(requests=SLOTS) for id_ in ids or ["t"]
    }


def lines(caplog):
    """Return the messages about limits of refusals and their numbers."""
    return [
        (record.msg, record.fields["per_s"])
        for record in caplog.records
        if "refusal limit" in record.msg
    ]


# The limit is read and nothing keeps to it: calls go on until the target fails.
def test_a_target_that_has_refused_its_share_gets_no_call_in_that_second(harness):
    fill(harness)
    serve(harness, [head(per_s=2.0), *ok()])
    for _ in range(2):
        serve(harness, refusal(2.0))
    response, progress = serve(harness)
    assert isinstance(response, ErrorResponse) and response.status == 503
    assert (progress.sends, progress.obstacles) == (0, {"refusals": 1})
    assert response.reason == "no target can take it"
    harness.clock.advance(1000)
    _, progress = serve(harness, [head(per_s=2.0), *ok()])
    assert progress.sends == 1


# A call that another target could take is refused, or goes on to a full one.
def test_a_call_goes_to_another_target_instead(harness):
    harness.add_target("u")
    fill(harness)
    serve(harness, [head(per_s=1.0), *ok("u")])
    _, progress = serve(harness, refusal(1.0), [head(per_s=1.0), *ok("u")])
    other = progress.destination.target_id
    for _ in range(10):
        _, progress = serve(harness, [head(per_s=1.0), *ok("u")])
        assert progress.destination.target_id == other


# All entry VMs of the region use the whole of what a target bears.
def test_the_entry_vms_of_the_region_share_the_limit(harness):
    for number in (2, 3, 4):
        harness.add_entry(f"west-{number}", "west")
    fill(harness)
    serve(harness, [head(per_s=8.0), *ok()])
    for _ in range(2):
        serve(harness, refusal(8.0))
    _, progress = serve(harness)
    assert progress.obstacles == {"refusals": 1}


# Calls that wait for their responses are not counted, and all are refused at once.
def test_attempts_without_a_response_count_at_a_full_target(harness):
    fill(harness)
    serve(harness, [head(per_s=2.0), *ok()])
    harness.clock.advance(1)
    harness.update_capacities()
    dispatcher, context = harness.dispatcher, harness.context
    with_response = dispatcher.destinations.of_target("t")
    target = harness.fleet.targets.by_id["t"]
    call = harness.make_call()
    with (
        context.track_refusal(call, with_response),
        context.track_refusal(call, with_response),
    ):
        assert context.find_obstacle(target, 1) == "refusals"
    assert context.find_obstacle(target, 1) is None


# Refusals for other reasons keep a target out that has room.
@pytest.mark.parametrize("status", [429, 421])
def test_other_refusals_do_not_count(harness, status):
    fill(harness)
    serve(harness, [head(per_s=1.0), *ok()])
    notices = harness.context.notices
    call, target = harness.make_call(), harness.fleet.targets.by_id["t"]
    destination = harness.dispatcher.destinations.of_target("t")
    with harness.context.track_refusal(call, destination):
        info = head(status, 1.0, not_run=True).info
        notices.handle_head(call, destination, status, info, harness.clock.now())
    assert harness.context.find_obstacle(target, 1) is None
    value = harness.metrics.registry.get_sample_value(
        "pollenmount_target_refusals_total", {"service": "desk"}
    )
    assert not value


# Requests that have waited at a target for too long keep it out as if it had no room.
def test_a_refusal_after_the_deadline_does_not_count(harness):
    serve(harness, [head(per_s=1.0), *ok()])
    call = harness.make_call()
    destination = harness.dispatcher.destinations.of_target("t")
    info = head(503, 1.0, not_run=True).info
    harness.clock.advance(5000)
    harness.context.notices.handle_head(call, destination, 503, info, 0)
    value = harness.metrics.registry.get_sample_value(
        "pollenmount_target_refusals_total", {"service": "desk"}
    )
    assert not value


# A limit that has ended, or that was never one, holds calls back.
def test_a_limit_holds_until_the_target_names_none(harness, caplog):
    caplog.set_level("INFO", "pollenmount")
    serve(harness, [head(per_s=2.0), *ok()])
    serve(harness, [head(per_s=float("nan")), *ok()])
    serve(harness, [head(per_s=-1.0), *ok()])
    assert harness.context.refusals.limit_of("desk", "t") == 2.0
    serve(harness, [head(), *ok()])
    assert harness.context.refusals.limit_of("desk", "t") is None
    assert lines(caplog) == [
        ("targets name a refusal limit", 2.0),
        ("refusal limit out of range", "nan"),
        ("targets name no refusal limit", None),
    ]


# The response of another target at the address is none of the one that was asked.
def test_a_misdirected_response_names_no_limit(harness):
    serve(harness, refusal(2.0, status=421))
    assert harness.context.refusals.limit_of("desk", "t") is None


# Nothing tells how many requests targets refuse for want of room.
def test_refusals_for_want_of_room_are_counted(harness):
    serve(harness, refusal())
    value = harness.metrics.registry.get_sample_value(
        "pollenmount_target_refusals_total", {"service": "desk"}
    )
    assert value == 1


# What the VM keeps of a target stays when the target has left.
def test_a_target_that_has_left_is_forgotten(harness):
    fill(harness)
    serve(harness, [head(per_s=2.0), *ok()])
    serve(harness, refusal(2.0))
    harness.context.forget("t")
    assert harness.context.refusals.targets == {"desk": {}}


# What the platform's header says does not get through the adapter and the sender.
def test_a_limit_is_read_from_the_bytes_of_a_response(monkeypatch):
    vm = Vm(monkeypatch, "a")
    named = "Server-Brittle: 1\r\n"
    vm.serve(response_bytes(extra=f"{STAMP}{named}"), route=make_route())
    assert vm.usable() == {"a"}
    refused = response_bytes(503, f"{NOT_RUN}{named}")
    vm.serve(refused, route=make_route(), may_hop=False)
    assert vm.usable() == set()
    vm.harness.clock.advance(1000)
    assert vm.usable() == {"a"}
