"""Orders to evacuate failure domains, on a control VM with a replica of its own."""

import contextlib
import time

import pytest
from result import Err

from pollenmount import task
from pollenmount.errors import TransportError
from pollenmount.fleet.messages import EntryCounts, EvacuationsChanged, Loads
from tests.control_vm import ControlVm, order_bytes
from tests.gateway_harness import EntryHarness, ok
from tests.test_gateway_joining import receive_hop

DOMAIN = "west-a"
# Well above the time that an order takes.
SETTLE_MS = 400
# Callers and targets go to another VM after a second without a response.
PATIENCE_MS = 1200


@pytest.fixture
def vm(network, tmp_path, caplog):
    caplog.set_level("INFO", "pollenmount")
    with contextlib.closing(ControlVm(f"127.{network}.8.1", tmp_path)) as control_vm:
        yield control_vm


def lines(caplog, message):
    """Return the fields of the lines with a message."""
    return [r.fields for r in caplog.records if r.msg == message]


# Nothing told when an order had arrived, nor whether its caller still waited.
def test_the_log_tells_when_an_order_arrived_and_how_it_ended(vm, caplog):
    assert vm.call("POST", DOMAIN) == 200
    (received,) = lines(caplog, "order received")
    assert (received["domain"], received["evacuated"]) == (DOMAIN, True)
    assert (received["caller_waits"], received["in_touch"]) == (True, True)
    (accepted,) = lines(caplog, "evacuation accepted")
    assert accepted["revision"] == received["known_revision"] + 1


# Nothing told that a caller had left before its order was run.
def test_the_log_tells_that_the_caller_of_an_order_has_left(vm, caplog):
    vm.send_and_leave("POST", DOMAIN)
    vm.wait_until(lambda: lines(caplog, "order received"))
    assert not lines(caplog, "order received")[0]["caller_waits"]


# A control VM that had stood still ended an evacuation that was newer than the order.
def test_an_order_whose_caller_has_left_is_not_run(vm):
    assert vm.call("POST", DOMAIN) == 200
    vm.send_and_leave("DELETE", DOMAIN)
    task.sleep(SETTLE_MS)
    assert vm.evacuated() == (DOMAIN,)


def stand_still(vm, *methods):
    """Let the VM stand still before its next proposal, while newer orders are run."""
    propose = vm.log.client.propose

    def propose_late(*args, **options):
        vm.log.client.propose = propose
        assert [vm.call(method, DOMAIN) for method in methods] == [200] * len(methods)
        return propose(*args, **options)

    vm.log.client.propose = propose_late


# An order that was proposed late ended an evacuation that was acknowledged meanwhile.
@pytest.mark.parametrize("newer", [["DELETE", "POST"], ["POST"]])
def test_an_order_proposed_after_a_newer_one_changes_nothing(vm, newer):
    assert vm.call("POST", DOMAIN) == 200
    stand_still(vm, *newer)
    assert vm.call("DELETE", DOMAIN) == 503
    assert vm.evacuated() == (DOMAIN,)


# A proposal that was repeated after a lost reply ended an evacuation begun meanwhile.
def test_an_order_proposed_again_changes_nothing_after_a_newer_one(vm):
    ask = vm.log.client.ask

    def lose_reply(address, request, timeout_ms):
        vm.log.client.ask = ask
        ask(address, request, timeout_ms)
        assert vm.call("POST", DOMAIN) == 200
        return Err(TransportError(address, "reset", True))

    vm.log.client.ask = lose_reply
    assert vm.call("DELETE", DOMAIN) == 503
    assert vm.evacuated() == (DOMAIN,)


# Orders were proposed for seconds after their callers had gone to other VMs.
def test_an_order_is_not_proposed_any_more_once_its_caller_has_left(vm):
    ask = vm.log.client.ask
    vm.log.client.ask = lambda *args: Err(TransportError("", "no reply", False))
    with contextlib.closing(vm.connect()) as peer:
        peer.sendall(order_bytes("POST", DOMAIN))
        task.sleep(SETTLE_MS)
    vm.log.client.ask = ask
    task.sleep(SETTLE_MS)
    assert vm.evacuated() == ()


