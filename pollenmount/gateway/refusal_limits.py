"""Limits how many requests a target has to refuse for want of room.

The pattern of load: all entry VMs of a region send to a target at once, each with a
view of its load that is up to half a second old. When its queue is shorter than
expected, what is on the way is refused together, and the requests that replace them
are as well. A target may fail under many refusals; it then names the most that it
bears in a second.

Each VM keeps to an equal share. A refusal counts for a second. So does a request that
was sent while the target seemed full, until its response begins. Other requests are
not held back. A target seems full

- if its known load takes all its slots, or as much as when it refused a request lately,
- or if it is about half full or more, and all slots would be in use if each other VM
  had sent as many requests as this one since it reported its load.

With a share under one, a VM sends a request to a target that seems full only once in a
while, at a time of its own, and remembers a refusal for that long. The target seems
full to each VM at a load of its own then, between half of the slots and all, as the
VMs would take the last free slots together otherwise.
"""

import contextlib
import random
from typing import NamedTuple

from pollenmount.log import get_logger

__all__ = ["NAMED_TTL_MS", "RefusalLimits", "TargetRoom", "ignore_head"]

MS_PER_S = 1000
# Targets that no response tells of any more need no limit here.
NAMED_TTL_MS = 30_000
# Targets of a service begin and end to name a limit at about the same time.
END_SPREAD_MS = 2000
WINDOW_MS = 1000
# A refusal that is late on its way was made in the window of earlier ones.
WAIT_MS = WINDOW_MS + 200
# What other VMs have sent in this time may not be known here.
VIEW_AGE_MS = 500
# Where less of the slots is in use, there is room for what is not known.
CLEAR_SHARE = 0.5
# Part of the other VMs that may begin to send at once.
CROWD_SHARE = 0.25
# The single requests of many VMs come at random times, sometimes several together.
PROBE_SHARE = 0.5
# Long for a target that is in need, and yet it is used again if the load isn't known.
MAX_PROBE_INTERVAL_MS = 120_000

logger = get_logger("targets")


class TargetRoom(NamedTuple):
    """Known room of a target: its slots, and the requests of all VMs.

    `sharers` is the number of entry VMs that send to it, this one included.
    """

    slots: int
    requests: int
    sharers: int


class NamedLimit(NamedTuple):
    """Refusals a second that a target bears, as it said last at `named_at`."""

    per_s: float
    named_at: int


class WaitingAttempt(NamedTuple):
    """An attempt at a target: when it began, at which load, and if it seemed full."""

    begun_at: int
    requests: int
    seemed_full: bool


class Refusal(NamedTuple):
    """A refusal, until when it counts, and the known load that its request met."""

    at: int
    until: float
    requests: int


class TargetState:
    """Attempts at a target whose response has not begun, and its recent refusals.

    `waiting` is by a number of the attempt. `drawn`, from 0 to 1, tells this VM from
    others, and `probe_at` is when a request may next be sent while the target seems
    full. Both are for a share under one.
    """

    def __init__(self, drawn, probe_at):
        self.drawn = drawn
        self.probe_at = probe_at
        self.waiting = {}
        self.refused = []

    def seems_full(self, room, share, now):
        """Return whether one more request might find no free slot."""
        self.refused = [refusal for refusal in self.refused if now < refusal.until]
        part = CLEAR_SHARE + (1 - CLEAR_SHARE) * self.drawn if share < 1 else 1
        known = (refusal.requests for refusal in self.refused)
        if room.requests >= min([part * room.slots, *known]):
            return True
        crowd = CROWD_SHARE * min(room.sharers, room.slots)
        if room.requests + crowd < CLEAR_SHARE * room.slots:
            return False
        recent = sum(
            now - attempt.begun_at < VIEW_AGE_MS for attempt in self.waiting.values()
        )
        return room.requests + (room.sharers - 1) * recent >= room.slots

    def count(self, now):
        """Return the refusals of the last second, and those that may still come."""
        waiting = sum(
            attempt.seemed_full and now - attempt.begun_at < WAIT_MS
            for attempt in self.waiting.values()
        )
        return waiting + sum(now - refusal.at < WINDOW_MS for refusal in self.refused)

    def record_refusal(self, attempt, share, now):
        """Count a refusal, and keep the load at which the attempt was made."""
        keep_ms = probe_interval_ms(share) if share < 1 else WINDOW_MS
        self.refused.append(Refusal(now, now + keep_ms, attempt.requests))
        self.probe_at = max(self.probe_at, now + keep_ms)


