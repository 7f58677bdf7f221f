"""Requests that a VM which stops has not sent to a target yet, or cannot finish.

A VM that stopped passed on what it had accepted before, however late the rest of it
came: a body over several seconds, a wait for a target. At the end of the grace period
these were cut without an answer, among them requests that may not be repeated.
"""

import contextlib
import json
import types

import pytest

from pollenmount import task
from pollenmount.api.web import WebServer, json_reply, make_app, refusal_reply
from pollenmount.gateway.call import ErrorResponse
from pollenmount.gateway.callers import HopsApi
from pollenmount.gateway.hop import (
    HOP_NOT_READY,
    HOP_REQUEST,
    PeerNotReadyError,
    encode_hop,
    raise_if_refused,
)
from pollenmount.gateway.roles import entry as entry_role
from pollenmount.routes.plan import RetryMode
from pollenmount.wire.connection import parse_head
from pollenmount.wire.errors import ConnectError, ExchangeError
from tests.gateway_harness import EntryHarness, make_route, ok
from tests.gateway_sockets import (
    SocketEntry,
    read_stream,
    request_bytes,
    start_with_target,
    use_green_sockets,
    wait_until,
)

READ_BYTES = 65_536
BODY = b"a body that comes in two parts"
# Short, so that the whole stop takes a second.
GRACE_S = 1
SLOW_MS = 5000
ONCE = make_route(RetryMode.ONCE)
PATHS = ("/again/1", "/once/1", "/stream/1")


def run_slowly(exchange):
    """Respond long after the VM has ended."""
    task.sleep(SLOW_MS)
    exchange.send_response(b"late")


def run_at_once(exchange):
    """Respond as soon as the request has arrived."""
    exchange.read_body()
    exchange.send_response(b"done")


@pytest.fixture
def start(network, monkeypatch):
    """Return a function that starts a VM with a target: (entry, role, target)."""
    use_green_sockets(monkeypatch)
    with contextlib.ExitStack() as stack:

        def start_vm(run):
            vm, target = start_with_target(stack, network, run)
            bounds = vm.settings.bounds._replace(stop_grace_s=GRACE_S)
            vm.node.settings = vm.settings._replace(bounds=bounds)
            role = entry_role.EntryRole.__new__(entry_role.EntryRole)
            role.node = vm.node
            role.links = types.SimpleNamespace(send_heartbeats=lambda: None)
            role.callers = role.hops = vm.server
            return vm, role, target

        yield start_vm


def send_without_end(vm, path):
    """Return a connection on which the last ten bytes of a request are to come."""
    peer = vm.connect()
    peer.sendall(request_bytes(path=path, body=BODY)[:-10])
    wait_until(lambda: vm.server.active)
    return peer


def response_of(peer):
    """Return the status line and the body of the next response, b'' for none."""
    head, _, body = peer.recv(READ_BYTES).partition(b"\r\n\r\n")
    return head.split(b"\r\n")[0], body


@pytest.mark.parametrize("path", PATHS)
def test_a_body_that_comes_after_the_stop_is_not_waited_for(start, path):
    vm, role, target = start(run_at_once)
    with send_without_end(vm, path) as peer:
        task.spawn(role.stop, vm.clock.now())
        status, body = response_of(peer)
        assert status.split()[1] == b"503"
        assert json.loads(body)["error"]
    assert not target.requests


# The last bytes arrive in the turn of the event loop in which the VM begins to refuse.
@pytest.mark.parametrize("path", PATHS)
def test_a_body_that_arrives_while_requests_are_refused_is_not_passed_on(start, path):
    vm, _, target = start(run_at_once)
    with send_without_end(vm, path) as peer:
        vm.node.refusing = True
        peer.sendall(BODY[-10:])
        assert response_of(peer)[0].split()[1] == b"503"
    assert not target.requests


@pytest.mark.parametrize("path", PATHS)
def test_a_request_that_cannot_be_finished_is_told_that_it_may_have_run(start, path):
    vm, role, target = start(run_slowly)
    with vm.connect() as peer:
        peer.sendall(request_bytes(path=path))
        wait_until(lambda: target.requests)
        role.stop(vm.clock.now())
        status, body = response_of(peer)
    assert status.split()[1] == b"502"
    assert json.loads(body)["error"] == "this VM is stopping"


# Connecting to a target takes up to 0.4 s.
@pytest.mark.parametrize("path", PATHS)
def test_a_call_that_waits_for_its_connection_is_not_sent(start, path, monkeypatch):
    vm, _, target = start(run_at_once)
    connect = vm.context.pool.connect

    def connect_late(key, address):
        vm.dispatcher.stop_at = vm.clock.now() + SLOW_MS
        return connect(key, address)

    vm.context.pool.connect = connect_late
    with vm.connect() as peer:
        peer.sendall(request_bytes(path=path))
        status, body = response_of(peer)
    assert status.split()[1] == b"503"
    assert json.loads(body)["error"] == "this VM is stopping"
    assert not target.requests


