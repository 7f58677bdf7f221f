"""Refusals of a target for want of room, caused by all VMs together.

The pattern: the VMs of a region, each with its own view of the load, send more than a
target can take, in bursts. Its queue becomes shorter than it was. What it refuses in a
second must stay within what it names, and its slots must still be in use.
"""

import contextlib
import functools
import heapq
import itertools
import random

import pytest

from pollenmount.clock import ManualClock
from pollenmount.fleet.records import TargetLoad
from pollenmount.gateway.load import LoadTracker
from pollenmount.gateway.refusal_limits import (
    END_SPREAD_MS,
    NAMED_TTL_MS,
    WINDOW_MS,
    RefusalLimits,
    TargetRoom,
)

ID = "t"
SERVICE = "desk"
# One way between a VM and the target.
MAX_WAY_MS = 8
# VMs hear of each other's load in this interval, and up to this late.
REPORT_MS = 250
MAX_REPORT_DELAY_MS = 300
LONG_QUEUE = 12
SHORT_QUEUE = 2
# The bound on refusals begins this long after the limit is named.
SETTLE_MS = 5000
RUN_MS = 30_000
# What VMs send to a target at most, in requests for each slot.
MAX_REQUESTS_PER_SLOT = 3


class Target:
    """A target with a queue; `refused` are the times of refusals."""

    def __init__(self, model, slots):
        self.model = model
        self.slots = slots
        self.room = LONG_QUEUE
        self.running = 0
        self.queue = []
        self.refused = []
        self.served = 0

    def arrive(self, reply):
        """Begin, queue or refuse a request; `reply` gets whether it is refused."""
        if self.running < self.slots:
            self.begin(reply)
        elif len(self.queue) < self.room:
            self.queue.append(reply)
        else:
            self.refused.append(self.model.clock.now())
            reply(True)

    def begin(self, reply):
        """Run a request."""
        self.running += 1
        service_ms = self.model.random.expovariate(1 / self.model.service_ms)
        self.model.after(service_ms, self.end, reply)

    def end(self, reply):
        """End a request, and begin the next one."""
        self.running -= 1
        self.served += 1
        reply(False)
        if self.queue:
            self.begin(self.queue.pop(0))


class Vm:
    """An entry VM: its load, its limits, and its view of the load of all."""

    def __init__(self, model):
        self.model = model
        self.reported = {}
        self.loads = LoadTracker(lambda: self.reported)
        self.limits = RefusalLimits(model.clock, model.random.random)

    def call(self):
        """Send a request to the target if it may get one."""
        model = self.model
        if model.names is not None:
            self.limits.record_named(SERVICE, ID, model.names)
        requests = self.loads.total_at(ID).requests
        if requests >= MAX_REQUESTS_PER_SLOT * model.target.slots:
            return
        room = TargetRoom(model.target.slots, requests, len(model.vms))
        if not self.limits.may_send(SERVICE, ID, room):
            return
        attempt = contextlib.ExitStack()
        end_wait = attempt.enter_context(self.limits.track(SERVICE, ID, room))
        attempt.enter_context(self.loads.track(ID, 0))

        def receive(is_refused):
            end_wait(is_refused)
            attempt.close()

        def reply(is_refused):
            model.after(model.random.uniform(1, MAX_WAY_MS), receive, is_refused)

        model.after(model.random.uniform(1, MAX_WAY_MS), model.target.arrive, reply)


