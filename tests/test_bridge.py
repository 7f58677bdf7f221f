"""Calls between nodes over gRPC: failures give typed errors before the deadline."""

import threading
from typing import NamedTuple

import grpc
import pytest
from result import Err, Ok

from pollenmount import task
from pollenmount.bridge import control
from pollenmount.bridge.control import ControlClient, ControlServer, register_call
from pollenmount.bridge.loop_executor import LoopExecutor
from pollenmount.errors import ListenError
from standins.relay import Relay

KEY = "a key of sixteen characters"
TIMEOUT_MS = 5000
CALL_TIMEOUT_MS = 1000
# `sync_s` of the users' deployments: until then a VM that is back counts as lost.
RETURN_BOUND_MS = 4000
# Three times 55 ms one way: SYN, its acknowledgement, the first bytes.
FIRST_BYTES_DELAY_S = 0.165


class Echo(NamedTuple):
    """Call that `handle_echo` answers; some texts make it fail or sleep."""

    text: str


class EchoReply(NamedTuple):
    """Reply to `Echo`: the same text."""

    text: str


class UnhandledCall(NamedTuple):
    """Call without a handler on the server."""

    text: str


register_call(Echo, EchoReply)
register_call(UnhandledCall, EchoReply)


def handle_echo(request):
    if request.text == "fail":
        raise KeyError("an error in the handler")
    if request.text == "sleep":
        task.sleep(60_000)
    if request.text == "other":
        return 5
    return EchoReply(request.text)


@pytest.fixture
def loop_executor():
    executor = LoopExecutor()
    yield executor
    executor.close()


@pytest.fixture
def address(loop_executor, network):
    address = f"127.{network}.9.2:7200"
    server = ControlServer(loop_executor, address, KEY, {Echo: handle_echo})
    yield address
    server.close()


@pytest.fixture
def client(loop_executor):
    control_client = ControlClient(loop_executor, KEY)
    yield control_client
    control_client.close()


def test_concurrent_calls_get_their_own_replies(address, client):
    replies = {}

    def call(number):
        replies[number] = client.call(address, Echo(str(number)), TIMEOUT_MS)

    greenlets = [task.spawn(call, number) for number in range(300)]
    for greenlet in greenlets:
        greenlet.wait()
    assert replies == {number: Ok(EchoReply(str(number))) for number in range(300)}


@pytest.mark.parametrize(
    ("request_", "problem", "sent"),
    [
        (Echo("fail"), "INTERNAL", True),
        (Echo("other"), "unreadable reply", True),
        (UnhandledCall("x"), "UNIMPLEMENTED", False),
    ],
)
def test_errors_are_typed_and_the_next_call_is_served(
    address, client, request_, problem, sent
):
    error = client.call(address, request_, TIMEOUT_MS).err_value
    assert (error.problem, error.sent) == (problem, sent)
    assert client.call(address, Echo("x"), TIMEOUT_MS) == Ok(EchoReply("x"))


def test_wrong_key_is_refused_as_not_sent(address, loop_executor):
    other_client = ControlClient(loop_executor, "another key of sixteen")
    error = other_client.call(address, Echo("x"), TIMEOUT_MS).err_value
    assert (error.problem, error.sent) == ("UNAUTHENTICATED", False)
    other_client.close()


def test_message_over_the_limit_is_an_error(address, client):
    data = "x" * (control.MAX_MESSAGE_BYTES + 1)
    error = client.call(address, Echo(data), TIMEOUT_MS).err_value
    assert error.problem == "RESOURCE_EXHAUSTED"


def test_unreadable_message_is_refused(address):
    with grpc.insecure_channel(address) as channel:
        invoke = channel.unary_unary(f"/{control.SERVICE}/Echo")
        future = invoke.future(b"\xc1", metadata=((control.KEY_HEADER, KEY),))
        while not future.done():
            task.sleep(5)
        assert future.code() is grpc.StatusCode.INVALID_ARGUMENT


def test_calls_to_slow_handlers_and_dead_peers_end_by_the_deadline(
    address, client, network
):
    error = client.call(address, Echo("sleep"), 200).err_value
    assert (error.problem, error.sent) == ("DEADLINE_EXCEEDED", True)
    error = client.call(f"127.{network}.9.3:7200", Echo("x"), 200).err_value
    assert error.problem in ("DEADLINE_EXCEEDED", "UNAVAILABLE")
    assert client.call(address, Echo("x"), TIMEOUT_MS) == Ok(EchoReply("x"))


@pytest.fixture
def relay(address, network):
    opened = Relay(f"127.{network}.9.4:7200", address)
    yield opened
    opened.close()


def call_until_answered(client, address, bound_ms):
    """Return the milliseconds until a call is answered; fail after `bound_ms`."""
    started_at = client.clock.now()
    while client.clock.now() - started_at < bound_ms:
        if isinstance(client.call(address, Echo("x"), CALL_TIMEOUT_MS), Ok):
            return client.clock.now() - started_at
        task.sleep(20)
    raise AssertionError(f"no call was answered within {bound_ms} ms")


# A leader did not reach a replica whose VM had lost power and was back: its connection
# was dead without a reset.
def test_a_silent_connection_is_replaced_before_the_vm_counts_as_back(
    relay, client, network
):
    relayed = f"127.{network}.9.4:7200"
    assert client.call(relayed, Echo("x"), TIMEOUT_MS) == Ok(EchoReply("x"))
    relay.silence_open_connections()
    call_until_answered(client, relayed, RETURN_BOUND_MS)


# A new connection between regions was given up before the peer's first bytes arrived.
def test_the_first_call_to_another_region_is_answered(relay, client, network):
    relay.set_direction("out", delay_s=FIRST_BYTES_DELAY_S)
    relayed = f"127.{network}.9.4:7200"
    reply = client.call(relayed, Echo("x"), CALL_TIMEOUT_MS)
    assert reply == Ok(EchoReply("x"))


class HungChannel:
    """A channel whose calls never end."""

    def start_call(self, path, data, timeout_s, metadata):
        return self

    def record_silence(self):
        return False

    def add_done_callback(self, callback):
        """Ignore the callback, as the call never ends."""

    def cancel(self):
        self.cancelled = True

    def close(self):
        """Do nothing."""


def test_deadline_holds_even_if_grpc_does_not_end_a_call(client):
    client.channels["x"] = hung_channel = HungChannel()
    assert isinstance(client.call("x", Echo("x"), 1), Err)
    assert hung_channel.cancelled


def test_loop_executor_runs_all_calls_of_many_threads(loop_executor):
    ran = []

    def post(thread):
        for number in range(2000):
            loop_executor.post(ran.append, (thread, number))

    threads = [threading.Thread(target=post, args=(n,)) for n in range(8)]
    for thread in threads:
        thread.start()
    while len(ran) < 16_000:
        task.sleep(5)
    for number in range(8):
        assert [n for thread, n in ran if thread == number] == [*range(2000)]


def test_an_address_in_use_raises_a_listen_error(address, loop_executor):
    with pytest.raises(ListenError, match=f"can't listen on {address}"):
        ControlServer(loop_executor, address, KEY, {})


def test_closing_does_not_wait_for_a_handler(loop_executor, network):
    address = f"127.{network}.9.2:7201"
    server = ControlServer(loop_executor, address, KEY, {Echo: handle_echo})
    client = ControlClient(loop_executor, KEY)
    task.spawn(client.call, address, Echo("sleep"), 2000)
    task.sleep(200)
    with task.Timeout(20):
        server.close()
        client.close()
    loop_executor.post(print)
