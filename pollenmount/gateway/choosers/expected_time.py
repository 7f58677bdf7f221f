"""Chooser `expected_time`: minimizes the expected time to the first byte.

Prefix affinity is bounded by load: the expected time of a target is that of its pending
prefill plus the prefill of this prompt, which is shorter where its parts are cached.
A request leaves the region if a remote target is expected to be faster even with the
cost of the hop. Where a plan calls for it, it is drawn which of the regions a request
goes to, or whether it stays.

Long streams are packed onto few targets, in an order that all VMs share, and prompts
with a long prefill go to the others: each chunk of a prefill delays all streams that
run on the engine.

The target of a long prompt is chosen late: a prompt that would keep an engine in
prefill for longer than its running streams tolerate is deferred, and then sent to
whichever target is free.
"""

import random
import zlib

from pollenmount.gateway.choose import (
    FAMILY,
    HOP_COST_MS,
    PREFILL_TOKENS_PER_MS,
    Chooser,
    RegionChoice,
    TargetChoice,
    has_capacity,
    is_long_stream,
)
from pollenmount.gateway.region_choice import (
    draw,
    find_room,
    mean_wait_ms,
    wait_ms,
)
from pollenmount.plugin import register

__all__ = ["ExpectedTime"]

# A running request lengthens each decode step of the engine.
RUNNING_REQUEST_MS = 1.0
EXCESS_REQUEST_MS = 10.0
# Weight of a millisecond of delay to another stream, relative to one to this request.
STREAM_STALL_WEIGHT = 0.05
# A few prefill chunks; a stream gets its next event after some of them.
MAX_PREFILL_TOKENS = 12_000
PACKED_SLOT_SHARE = 0.7
PACK_RANK_MS = 25.0
SLOT_WAIT_MS = 3000.0
FIRST_TOKEN_MS = 30.0
# Prefill of uncached tokens also delays the prompts queued behind it.
UNCACHED_WEIGHT = 4.0
PLAIN_CALL_MS = 45.0
NO_HEARTBEAT_PENALTY_MS = 400.0
MIN_HOP_GAIN_MS = 100.0
LOCAL_SLO_SHARE = 0.5
# Other regions have all of their room if requests wait less there by this share of the
# objective and the wait here. Where waits are alike, old rows don't tell which is less.
FULL_GAIN_SHARE = 0.25


@register(FAMILY, "expected_time")
class ExpectedTime(Chooser):
    """Picks the destination with the least expected time to the first byte."""

    def __init__(self):
        self.random = random.Random()

    def choose(self, options, prompt, slo_ms, cost_ms=HOP_COST_MS):
        """Return a `TargetChoice`, a `RegionChoice` or None."""
        local = best_choice(options.local, prompt)
        if local is not None and local.expected_ms <= LOCAL_SLO_SHARE * slo_ms:
            return local
        regions = {option.region: option for option in options.remote()}
        hops = [*region_choices(regions.values(), prompt, cost_ms)]
        if not hops:
            return local
        if not options.is_spread:
            return fastest_choice(local, hops)
        if local is None:
            rooms = {hop: find_room(regions[hop.region], slo_ms) for hop in hops}
        else:
            rooms = find_rooms(local, hops, options.home(), regions, slo_ms, cost_ms)
        return draw(rooms, self.random) or fastest_choice(local, hops)


def find_rooms(local, hops, home, regions, slo_ms, cost_ms):
    """Return the room for a choice of a target here, and for those of other regions.

    Other regions have some if requests wait longer here than a hop costs, and than on
    average there: compared one by one, the best of them would change with each row.
    """
    hop_ms = cost_ms + MIN_HOP_GAIN_MS
    home_wait_ms = wait_ms(home) if home is not None else 0.0
    if home_wait_ms <= hop_ms:
        return {local: 1.0}
    budget_ms = max(1, slo_ms + home_wait_ms)
    away = {hop: find_room(regions[hop.region], budget_ms, hop_ms) for hop in hops}
    gain = home_wait_ms - mean_wait_ms([regions[hop.region] for hop in hops])
    share = min(1.0, max(0.0, gain / (FULL_GAIN_SHARE * budget_ms)))
    return {
        local: find_room(home, budget_ms),
        **{hop: share * room for hop, room in away.items()},
    }


