"""Reservations end with their attempt, long time-outs with their exchange."""

import contextlib
import socket

import pytest

from pollenmount.gateway.call import ResponseHead
from pollenmount.gateway.progress import Progress
from pollenmount.retry_budget import RetryBudget
from pollenmount.routes.plan import RetryMode
from pollenmount.wire.connection import TCP_USER_TIMEOUT_MS, Connection
from pollenmount.wire.errors import ExchangeError, PeerUnreachableError
from pollenmount.wire.pool import ConnectionPool
from tests.gateway_harness import EntryHarness, make_route

RESUMABLE = make_route(RetryMode.STREAM, resumable=True)
STALL_MS = 2000
HEAD = ResponseHead(200, (), "a", "west")


class StallingSender:
    """Stalls, then yields or raises what it is given."""

    def __init__(self, budget, *parts):
        self.budget, self.parts, self.reserved = budget, parts, []

    def run(self, attempt):
        attempt.observer.may_abandon(STALL_MS)
        self.reserved.append(self.budget.reserved["desk"])
        for part in self.parts:
            if isinstance(part, Exception):
                raise part
            attempt.observer.on_chunk()
            self.reserved.append(self.budget.reserved["desk"])
            yield part


def start(*parts):
    """Return (harness, sender, response) of a call whose first attempt stalls."""
    harness = EntryHarness()
    for name in ("a", "b"):
        harness.add_target(name)
    harness.update_capacities()
    sender = harness.dispatcher.sender = StallingSender(harness.budget, *parts)
    call = harness.make_call(RESUMABLE)
    return harness, sender, harness.dispatcher.serve(call, Progress(call))


# Guards against reservations that are never released, until no attempt is given up.
def test_a_chunk_frees_the_reservation_of_a_stalled_attempt():
    _, sender, response = start(HEAD, b"id: 1\n\n")
    next(response)
    assert sender.reserved == [1, 0]


@pytest.mark.parametrize("error", [PeerUnreachableError("x"), ExchangeError("y")])
def test_a_failed_attempt_frees_its_reservation(error):
    harness, sender, response = start(error)
    list(response)
    assert sender.reserved[0] == 1
    assert harness.budget.reserved["desk"] == 0


def user_timeout_ms(connection):
    return connection.socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)


@pytest.fixture
def connection():
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        ours = socket.create_connection(listener.getsockname())
        theirs, _ = listener.accept()
        with contextlib.closing(Connection(ours)), theirs:
            yield Connection(ours)


class Head:
    """Head of a response without headers."""

    def header(self, name):
        return ""


# Guards against idle connections that keep the long time-out of one slow response.
def test_an_idle_connection_has_the_short_time_out_again(connection):
    connection.extend_timeout(True, 5000)
    assert user_timeout_ms(connection) == TCP_USER_TIMEOUT_MS + 5000
    pool = ConnectionPool(EntryHarness().clock)
    pool.release("k", connection, Head())
    assert user_timeout_ms(connection) == TCP_USER_TIMEOUT_MS
    assert connection.may_abandon(0)


def test_the_short_time_out_returns_once_an_attempt_can_be_replaced(connection):
    answers = iter([False, True])
    connection.may_abandon = lambda stalled_ms: next(answers)
    with pytest.raises(TimeoutError):
        connection.receive_in_steps(1200)
    assert user_timeout_ms(connection) == TCP_USER_TIMEOUT_MS


def test_reservations_are_never_negative():
    budget = RetryBudget(EntryHarness().clock)
    assert budget.reserve("s")
    budget.release("s")
    assert budget.reserved["s"] == 0
