"""Limits that targets name on the requests a second of all VMs together."""

import pytest

from pollenmount.fleet.target_limits import LIMIT_TTL_MS
from pollenmount.routes.plan import RetryMode
from pollenmount.wire.connection import HttpResponseHead
from tests.gateway_harness import make_route
from tests.scripted_vm import NOT_RUN, Vm, response_bytes
from tests.test_gateway_sender import STAMP
from tests.test_platform_adapter import DIALECT

PLAIN = make_route(RetryMode.IDEMPOTENT)


def limited(value):
    """Return a response that names a limit."""
    return response_bytes(extra=f"{STAMP}Server-Limit: {value}\r\n")


@pytest.fixture
def make_vm(monkeypatch):
    return lambda *targets: Vm(monkeypatch, *targets)


def limit_lines(caplog):
    """Return the messages about limits and the limits in them."""
    return [
        (record.msg, record.fields["per_s"])
        for record in caplog.records
        if record.msg.startswith("target names")
    ]


# Nothing told whether a VM had read the limit that it exceeded.
def test_a_limit_is_logged_when_it_is_named_changed_and_named_no_more(make_vm, caplog):
    caplog.set_level("INFO", "pollenmount")
    vm = make_vm("a")
    for response in (limited("1.7"), limited("1.7"), limited("2"), response_bytes()):
        vm.serve(response, route=PLAIN)
        limit = vm.harness.fleet.targets.limits.get("a", 1)
        if limit is not None:
            vm.hear_limit(limit.per_s, "west-1")
        vm.harness.clock.advance(10_000)
    assert limit_lines(caplog) == [
        ("target names a limit", 1.7),
        ("target names a limit", 2.0),
        ("target names no limit", None),
    ]


def test_a_limit_that_is_no_valid_number_is_logged_once(make_vm, caplog):
    caplog.set_level("INFO", "pollenmount")
    vm = make_vm("a")
    for value in ("many", "many", "-3"):
        vm.serve(limited(value), route=PLAIN)
    lines = [r.fields for r in caplog.records if r.msg == "limit out of range"]
    assert lines == [{"target": "a", "born": 1, "per_s": "nan"}]
    assert limit_lines(caplog) == []


def limit_of(vm, id_="a", born=1):
    """Return the limit in force at a VM, None if there is none."""
    limit = vm.harness.fleet.targets.limits.get(id_, born)
    return limit.per_s if limit else None


# A request sent at the full rate while the control VMs select who may send.
def test_a_vm_that_reads_a_limit_waits_until_it_is_selected(make_vm):
    vm = make_vm("a")
    vm.serve(limited("2"), route=PLAIN)
    assert vm.usable() == set()
    vm.hear_limit(2.0, "west-2")
    vm.harness.clock.advance(10_000)
    assert vm.usable() == set()
    vm.hear_limit(2.0, "west-1", "west-2")
    assert vm.usable() == {"a"}


def test_the_selected_vms_share_the_rate_evenly(make_vm):
    vm = make_vm("a")
    vm.hear_limit(2.0, "west-1", "west-2")
    vm.serve(limited("2"), route=PLAIN)
    vm.harness.clock.advance(1249)
    assert vm.usable() == set()
    vm.harness.clock.advance(1)
    assert vm.usable() == {"a"}


# A VM without links can't be told who may send, but knows how many might.
def test_a_vm_without_control_vms_takes_its_share_by_count(make_vm):
    vm = make_vm("a")
    vm.harness.add_entry("west-2", "west")
    vm.serve(limited("2"), route=PLAIN)
    vm.harness.fleet.forget_source("c")
    vm.harness.clock.advance(1250)
    assert vm.usable() == {"a"}


@pytest.mark.parametrize("value", ["many", "-1", "nan", "inf", "1e3", "", "0x2"])
def test_a_limit_that_is_no_valid_number_changes_nothing(make_vm, value):
    vm = make_vm("a")
    vm.serve(limited(value), route=PLAIN)
    assert limit_of(vm) is None
    vm.hear_limit(2.0, "west-1")
    if value:
        vm.serve(limited(value), route=PLAIN)
        assert limit_of(vm) == 2.0


@pytest.mark.parametrize(("value", "per_s"), [("0", 0.1), ("9" * 30, 1e6)])
def test_a_limit_is_kept_within_bounds(make_vm, value, per_s):
    vm = make_vm("a")
    vm.serve(limited(value), route=PLAIN)
    assert limit_of(vm) == per_s


# Responses overtake each other: one to an earlier request says nothing about now.
def test_a_response_to_an_earlier_request_does_not_end_a_limit(make_vm):
    vm = make_vm("a")
    harness = vm.harness
    destination = harness.dispatcher.destinations.of_target("a")
    info = DIALECT.read_response(HttpResponseHead(200, (), False))
    for sent_before_ms, expected in ((1, 2.0), (0, 2.0), (-1, None)):
        vm.hear_limit(2.0, "west-1")
        sent_at = harness.clock.now() - sent_before_ms
        harness.context.notices.handle_head(
            harness.make_call(), destination, 200, info, sent_at
        )
        assert limit_of(vm) == expected


# The response of another target at the address is none of the one that was asked.
def test_a_misdirected_response_names_no_limit(make_vm):
    vm = make_vm("a")
    vm.serve(
        response_bytes(421, f"{NOT_RUN}Server-Limit: 2\r\n"), route=PLAIN, may_hop=False
    )
    assert limit_of(vm) is None


def test_a_refusal_of_the_target_names_its_limit_too(make_vm):
    vm = make_vm("a")
    refusal = response_bytes(503, f"{NOT_RUN}Server-Limit: 2\r\n")
    vm.serve(refusal, route=PLAIN, may_hop=False)
    assert limit_of(vm) == 2.0


def test_a_limit_that_nobody_names_any_more_lapses(make_vm):
    vm = make_vm("a")
    vm.hear_limit(2.0, "west-2")
    vm.harness.clock.advance(LIMIT_TTL_MS)
    assert limit_of(vm) is None


# A late message about an incarnation that has ended must not bind the next one.
def test_a_limit_of_an_earlier_incarnation_is_ignored(make_vm):
    vm = make_vm()
    vm.harness.add_target("a", born=2)
    vm.hear_limit(2.0, "west-1", born=1)
    assert limit_of(vm, born=2) is None
    vm.hear_limit(3.0, "west-1", born=2)
    vm.hear_limit(None, born=1)
    assert limit_of(vm, born=2) == 3.0
