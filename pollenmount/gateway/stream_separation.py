"""Keeps long streams and long prompts on different targets where streams stall.

While an engine reads a long prompt, each of its streams waits a chunk of the prompt
longer for each token. Where that makes pauses longer than a route allows, or is going
to, the streams of a region are kept on as few targets as they need, and long prompts on
the others.
All VMs rank the targets alike and see the same number of streams, so that they divide
them alike without asking each other.
"""

import collections
import math
import zlib
from typing import NamedTuple

from pollenmount.fleet.targets import DEFAULT_SLOTS
from pollenmount.gateway.choose import PREFILL_TOKENS_PER_MS

__all__ = ["StreamSeparation"]

# Stalls of this many streams within the window begin a separation.
MIN_STALLS = 2
STALL_WINDOW_MS = 5000
# It goes on for as long after the last stall: the load that caused it may come back.
SEPARATION_MS = 30_000
# With fewer targets, one group or the other would often have none with room.
MIN_TARGETS = 4
# Pending prefill that takes this share of the permitted pause will stall streams.
STALLING_SHARE = 0.5
# Share of a target's slots that is filled with streams, and the share of streams that
# may begin before others hear of them.
STREAM_SLOT_SHARE = 0.7
STREAM_GROWTH_SHARE = 0.15
# Share of the targets that is left to long prompts, however many streams there are.
MIN_PROMPT_SHARE = 0.25
# A target is given back to long prompts once it was not needed for a whole stream.
KEEP_MS = 3000
# If all targets for long prompts have as many tokens to read, others read some, too.
MAX_PENDING_TOKENS = 60_000


class Group(NamedTuple):
    """The number of targets that streams have, and since when fewer would do."""

    size: int
    needed_at: int


class StreamSeparation:
    """Divides the targets of each service in this region.

    `load_at` returns the `TargetLoad` of all VMs together on a target.
    """

    def __init__(self, clock, load_at):
        self.clock = clock
        self.load_at = load_at
        self.stalls = collections.defaultdict(collections.deque)
        self.separated_until = {}
        self.groups = {}

    def record_gap(self, call, gap_ms):
        """Record the time between two chunks of a stream of a target here."""
        limit_ms = call.route.max_gap_ms
        if not 0 < limit_ms < gap_ms:
            return
        now = self.clock.now()
        stalls = self.stalls[call.service]
        stalls.append(now)
        while stalls[0] <= now - STALL_WINDOW_MS:
            stalls.popleft()
        if len(stalls) >= MIN_STALLS or self.is_active(call.service):
            self.separated_until[call.service] = now + SEPARATION_MS
            stalls.clear()

    def is_active(self, service):
        """Return whether the targets of a service are divided now."""
        return self.clock.now() < self.separated_until.get(service, 0)

    def expect_stalls(self, service, max_gap_ms, targets):
        """Begin a separation if a target with streams has much to read.

        All VMs see that, also those that have too few streams to see stalls.
        """
        if max_gap_ms <= 0 or self.is_active(service):
            return
        limit = STALLING_SHARE * max_gap_ms * PREFILL_TOKENS_PER_MS
        loads = (self.load_at(id_) for id_ in targets)
        if any(load.streams and load.tokens > limit for load in loads):
            self.separated_until[service] = self.clock.now() + SEPARATION_MS

    def select(self, service, is_long_stream, targets):
        """Return the targets, by id, that a request may be sent to."""
        if len(targets) < MIN_TARGETS or not self.is_active(service):
            return targets
        ranked = sorted(targets, key=lambda id_: zlib.crc32(id_.encode()))
        size = self.group_size(service, ranked, targets)
        if is_long_stream:
            return {id_: targets[id_] for id_ in ranked[:size]}
        others = ranked[size:]
        if min(self.load_at(id_).tokens for id_ in others) > MAX_PENDING_TOKENS:
            return targets
        return {id_: targets[id_] for id_ in others}

    def group_size(self, service, ranked, targets):
        """Return how many of the ranked targets streams have."""
        needed = self.needed_size(ranked, targets)
        now = self.clock.now()
        group = self.groups.get(service)
        if group and needed < group.size and now - group.needed_at < KEEP_MS:
            needed = group.size
        else:
            self.groups[service] = Group(needed, now)
        most = len(ranked) - math.ceil(MIN_PROMPT_SHARE * len(ranked))
        return min(most, needed)

    def needed_size(self, ranked, targets):
        """Return how many of the ranked targets hold all streams of the region."""
        streams = sum(self.load_at(id_).streams for id_ in ranked)
        left = streams * (1 + STREAM_GROWTH_SHARE) + 1
        for size, id_ in enumerate(ranked, start=1):
            slots = targets[id_].record.slots or DEFAULT_SLOTS
            left -= STREAM_SLOT_SHARE * slots
            if left <= 0:
                return size
        return len(ranked)