# A control VM without a replica in the group refused all orders.
def test_a_control_vm_outside_the_group_takes_orders(vm, network, tmp_path):
    ip, seed_ip = f"127.{network}.8.2", f"127.{network}.8.1"
    with contextlib.closing(ControlVm(ip, tmp_path / "outside", seed_ip)) as outside:
        assert outside.call("POST", DOMAIN) == 200
        assert not outside.log.has_quorum()
    assert vm.evacuated() == (DOMAIN,)


# A control VM that had stood still ended an evacuation that was newer than the order,
# whose caller had gone to another VM without closing its connection.
def test_an_order_that_may_be_older_than_its_caller_waits_is_not_run(vm):
    assert vm.call("POST", DOMAIN) == 200
    order = order_bytes("DELETE", DOMAIN)
    assert vm.send_and_stand_still(order, PATIENCE_MS) == 503
    assert vm.evacuated() == (DOMAIN,)
    task.sleep(SETTLE_MS)
    assert vm.call("DELETE", DOMAIN) == 200


# The VM stood still while it asked for the count of orders, and others were given.
def test_an_order_of_which_the_count_came_late_is_not_run(vm):
    assert vm.call("POST", DOMAIN) == 200
    read = vm.log.orders.handle_read

    def read_late(request):
        time.sleep(PATIENCE_MS / 1000)
        return read(request)

    vm.log.orders.handle_read = read_late
    assert vm.call("DELETE", DOMAIN) == 503
    assert vm.evacuated() == (DOMAIN,)


def test_an_order_after_a_short_stall_is_run(vm):
    assert vm.send_and_stand_still(order_bytes("POST", DOMAIN), 350) == 200


HEARTBEAT = (
    b'{"backend":"b","addr":"10.0.0.1:80","zone":"west-a","version":"v","slots":1,'
    b'"state":"ready","seq":4,"born":1}'
)


# What a target had sent before the VM stood still counted as new: one that had ended
# was taken for up, one that had started again under its id for gone.
@pytest.mark.parametrize(("method", "body"), [("PUT", HEARTBEAT), ("DELETE", b"")])
def test_a_report_of_a_target_that_may_be_outdated_is_refused(vm, method, body):
    request = (
        f"{method} /-/instances/i-1 HTTP/1.1\r\nHost: h\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body
    assert vm.send_and_stand_still(request, PATIENCE_MS) == 503
    assert not vm.heard
    task.sleep(SETTLE_MS)
    assert vm.send_and_stand_still(request, 0) == 200
    assert len(vm.heard) == 1


def test_an_order_that_is_sent_again_is_acknowledged_again(vm):
    for method in ("POST", "POST", "DELETE", "DELETE"):
        assert vm.call(method, DOMAIN) == 200
    assert vm.evacuated() == ()


# An entry VM did not tell which evacuations it went by, nor how old its news were.
def test_a_call_is_logged_with_what_its_choice_rested_on(caplog):
    caplog.set_level("INFO", "pollenmount")
    receiver = EntryHarness(name="east-1", region="east")
    receiver.add_target("t", "east")
    receiver.fleet.handle(EvacuationsChanged(7, ("west-a",)), "c")
    receiver.fleet.handle(EntryCounts({"east": 1}, True, True), "c")
    receiver.fleet.handle(EntryCounts({"east": 1}, False, False), "d")
    receiver.fleet.freshness.record("c")
    receiver.clock.advance(300)
    receiver.sender.script = [ok("t")]
    reply = receive_hop(receiver, receiver.make_call())
    assert reply.status == 200
    list(reply.body)
    (line,) = lines(caplog, "call ended")
    assert line["belief"] == {"evacuations": 7, "heard_ms": 300, "in_touch": 1}


# Evacuations of a lower revision were ignored without a word.
def test_evacuations_that_are_ignored_are_logged_once(caplog):
    caplog.set_level("INFO", "pollenmount")
    harness = EntryHarness()
    harness.fleet.handle(EvacuationsChanged(7, ()), "c")
    for _ in range(3):
        harness.fleet.handle(EvacuationsChanged(2, ("west-a",)), "c")
        harness.fleet.handle(Loads(()), "c")
        task.sleep()
    (line,) = lines(caplog, "evacuations ignored")
    assert (line["revision"], line["known_revision"]) == (2, 7)
