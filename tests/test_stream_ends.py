"""Responses that end with their connection, without a length and without chunks."""

import pytest

from pollenmount.gateway.dispatch import BrokenResponseError
from pollenmount.routes.plan import RetryMode
from tests.gateway_harness import make_route
from tests.scripted_vm import ONCE, STREAM, Vm, response_bytes
from tests.test_gateway_sender import STAMP

HEAD = response_bytes(extra=STAMP, body=b"").replace(b"Content-Length: 0\r\n", b"")
REPEATED = make_route()
RESUMABLE = make_route(RetryMode.STREAM, resumable=True)
FIRST = b"id: 1\ndata: a\n\n"
SECOND = b"id: 2\ndata: b\n\n"


@pytest.fixture
def vm(monkeypatch):
    return Vm(monkeypatch, "a", "b")


def test_a_stream_that_ends_after_an_event_is_whole(vm):
    _, *events = vm.serve((HEAD, FIRST, SECOND), route=STREAM)
    assert b"".join(events) == FIRST + SECOND


# The part of an event was passed on, and the stream ended as if it were whole.
def test_a_stream_that_ends_inside_an_event_is_broken_off(vm):
    with pytest.raises(BrokenResponseError):
        vm.serve((HEAD, FIRST, SECOND[:9]), route=STREAM)


def test_it_goes_on_at_another_target_after_its_last_whole_event(vm):
    scripts = (HEAD, FIRST, SECOND[:9]), (HEAD, SECOND)
    _, *events = vm.serve(*scripts, route=RESUMABLE)
    assert b"".join(events) == FIRST + SECOND
    assert b"Last-Event-Id: 1" in vm.opened[1].sent


# A target that ends as it begins to respond left an empty success.
def test_a_stream_that_ends_before_its_first_event_is_broken_off(vm):
    (head, *_) = vm.serve((HEAD,), (HEAD, FIRST), route=RESUMABLE)
    assert head.status == 200
    assert len(vm.opened) == 2


# Guards against a stream without its last events as a whole one: its target was killed,
# and the kernel closed the connection in good order.
def test_a_stream_whose_target_was_killed_after_an_event_is_broken_off(vm):
    vm.ended.add("a:1")
    with pytest.raises(BrokenResponseError):
        vm.serve((HEAD, FIRST), route=STREAM)


def test_it_goes_on_at_another_target_after_the_event(vm):
    vm.ended.add("a:1")
    _, *events = vm.serve((HEAD, FIRST), (HEAD, SECOND), route=RESUMABLE)
    assert b"".join(events) == FIRST + SECOND
    assert b"Last-Event-Id: 1" in vm.opened[1].sent


# Guards against a part of a body as the whole of it, after such an end of its target.
def test_a_response_whose_target_was_killed_is_no_success(vm):
    vm.ended.add("a:1")
    (error,) = vm.serve((HEAD, b"par"), route=ONCE)
    assert error.status == 502


def test_it_is_retried_at_another_target_if_that_is_safe(vm):
    vm.ended.add("a:1")
    _, body = vm.serve((HEAD, b"par"), (HEAD, b"whole"), route=REPEATED)
    assert body == b"whole"


# Guards against a whole stream that is broken off as its target ends in good order.
def test_the_last_stream_of_a_target_that_leaves_is_whole(vm):
    vm.ended.add("a:1")
    vm.scripts = [[HEAD, FIRST, SECOND]]
    vm.harness.update_capacities()
    call = vm.harness.make_call(STREAM)
    parts = vm.harness.dispatcher.serve(call, vm.progress(call), True)
    assert next(parts).status == 200
    vm.leave("a")
    assert b"".join(parts) == FIRST + SECOND
