"""Attempts whose target or path falls silent: which of them are given up."""

import pytest

from pollenmount.gateway.call import ResponseHead
from pollenmount.gateway.progress import Progress
from pollenmount.gateway.retry_policy import RESERVE_AFTER_MS
from pollenmount.routes.plan import RetryMode
from pollenmount.wire.errors import PeerUnreachableError
from tests.gateway_harness import EntryHarness, make_route

ONCE = make_route(RetryMode.ONCE)
STREAM = make_route(RetryMode.STREAM)
RESUMABLE = make_route(RetryMode.STREAM, resumable=True)
HEAD = ResponseHead(200, (), "a", "west")
STALL_MS = RESERVE_AFTER_MS
# Retries that the harness's only entry VM may make in a window without requests.
ALLOWED_RETRIES = 43


@pytest.fixture
def harness():
    harness = EntryHarness()
    for name in ("a", "b"):
        harness.add_target(name)
    harness.update_capacities()
    return harness


def running(harness, route, last_id=None):
    """Return (call, progress) of a first attempt at target a that has begun."""
    call = harness.make_call(route)
    progress = Progress(call)
    progress.sends = 1
    progress.tried.add("a")
    if last_id is not None:
        progress.head, progress.last_id = HEAD, last_id
    return call, progress


def may_replace(harness, call, progress, stalled_ms=STALL_MS):
    return harness.dispatcher.may_replace_attempt(call, progress, True, stalled_ms)


# Guards against streams and answers ended because a path was silent for 2 s, though
# nothing else could complete them.
@pytest.mark.parametrize("stalled_ms", [500, STALL_MS])
@pytest.mark.parametrize(
    ("route", "last_id"), [(ONCE, None), (STREAM, None), (STREAM, 3)]
)
def test_what_cannot_be_repeated_is_waited_for(harness, route, last_id, stalled_ms):
    call, progress = running(harness, route, last_id)
    assert not may_replace(harness, call, progress, stalled_ms)


def test_the_last_attempt_of_a_route_is_waited_for(harness):
    route = make_route(RetryMode.STREAM, resumable=True, attempts=1)
    call, progress = running(harness, route, 3)
    assert not may_replace(harness, call, progress, 500)


def test_an_attempt_without_another_target_is_waited_for(harness):
    call, progress = running(harness, RESUMABLE, 3)
    progress.tried.add("b")
    assert not may_replace(harness, call, progress)


def test_a_resumable_stream_with_another_target_is_given_up(harness):
    call, progress = running(harness, RESUMABLE, 3)
    assert may_replace(harness, call, progress)
    # The retry that was reserved is the one that is made.
    error = PeerUnreachableError("silent")
    harness.dispatcher.retries.release(call, progress)
    assert harness.dispatcher.retries.reason_to_stop(call, progress, error) is None


# Guards against streams that break because all of them are given up at once, and the
# retry budget suffices for a part of them.
def test_no_more_attempts_are_given_up_at_once_than_may_be_retried(harness):
    stalled = [running(harness, RESUMABLE, 3) for _ in range(ALLOWED_RETRIES + 20)]
    given_up = [pair for pair in stalled if may_replace(harness, *pair)]
    assert len(given_up) == ALLOWED_RETRIES
    for call, progress in given_up:
        harness.dispatcher.retries.release(call, progress)
        error = PeerUnreachableError("silent")
        assert harness.dispatcher.retries.reason_to_stop(call, progress, error) is None
    harness.clock.advance(10_000)
    call, progress = running(harness, RESUMABLE, 3)
    assert may_replace(harness, call, progress)


def test_reservations_leave_the_budget_to_retries_that_are_made(harness):
    for _ in range(ALLOWED_RETRIES):
        assert may_replace(harness, *running(harness, RESUMABLE, 3))
    assert harness.budget.try_acquire("desk")


def test_a_stream_that_goes_on_frees_its_reservation(harness):
    pairs = [running(harness, RESUMABLE, 3) for _ in range(ALLOWED_RETRIES)]
    assert all(may_replace(harness, *pair) for pair in pairs)
    late = running(harness, RESUMABLE, 3)
    assert not may_replace(harness, *late)
    harness.dispatcher.retries.release(*pairs[0])
    assert may_replace(harness, *late)


def test_a_short_stall_reserves_nothing(harness):
    call, progress = running(harness, RESUMABLE, 3)
    assert may_replace(harness, call, progress, 500)
    assert not progress.retry_reserved


# Guards against a stream that is given up although other calls have used the budget.
def test_a_reservation_lasts_only_while_the_budget_covers_it(harness):
    call, progress = running(harness, RESUMABLE, 3)
    assert may_replace(harness, call, progress)
    while harness.budget.try_acquire("desk"):
        pass
    assert not may_replace(harness, call, progress)
    assert not progress.retry_reserved
    harness.clock.advance(10_000)
    assert may_replace(harness, *running(harness, RESUMABLE, 3))
