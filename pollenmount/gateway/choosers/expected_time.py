"""Chooser `expected_time`: minimizes the expected time to the first byte.

Prefix affinity is bounded by load: the expected time of a target is that of its pending
prefill plus the prefill of this prompt, which is shorter where its parts are cached.
A request leaves the region if a remote target is expected to be faster even with the
cost of the hop.

Long streams are packed onto few targets, in an order that all VMs share, and prompts
with a long prefill go to the others: each chunk of a prefill delays all streams that
run on the engine.

The target of a long prompt is chosen late: a prompt that would keep an engine in
prefill for longer than its running streams tolerate is deferred, and then sent to
whichever target is free.
"""

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


@register(FAMILY, "expected_time")
class ExpectedTime(Chooser):
    """Picks the destination with the least expected time to the first byte."""

    def choose(self, options, prompt, slo_ms, cost_ms=HOP_COST_MS):
        """Return a `TargetChoice`, a `RegionChoice` or None."""
        local = best_choice(options.local, prompt)
        if local is not None and local.expected_ms <= LOCAL_SLO_SHARE * slo_ms:
            return local
        remote = best_region_choice(options.remote(), prompt, cost_ms)
        if local is None or remote is None:
            return local or remote
        if local.expected_ms <= remote.expected_ms + MIN_HOP_GAIN_MS:
            return local
        return remote


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


def best_region_choice(options, prompt, cost_ms):
    """Return the `RegionChoice` to the region with the least expected time, or None."""
    regions = {option.region for option in options}
    hops = []
    for region in sorted(regions):
        found = best_choice([o for o in options if o.region == region], prompt)
        if found is not None:
            hops.append(RegionChoice(region, found.expected_ms + cost_ms))
    return min(hops, key=lambda hop: hop.expected_ms, default=None)


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
