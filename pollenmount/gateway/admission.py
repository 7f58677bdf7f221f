"""Refuses calls that cannot be served in time, before they take room at a target.

Where more arrives than the targets can take, the queues grow until all calls are late.
Refusing a part of the calls keeps the queues short enough for the others.
"""

from typing import NamedTuple

from pollenmount.gateway.choose import (
    HOP_COST_MS,
    PREFILL_TOKENS_PER_MS,
    RegionChoice,
    TargetChoice,
    has_capacity,
)
from pollenmount.gateway.choosers.expected_time import SLOT_WAIT_MS

__all__ = ["Admission", "Overload"]


# Refusals begin at a wait of this share of the objective and are sure at twice of it.
# Less urgent calls are refused earlier.
MOST_URGENT_SHARE = 0.5
PRIORITY_STEP_SHARE = 0.08
LEAST_URGENT = 2
# What counts of the queue in another region: its load may be a second old.
OLD_LOAD_SHARE = 0.5
BUSY, TOO_LATE = "the targets are overloaded", "it would miss its deadline"


class Overload(NamedTuple):
    """Why a call is refused, its expected wait, and after how long it may come again.

    Both times are in milliseconds.
    """

    reason: str
    wait_ms: float
    retry_after_ms: int


class Admission:
    """Decides for plans with accounts; others admit all calls.

    `context` gives the options of a call, and what this VM knows of the load.
    """

    def __init__(self, context, clock):
        self.context = context
        self.clock = clock

    def check(self, call, progress, chosen):
        """Return the choice for a call that has not been sent, a better one if late.

        It is an `Overload` if the call is refused.
        """
        if not self.applies(call, chosen) or not self.may_be_late(call, chosen):
            return chosen
        targets = self.find_target_waits(call, progress)
        regions = self.find_region_waits(call, progress)
        shortest_ms = min([*targets.values(), *regions.values()], default=0.0)
        if self.misses_deadline(call, shortest_ms):
            return self.refuse(call, shortest_ms, TOO_LATE)
        share = refused_share(call.route, shortest_ms)
        if self.context.random.random() < share:
            return self.refuse(call, shortest_ms, BUSY)
        return self.find_better(call, chosen, targets) or chosen

    def applies(self, call, chosen):
        """Return whether this VM knows enough to refuse a call.

        A caller that takes a stream up has a part of it already.
        """
        return (
            self.context.store.has_accounts
            and call.info.prompt is not None
            and call.resume_after is None
            and isinstance(chosen, TargetChoice | RegionChoice)
            and not self.context.is_learning()
            and self.context.is_view_fresh()
        )

    def may_be_late(self, call, chosen):
        """Return whether a call may be refused, by the expected time of a choice."""
        expected = chosen.expected_ms
        is_late = refused_share(call.route, expected) > 0
        return is_late or self.misses_deadline(call, expected)

    def find_target_waits(self, call, progress):
        """Return the expected wait in ms by target here.

        Choosers compare only a few of the targets.
        """
        options = self.context.all_options(call, progress.tried, progress.version)
        return {o.id: queue_ms(o) for o in options if has_capacity(o)}

    def find_region_waits(self, call, progress):
        """Return the expected wait in ms by other region, with the way there."""
        options = self.context.find_remote_options(
            call, progress.tried, progress.version, True
        )
        return {o.region: HOP_COST_MS + OLD_LOAD_SHARE * queue_ms(o) for o in options}

    def find_better(self, call, chosen, waits):
        """Return a choice of a target that waits less than the chosen one, or None.

        It is drawn, so that VMs with the same view of the load spread their calls.
        """
        limit_ms = begin_ms(call.route)
        if not isinstance(chosen, TargetChoice):
            return None
        if waits.get(chosen.target_id, 0.0) <= limit_ms:
            return None
        better = [id_ for id_, wait_ms in waits.items() if wait_ms <= limit_ms]
        if not better:
            return None
        return self.context.choice_of(call, self.context.random.choice(better))

    def misses_deadline(self, call, wait):
        """Return whether a call that waits for `wait` ms begins after its deadline."""
        return self.clock.now() + wait > call.deadline

    def refuse(self, call, wait, reason):
        """Return the `Overload` of a call that is refused.

        Callers that come back while the overload lasts add to it. So they are told to
        wait as long as the queue is too long, and for the objective at least, at times
        that are spread over twice as long again, within a third of their time.
        """
        excess_ms = max(call.route.slo_ms, wait - begin_ms(call.route))
        latest_ms = min(3 * excess_ms, (call.deadline - self.clock.now()) / 3)
        earliest_ms = min(excess_ms, latest_ms / 2)
        drawn_ms = self.context.random.uniform(earliest_ms, latest_ms)
        return Overload(reason, wait, max(1, int(drawn_ms)))


def queue_ms(option):
    """Return how long a request is expected to wait in the queues of a target.

    Lags of earlier responses do not count: without calls there are no newer ones.
    """
    queued = max(0, option.requests + 1 - option.slots)
    slot_ms = SLOT_WAIT_MS * queued / max(1, option.slots)
    return option.prefill_tokens / PREFILL_TOKENS_PER_MS + slot_ms


def begin_ms(route):
    """Return the wait in ms at which calls of a route begin to be refused.

    It is 0 for a route without an objective.
    """
    steps = min(max(0, route.priority), LEAST_URGENT)
    return (MOST_URGENT_SHARE - steps * PRIORITY_STEP_SHARE) * max(0, route.slo_ms)


def refused_share(route, wait):
    """Return which share of the calls of a route is refused at an expected wait."""
    begin = begin_ms(route)
    return min(1.0, max(0.0, wait / begin - 1)) if begin else 0.0