class RefusalLimits:
    """Limits by service and target, and what this VM has sent to each target.

    `draw` returns a random number from 0 to 1.
    """

    def __init__(self, clock, draw=random.random):
        self.clock = clock
        self.draw = draw
        self.named = {}
        self.targets = {}
        self.last_number = 0

    def record_named(self, service, id_, per_s, request=""):
        """Handle that a target names its limit; `request` is for the log."""
        limits = self.live_limits(service)
        if not limits:
            log_limit("targets name a refusal limit", service, id_, per_s, request)
        limits.pop(id_, None)
        limits[id_] = NamedLimit(per_s, self.clock.now())
        self.named[service] = limits

    def record_unnamed(self, service, id_, sent_at, request=""):
        """Handle a response without a limit to a request sent at `sent_at`.

        It ends the limit of a target that named one before that, and those that no
        other target has named for a while then.
        """
        limits = self.live_limits(service)
        known = limits.get(id_)
        if known is None or sent_at <= known.named_at:
            return
        latest_end = sent_at - END_SPREAD_MS
        self.named[service] = {
            key: limit
            for key, limit in limits.items()
            if key != id_ and limit.named_at > latest_end
        }
        if not self.named[service]:
            self.end(service, id_, request)

    def live_limits(self, service):
        """Return the limits of a service's targets, without those that have lapsed.

        They are in the order in which they were named last.
        """
        limits = self.named.get(service, {})
        oldest = self.clock.now() - NAMED_TTL_MS
        if limits and next(iter(limits.values())).named_at <= oldest:
            limits = {k: v for k, v in limits.items() if v.named_at > oldest}
            self.named[service] = limits
            if not limits:
                self.end(service)
        return limits

    def end(self, service, id_="", request=""):
        """Forget a service; without a target, it was not heard of for too long."""
        del self.named[service]
        self.targets.pop(service, None)
        log_limit("targets name no refusal limit", service, id_, None, request)

    def limit_of(self, service, id_):
        """Return the refusals a second that a target bears, None for any number.

        Targets of the service that have not been heard yet bear as many as any other.
        """
        limits = self.live_limits(service)
        if not limits:
            return None
        known = limits.get(id_)
        return known.per_s if known else min(v.per_s for v in limits.values())

    def may_send(self, service, id_, room):
        """Return whether a request may be sent to a target with a `TargetRoom` now."""
        per_s = self.limit_of(service, id_)
        if per_s is None:
            return True
        now = self.clock.now()
        share = per_s / room.sharers
        state = self.state_of(service, id_, share)
        if not state.seems_full(room, share, now):
            return True
        if share < 1:
            return now >= state.probe_at and not state.count(now)
        return state.count(now) + 1 <= share

    def state_of(self, service, id_, share):
        """Return the `TargetState` of a target, a new one for the first request.

        VMs that hear of a limit at the same time draw when each sends for the first
        time to a target that seems full.
        """
        states = self.targets.setdefault(service, {})
        if id_ not in states:
            wait_ms = self.draw() * probe_interval_ms(share)
            states[id_] = TargetState(self.draw(), self.clock.now() + wait_ms)
        return states[id_]

    @contextlib.contextmanager
    def track(self, service, id_, room):
        """Count an attempt; yield a function for the head of its response.

        It takes whether the target refused the request for want of room.
        """
        per_s = self.limit_of(service, id_)
        if per_s is None:
            yield ignore_head
            return
        now = self.clock.now()
        share = per_s / room.sharers
        state = self.state_of(service, id_, share)
        seemed_full = state.seems_full(room, share, now)
        if seemed_full:
            state.probe_at = now + probe_interval_ms(share)
        self.last_number += 1
        number = self.last_number
        attempt = WaitingAttempt(now, room.requests, seemed_full)
        state.waiting[number] = attempt

        def end_wait(is_refused):
            state.waiting.pop(number, None)
            if is_refused:
                state.record_refusal(attempt, share, self.clock.now())

        try:
            yield end_wait
        finally:
            state.waiting.pop(number, None)

    def forget(self, id_):
        """Drop the state of a target that has left.

        The last limit that is known of a service still holds for its other targets.
        """
        for states in self.targets.values():
            states.pop(id_, None)
        for limits in self.named.values():
            if len(limits) > 1:
                limits.pop(id_, None)


def probe_interval_ms(share):
    """Return the time between requests to a target that seems full.

    `share` is how many refusals a second this VM may cause.
    """
    if share * PROBE_SHARE * MAX_PROBE_INTERVAL_MS <= MS_PER_S:
        return MAX_PROBE_INTERVAL_MS
    return MS_PER_S / (PROBE_SHARE * share)


def ignore_head(is_refused):
    """Handle the head of a response of a target without a limit."""


def log_limit(message, service, id_, per_s, request):
    """Log that the targets of a service begin or end to name a limit."""
    logger.info(
        message,
        extra={"request": request, "service": service, "target": id_, "per_s": per_s},
    )