class Model:
    """VMs that share a target, on a clock of their own; `names` is its limit."""

    def __init__(self, entries, slots, calls_per_s, *, burst=1, service_ms=150, seed=1):
        self.clock = ManualClock(1_000_000)
        self.random = random.Random(seed)
        self.names = None
        self.service_ms = service_ms
        self.events = []
        self.order = itertools.count()
        self.target = Target(self, slots)
        self.vms = [Vm(self) for _ in range(entries)]
        self.burst = burst
        self.gap_ms = 1000 * burst * entries / calls_per_s
        for vm in self.vms:
            self.after(self.random.uniform(0, self.gap_ms), self.call, vm)
        self.after(0, self.report)

    def after(self, ms, function, *args):
        """Call a function later."""
        at = self.clock.now() + round(ms)
        heapq.heappush(self.events, (at, next(self.order), function, args))

    def call(self, vm):
        """Let a burst of calls arrive at a VM, and the next one later."""
        for _ in range(self.burst):
            vm.call()
        self.after(self.random.expovariate(1 / self.gap_ms), self.call, vm)

    def report(self):
        """Bring the load of all VMs to all a little later."""
        reports = [vm.loads.report() for vm in self.vms]
        total = sum(load.requests for loads in reports for load in loads)
        for vm in self.vms:
            delay_ms = self.random.uniform(0, MAX_REPORT_DELAY_MS)
            self.after(delay_ms, self.bring, vm, {ID: TargetLoad(ID, total, 0, 0)})
        self.after(REPORT_MS, self.report)

    def bring(self, vm, reported):
        """Replace the view of a VM."""
        vm.reported = reported

    def run(self, ms):
        """Run for a while."""
        end = self.clock.now() + ms
        while self.events and self.events[0][0] <= end:
            at, _, function, args = heapq.heappop(self.events)
            self.clock.advance(at - self.clock.now())
            function(*args)
        self.clock.advance(end - self.clock.now())

    def shrink(self, per_s, is_limited=True):
        """Let the queue shrink as the target names a limit; run on.

        Return (most refusals in a second, share of the slots in use).
        """
        self.run(SETTLE_MS)
        self.names = per_s if is_limited else None
        self.run(SETTLE_MS)
        self.target.room = SHORT_QUEUE
        self.target.refused.clear()
        self.target.served = 0
        self.run(RUN_MS)
        used = self.target.served * self.service_ms / (self.target.slots * RUN_MS)
        return most_in_window(self.target.refused), used


def most_in_window(times):
    """Return the most of the sorted times in any `WINDOW_MS`."""
    most = first = 0
    for index, at in enumerate(times):
        while at - times[first] >= WINDOW_MS:
            first += 1
        most = max(most, index + 1 - first)
    return most


CASES = [
    # entries, slots, refusals a second that the target bears, overload, burst, ms
    (3, 6, 8, 2.0, 10, 150),
    (3, 16, 8, 2.0, 5, 150),
    (3, 6, 8, 0.7, 4, 150),
    (9, 6, 6, 2.0, 1, 150),
    (6, 128, 8, 1.3, 10, 1000),
    (60, 6, 8, 2.0, 1, 1000),
]


def make_model(case, seed):
    """Return a `Model` of a case."""
    entries, slots, _, overload, burst, service_ms = case
    calls_per_s = overload * slots * 1000 / service_ms
    return Model(
        entries, slots, calls_per_s, burst=burst, service_ms=service_ms, seed=seed
    )


# VMs send together to a target whose queue has become shorter, until it fails.
@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("case", CASES, ids=str)
def test_all_vms_together_cause_no_more_refusals_than_a_target_bears(case, seed):
    per_s = case[2]
    unlimited, use_without = make_model(case, seed).shrink(per_s, is_limited=False)
    refused, use = make_model(case, seed).shrink(per_s)
    assert unlimited > per_s
    assert refused <= per_s
    assert use >= use_without / 2


@pytest.fixture
def clock():
    return ManualClock(1_000_000)


@pytest.fixture
def limits(clock):
    return RefusalLimits(clock, lambda: 0.5)


def send(limits, room, count=1):
    """Send to a target as often as it may be; return a function for each response."""
    ends = []
    for _ in range(count):
        if limits.may_send(SERVICE, ID, room):
            tracked = contextlib.ExitStack()
            end_wait = tracked.enter_context(limits.track(SERVICE, ID, room))
            ends.append(functools.partial(end, tracked, end_wait))
    return ends


def end(tracked, end_wait, is_refused):
    """End an attempt with the head of a response."""
    with tracked:
        end_wait(is_refused)


# A target is held back though it names nothing.
def test_without_a_limit_nothing_is_held_back(limits):
    for end in send(limits, TargetRoom(6, 6, 3), 20):
        end(True)
    assert len(send(limits, TargetRoom(6, 6, 3), 20)) == 20


# A burst on the way is refused as a whole, before the first refusal is known.
def test_a_burst_at_a_target_that_seems_full_stays_within_the_share(limits):
    limits.record_named(SERVICE, ID, 8)
    assert len(send(limits, TargetRoom(6, 6, 3), 20)) == 2


# Each refusal makes room for the next one in the same second.
def test_a_refusal_counts_for_a_second(limits, clock):
    limits.record_named(SERVICE, ID, 8)
    for end in send(limits, TargetRoom(6, 6, 3), 20):
        end(True)
    clock.advance(WINDOW_MS - 1)
    assert len(send(limits, TargetRoom(6, 6, 3), 20)) == 0
    clock.advance(1)
    assert len(send(limits, TargetRoom(6, 6, 3), 20)) == 2