def test_a_stream_that_cannot_be_finished_is_broken_off(start):
    def run(exchange):
        exchange.start()
        exchange.send_event(1)
        task.sleep(SLOW_MS)

    vm, role, _ = start(run)
    with vm.connect() as peer:
        peer.sendall(request_bytes())
        assert b"id: 1" in peer.recv(READ_BYTES) + peer.recv(READ_BYTES)
        role.stop(vm.clock.now())
        assert b"0\r\n\r\n" not in read_stream(peer)
    assert not vm.node.calls


@pytest.fixture
def vm():
    """Return an entry VM without network that takes no more requests."""
    harness = EntryHarness()
    harness.add_target("a")
    harness.add_target("b")
    harness.dispatcher.stop_at = harness.clock.now() + 1000
    return harness


def test_a_call_that_waited_is_refused_and_has_not_run(vm):
    (response,), progress = vm.serve(vm.make_call(ONCE), ok())
    assert isinstance(response, ErrorResponse)
    assert (response.status, response.reason) == (503, "this VM is stopping")
    assert response.retry_after_ms <= 10
    assert not progress.sends


def test_a_call_that_waits_for_a_target_is_refused_once_the_vm_refuses():
    harness = EntryHarness()
    harness.restart()

    def sleep(ms):
        harness.clock.advance(ms)
        harness.dispatcher.stop_at = harness.clock.now() + 1000

    harness.dispatcher.sleep = sleep
    started_at = harness.clock.now()
    (response,), _ = harness.serve(harness.make_call(), ok())
    assert (response.status, response.reason) == (503, "this VM is stopping")
    assert harness.clock.now() - started_at < 100


@pytest.mark.parametrize(("left_ms", "sends"), [(1000, 2), (400, 1)])
def test_a_call_is_sent_again_only_if_there_is_time_for_its_response(
    vm, left_ms, sends
):
    call = vm.make_call()
    assert call.route.slo_ms == 500
    vm.dispatcher.stop_at = None

    def fail_while_stopping():
        vm.dispatcher.stop_at = vm.clock.now() + left_ms
        yield ExchangeError("the connection broke")

    parts, progress = vm.serve(call, fail_while_stopping(), ok("b"))
    assert progress.sends == sends
    assert parts == ok("b") if sends == 2 else parts[0].status == 502


def test_a_refusal_of_a_call_that_reached_nothing_says_so(vm):
    vm.dispatcher.stop_at = None

    def fail_while_stopping():
        vm.dispatcher.stop_at = vm.clock.now() + 400
        yield ConnectError("can't connect")

    (response,), _ = vm.serve(vm.make_call(ONCE), fail_while_stopping())
    assert response.status == 503


def test_a_hop_of_which_the_body_comes_after_the_signal_goes_to_another_vm(start):
    vm, _, target = start(run_at_once)
    vm.node.stopping = False
    app = make_app(HopsApi(vm.node).handle, is_refusing=lambda: vm.node.stopping)
    address = (vm.address[0], vm.address[1] + 1)
    server = WebServer("{}:{}".format(*address), app)
    hop = encode_hop(vm.make_call(ONCE), 5000, 1)
    request = request_bytes(body=BODY, headers=[f"{HOP_REQUEST}: {hop[1]}"])
    vm.address = address
    with contextlib.closing(server), vm.connect() as peer:
        peer.sendall(request[:-10])
        wait_until(lambda: server.active)
        vm.node.stopping = True
        peer.sendall(request[-10:])
        head = peer.recv(READ_BYTES).partition(b"\r\n\r\n")[0]
    assert HOP_NOT_READY.encode() in head
    with pytest.raises(PeerNotReadyError):
        raise_if_refused(parse_head(head))
    assert not target.requests


# Both interfaces read bodies and end requests in this server.
@pytest.mark.parametrize("is_read", [True, False])
def test_a_server_answers_the_requests_that_it_ends(network, is_read):
    def handle(request):
        body = request.read(100) if not is_read else b""
        if not isinstance(body, bytes):
            return refusal_reply(body)
        task.sleep(SLOW_MS)
        return json_reply({})

    server = WebServer(f"127.{network}.7.3:7300", make_app(handle))
    vm = types.SimpleNamespace(address=(f"127.{network}.7.3", 7300))
    with contextlib.closing(server), SocketEntry.connect(vm) as peer:
        peer.sendall(request_bytes(body=BODY)[:-10])
        wait_until(lambda: server.active)
        assert server.refuse_unread() == (not is_read)
        assert server.end_running() == is_read
        status, body = response_of(peer)
    code = json.loads(body)["error"]["code"]
    assert code == ("outcome_unknown" if is_read else "stopping")
    assert status.split()[1] == (b"502" if is_read else b"503")
