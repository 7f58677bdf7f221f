"""Streams that broke off, and further responses that do not go on with them.

The gateway passed such a response on within the stream that had begun: the text of an
error, or its whole head, stood behind the last event, and the stream ended as if it
were complete. The tables are the same for both interfaces.
"""

from collections import deque
from typing import NamedTuple

import pytest

from pollenmount.gateway.dispatch import BrokenResponseError
from pollenmount.routes.plan import RetryMode
from tests.gateway_harness import make_route
from tests.scripted_vm import Vm, response_bytes
from tests.stateful import scripted
from tests.test_gateway_sender import STAMP
from tests.test_routing_resume import stream

EVENTS = "text/event-stream"
JSON = "application/json"
ERROR = b'{"error": "no such stream"}'
WHOLE_RESPONSE = b"HTTP/1.1 500 X\r\nContent-Length: 27\r\n\r\n" + ERROR
FIRST = b"".join(b"id: %d\ndata: x\n\n" % number for number in (1, 2, 3))
REST = b"id: 4\ndata: x\n\nid: 5\ndata: x\n\n"
RESUMABLE = make_route(RetryMode.STREAM, resumable=True, attempts=4)


class Response(NamedTuple):
    """A response: its status, media type and body."""

    status: int
    kind: str
    body: bytes


STATUSES = (302, 400, 404, 409, 413, 429, 500, 503)
# They do not go on with a stream.
OF_BOTH_INTERFACES = [
    *(Response(status, JSON, ERROR) for status in STATUSES),
    Response(200, "text/plain", b"internal error\n\n"),
    Response(200, "text/plain", b"data: internal error\n\n"),
    Response(200, JSON, ERROR),
    Response(200, "", b"internal error\n\n"),
    Response(200, EVENTS, ERROR),
    Response(200, EVENTS, ERROR + b"\n\n"),
    Response(200, EVENTS, WHOLE_RESPONSE),
]
# Events of the product's own interface have no numbers.
OF_ROUTES = [
    *OF_BOTH_INTERFACES,
    Response(200, EVENTS, b"id: 3\ndata: x\n\n" + REST),
    Response(200, EVENTS, b"Error: internal\n\n"),
    Response(200, EVENTS, b"id: 4\ndata: "),
]


def counted(response, stamp=STAMP):
    """Return a response with its length."""
    extra = f"{stamp}Content-Type: {response.kind}\r\n"
    return response_bytes(response.status, extra, response.body)


def chunked(response, stamp=STAMP):
    """Return a response in chunked encoding."""
    head, _, body = counted(response, stamp).partition(b"Content-Length")
    chunk = (
        b"%x\r\n%s\r\n" % (len(response.body), response.body) if response.body else b""
    )
    return head + b"Transfer-Encoding: chunked\r\n\r\n" + chunk + b"0\r\n\r\n"


def closed(response, stamp=STAMP):
    """Return a response that ends with its connection."""
    return counted(response, stamp).replace(b"Content-Length", b"X-Length")


FRAMINGS = (counted, chunked, closed)
BROKEN = closed(Response(200, EVENTS, FIRST + b"id: 4\nda"))
GOES_ON = chunked(Response(200, EVENTS + "; charset=utf-8", REST))


@pytest.fixture
def vm(monkeypatch):
    return Vm(monkeypatch, "a", "b", "c")


@pytest.mark.parametrize("frame", FRAMINGS)
@pytest.mark.parametrize("stamp", [STAMP, ""])
@pytest.mark.parametrize("unfit", OF_ROUTES)
def test_it_is_not_passed_on_and_the_stream_goes_on_elsewhere(vm, unfit, stamp, frame):
    _, *parts = vm.serve(BROKEN, frame(unfit, stamp), GOES_ON, route=RESUMABLE)
    assert b"".join(parts) == FIRST + REST
    assert [b"Last-Event-Id: 3" in opened.sent for opened in vm.opened] == [0, 1, 1]