# A target that takes its requests is used no more than one that refuses them.
def test_a_request_that_was_taken_counts_no_more(limits):
    limits.record_named(SERVICE, ID, 8)
    for _ in range(20):
        (end,) = send(limits, TargetRoom(6, 6, 3))
        end(False)


# An attempt that fails without a response counts against its target for good.
def test_an_attempt_that_ends_without_a_response_counts_no_more(limits):
    limits.record_named(SERVICE, ID, 3)
    room = TargetRoom(6, 6, 3)
    for _ in range(20):
        assert limits.may_send(SERVICE, ID, room)
        with limits.track(SERVICE, ID, room):
            assert not limits.may_send(SERVICE, ID, room)


# The free slots of a target that names a limit stay empty.
@pytest.mark.parametrize("per_s", [0.0, 2.0, 8.0])
def test_a_target_with_free_slots_is_not_held_back(limits, per_s):
    limits.record_named(SERVICE, ID, per_s)
    assert len(send(limits, TargetRoom(128, 40, 60), 50)) == 50


# Many VMs that may cause a refusal each cause them in the same second, or none sends.
def test_a_share_under_one_is_a_request_once_in_a_while(limits, clock):
    limits.record_named(SERVICE, ID, 2)
    room = TargetRoom(6, 6, 10)
    sent_at = []
    for _ in range(1000):
        clock.advance(100)
        limits.record_named(SERVICE, ID, 2)
        for end in send(limits, room):
            sent_at.append(clock.now())
            end(True)
    gaps = {b - a for a, b in itertools.pairwise(sent_at)}
    assert len(sent_at) == 10
    assert gaps == {10_000}


# The load is known late: a target that refused at a lower one is full at that one.
def test_a_target_is_full_at_the_load_at_which_it_refused(limits, clock):
    limits.record_named(SERVICE, ID, 3)
    (end,) = send(limits, TargetRoom(128, 20, 3))
    end(True)
    assert not send(limits, TargetRoom(128, 20, 3), 20)
    assert len(send(limits, TargetRoom(128, 19, 3), 20)) == 20
    clock.advance(WINDOW_MS)
    assert len(send(limits, TargetRoom(128, 20, 3), 20)) == 20


# A target that was not heard since the others named a limit gets requests without one.
def test_the_limit_holds_for_all_targets_of_the_service_and_no_other(limits):
    limits.record_named(SERVICE, "a", 8)
    limits.record_named(SERVICE, "b", 5)
    assert limits.limit_of(SERVICE, "a") == 8
    assert limits.limit_of(SERVICE, "new") == 5
    assert limits.limit_of("other", "a") is None


# Responses overtake each other, and one target may begin or end before the others.
def test_a_limit_ends_with_a_response_to_a_later_request(limits, clock):
    limits.record_named(SERVICE, "a", 8)
    limits.record_named(SERVICE, "b", 8)
    limits.record_unnamed(SERVICE, "a", clock.now())
    limits.record_unnamed(SERVICE, "new", clock.now() + 1)
    assert limits.limit_of(SERVICE, "a") == 8
    limits.record_unnamed(SERVICE, "a", clock.now() + 1)
    assert limits.limit_of(SERVICE, "a") == 8
    clock.advance(END_SPREAD_MS)
    limits.record_named(SERVICE, "a", 8)
    limits.record_unnamed(SERVICE, "a", clock.now() + 1)
    assert limits.limit_of(SERVICE, "b") is None


# A limit that nobody names any more holds a service back for good.
def test_a_limit_that_is_not_named_any_more_lapses(limits, clock):
    limits.record_named(SERVICE, ID, 8)
    clock.advance(NAMED_TTL_MS - 1)
    assert limits.limit_of(SERVICE, ID) == 8
    clock.advance(1)
    assert limits.limit_of(SERVICE, ID) is None


# Targets come and go for days: what is kept of them has to go as well.
def test_nothing_is_kept_of_targets_that_have_left(limits):
    for number in range(100):
        limits.record_named(SERVICE, f"t{number}", 8)
        limits.may_send(SERVICE, f"t{number}", TargetRoom(6, 6, 3))
        limits.forget(f"t{number - 1}")
    assert [*limits.named[SERVICE]] == ["t99"]
    assert [*limits.targets[SERVICE]] == ["t99"]
