"""Limits that targets name on the requests a second of all VMs together."""

import pytest

from pollenmount.routes.plan import RetryMode
from tests.gateway_harness import make_route
from tests.scripted_vm import Vm, response_bytes
from tests.test_gateway_sender import STAMP

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
        vm.harness.clock.advance(10_000)
    assert limit_lines(caplog) == [
        ("target names a limit", "1.7"),
        ("target names a limit", "2.0"),
        ("target names no limit", "None"),
    ]


def test_a_limit_that_is_no_number_is_logged_once(make_vm, caplog):
    caplog.set_level("INFO", "pollenmount")
    vm = make_vm("a")
    for _ in range(2):
        vm.serve(limited("many"), route=PLAIN)
    assert limit_lines(caplog) == [("target names a limit", "nan")]