def serve_until_broken(vm, *scripts):
    """Return the bytes of a stream that is broken off."""
    delivered = []
    vm.scripts = [[script] for script in scripts]
    call = vm.harness.make_call(RESUMABLE._replace(attempts=len(scripts)))
    with pytest.raises(BrokenResponseError):
        for part in vm.harness.dispatcher.serve(call, vm.progress(call)):
            delivered.append(part)
    return b"".join(delivered[1:])


@pytest.mark.parametrize("unfit", OF_ROUTES)
def test_without_another_attempt_the_stream_is_broken_off(vm, unfit):
    assert serve_until_broken(vm, BROKEN, chunked(unfit)) == FIRST


# Bytes that are no event are no part of a stream, also in its first response.
@pytest.mark.parametrize("frame", FRAMINGS)
@pytest.mark.parametrize("rest", [ERROR, ERROR + b"\n\n", WHOLE_RESPONSE])
def test_a_first_response_is_passed_on_as_far_as_it_has_events(vm, rest, frame):
    first = frame(Response(200, EVENTS, FIRST + rest))
    assert serve_until_broken(vm, first) == FIRST


def test_a_stream_that_was_complete_but_for_its_end_ends_with_no_further_event(vm):
    _, *parts = vm.serve(BROKEN, chunked(Response(200, EVENTS, b"")), route=RESUMABLE)
    assert b"".join(parts) == FIRST


def test_a_stream_without_a_media_type_goes_on_as_an_event_stream(vm):
    _, *parts = vm.serve(
        BROKEN.replace(b"Content-Type: text/event-stream\r\n", b""),
        chunked(Response(200, JSON, REST)),
        GOES_ON,
        route=RESUMABLE,
    )
    assert b"".join(parts) == FIRST + REST


def test_comments_between_events_need_no_number(vm):
    ping = b": ping\n\n"
    _, *parts = vm.serve(
        BROKEN, chunked(Response(200, EVENTS, ping + REST)), route=RESUMABLE
    )
    assert b"".join(parts) == FIRST + ping + REST


def hop_head(version):
    """Return what another region's VM puts into the head of a stream."""
    return f"{STAMP}Pollenmount-Hop-Version: {version}\r\n"


@pytest.mark.parametrize(
    ("unfit", "version"),
    [*((unfit, "v1") for unfit in OF_ROUTES), (Response(200, EVENTS, REST), "v2")],
)
def test_a_hop_checks_what_the_other_region_passes_on(monkeypatch, unfit, version):
    vm = Vm(monkeypatch, "a")
    vm.harness.add_entry("east-1", "east")
    vm.harness.add_target("b", "east")
    vm.harness.update_capacities()
    assert serve_until_broken(vm, BROKEN, chunked(unfit, hop_head(version))) == FIRST
    assert b"Pollenmount-Hop" in vm.opened[1].sent


def test_a_hop_that_goes_on_is_passed_on(monkeypatch):
    vm = Vm(monkeypatch, "a")
    vm.harness.add_entry("east-1", "east")
    vm.harness.add_target("b", "east")
    further = chunked(Response(200, EVENTS, REST), hop_head("v1"))
    _, *parts = vm.serve(BROKEN, further, route=RESUMABLE)
    assert b"".join(parts) == FIRST + REST


@pytest.mark.parametrize("unfit", OF_BOTH_INTERFACES)
@pytest.mark.parametrize("node", ["east-1", "west-1"])
def test_the_own_interface_does_not_pass_it_on_either(unfit, node):
    """At `west-1` the further response comes by way of another failure domain."""
    faults = {"east": deque(["cut", scripted.Answer(*unfit)])}
    if node == "west-1":
        faults = {"west": deque(["cut"]), "east": deque([scripted.Answer(*unfit)])}
    caller = "bound" if node == "east-1" else "near"
    call, body, interrupted = stream(node, caller, faults)
    expected = scripted.expected_body(call)
    assert expected.startswith(body)
    assert interrupted or body == expected