def fastest_choice(local, hops):
    """Return the hop with the least expected time, or `local` if it takes no longer."""
    fastest = min(hops, key=expected_time)
    if local is None or fastest.expected_ms + MIN_HOP_GAIN_MS < local.expected_ms:
        return fastest
    return local


def expected_time(choice):
    """Return the expected time in ms to the first byte of a choice."""
    return choice.expected_ms


def best_choice(options, prompt):
    """Return the `TargetChoice` with the least expected time, or None."""
    usable = [option for option in options if has_capacity(option)]
    if not usable:
        return None
    if prompt is not None and is_long_stream(prompt):
        return cheapest_choice(long_stream_costs(usable, prompt))
    chosen = cheapest_choice(other_costs(usable, prompt))
    option = next(option for option in usable if option.id == chosen.target_id)
    return chosen._replace(should_defer=would_stall_streams(option, prompt))


def cheapest_choice(costs):
    """Return the `TargetChoice` with the lowest cost, of costs in ms by target."""
    id_ = min(costs, key=lambda key: (costs[key], key))
    return TargetChoice(id_, costs[id_])


def would_stall_streams(option, prompt):
    """Return whether the prefill of a prompt would stall streams on a target now."""
    if prompt is None or not option.streams:
        return False
    return (
        option.prefill_tokens > 0
        and option.prefill_tokens + uncached_tokens(option, prompt) > MAX_PREFILL_TOKENS
    )


def long_stream_costs(options, prompt):
    """Return the costs in ms of a long stream by target.

    The targets ranked first are the cheapest until most of their slots are in use.
    """
    ranked = sorted(options, key=lambda option: zlib.crc32(option.id.encode()))
    costs = {}
    for rank, option in enumerate(ranked):
        excess = max(0, option.requests - PACKED_SLOT_SHARE * option.slots)
        cost = PACK_RANK_MS * rank + EXCESS_REQUEST_MS * excess
        costs[option.id] = cost + expected_ms(option, prompt)
    return costs


def other_costs(options, prompt):
    """Return the costs in ms of a request that is not a long stream, by target."""
    return {
        option.id: expected_ms(option, prompt) + stream_stall_ms(option, prompt)
        for option in options
    }


def stream_stall_ms(option, prompt):
    """Return the cost in ms of a prompt's prefill to the streams on a target."""
    if prompt is None:
        return 0.0
    uncached = uncached_tokens(option, prompt)
    return STREAM_STALL_WEIGHT * option.streams * uncached / PREFILL_TOKENS_PER_MS


def region_choices(options, prompt, cost_ms):
    """Yield the `RegionChoice` of each option at other VMs that has capacity."""
    for option in sorted(options):
        found = best_choice([option], prompt)
        if found is not None:
            hop_ms = min(cost_ms, option.hop_ms)
            yield RegionChoice(option.region, found.expected_ms + hop_ms)


def expected_ms(option, prompt):
    """Return the expected time in ms to the first byte of the response."""
    queued = max(0, option.requests + 1 - option.slots)
    penalty_ms = 0.0 if option.has_heartbeats else NO_HEARTBEAT_PENALTY_MS
    penalty_ms += option.lag_ms
    if prompt is None:
        load = option.requests / max(1, option.slots)
        return penalty_ms + PLAIN_CALL_MS * (load if queued else 0.2 * load)
    uncached = uncached_tokens(option, prompt)
    prefill_ms = (
        option.prefill_tokens + UNCACHED_WEIGHT * uncached
    ) / PREFILL_TOKENS_PER_MS
    running_ms = RUNNING_REQUEST_MS * min(option.requests, option.slots)
    slot_wait_ms = SLOT_WAIT_MS * queued / max(1, option.slots)
    return penalty_ms + FIRST_TOKEN_MS + prefill_ms + running_ms + slot_wait_ms


def uncached_tokens(option, prompt):
    """Return how many tokens of a prompt a target is expected to prefill."""
    return max(0.0, prompt.tokens - option.cached_tokens)
