"""Estimates which prompt prefixes are in the prefix cache of each target.

A VM knows which parts it sent itself. What other VMs sent is estimated: a shared part
goes to the targets that are ranked first for it, alike on all VMs, and a part that this
VM has seen often lately has been sent by the others as often.
"""

import collections
import math

from pollenmount.rendezvous import top_by_rendezvous

__all__ = ["PrefixCacheTracker", "PromptSpread"]

RETENTION_MS = 30_000
MAX_PARTS_PER_TARGET = 4096
POPULARITY_WINDOW_MS = 4000
MAX_COUNTED_PARTS = 4096
# Assumed cached share of a prompt's shared parts on the first and second ranked target.
PREFERRED_CACHED_SHARES = (0.9, 0.5)


class PromptSpread:
    """How a prompt's shared parts are spread over the targets of a region.

    `preferred` has the targets that are ranked first for them, best first, and
    `popular_tokens` the tokens expected to be cached on any target.
    """

    def __init__(self, prompt, preferred, popular_tokens):
        self.shared_tokens = sum(part.tokens for part in shared_parts(prompt))
        self.preferred = preferred
        self.popular_tokens = popular_tokens

    def expected_tokens(self, id_):
        """Return how many tokens other VMs are expected to have had cached there."""
        if id_ not in self.preferred:
            return self.popular_tokens
        share = PREFERRED_CACHED_SHARES[self.preferred.index(id_)]
        return max(self.popular_tokens, share * self.shared_tokens)


class PrefixCacheTracker:
    """Prompt parts sent to each target, newest last; old ones are assumed evicted.

    `counts` has how often this VM sent each part lately, to any target.
    """

    def __init__(self, clock):
        self.clock = clock
        self.by_target = {}
        self.counts = RecentCounts(clock)

    def record(self, id_, prompt):
        """Record that a prompt was sent to a target."""
        parts = self.by_target.setdefault(id_, collections.OrderedDict())
        now = self.clock.now()
        for part in prompt.parts:
            parts[prompt.model, part.id] = now
            parts.move_to_end((prompt.model, part.id))
        while len(parts) > MAX_PARTS_PER_TARGET:
            parts.popitem(last=False)
        for part in shared_parts(prompt):
            self.counts.add((prompt.model, part.id))

    def cached_tokens(self, id_, prompt):
        """Return how many tokens of the prompt's prefix this VM had cached there."""
        parts = self.by_target.get(id_)
        if not parts:
            return 0
        oldest = self.clock.now() - RETENTION_MS
        tokens = 0
        for part in prompt.parts:
            if parts.get((prompt.model, part.id), oldest) <= oldest:
                break
            tokens += part.tokens
        return tokens

    def spread(self, prompt, ids, entries):
        """Return the `PromptSpread` of a prompt over targets that `entries` VMs use."""
        preferred = preferred_targets(prompt, ids)
        expected, cached_share = 0.0, 1.0
        for part in shared_parts(prompt):
            count = self.counts.get((prompt.model, part.id))
            sends_per_target = low_estimate(count) * entries / max(1, len(ids))
            cached_share *= 1 - math.exp(-sends_per_target)
            expected += cached_share * part.tokens
        return PromptSpread(prompt, preferred, expected)

    def forget(self, id_):
        """Drop the state of a target whose cache is lost or that has left."""
        self.by_target.pop(id_, None)


class RecentCounts:
    """Counts by key over one to two windows of `POPULARITY_WINDOW_MS`."""

    def __init__(self, clock):
        self.clock = clock
        self.started_at = clock.now()
        self.current = collections.Counter()
        self.previous = collections.Counter()

    def add(self, key):
        """Count a key; new keys are ignored while there are too many."""
        self.rotate()
        if key in self.current or len(self.current) < MAX_COUNTED_PARTS:
            self.current[key] += 1

    def get(self, key):
        """Return how often a key was counted lately."""
        self.rotate()
        return self.current[key] + self.previous[key]

    def rotate(self):
        """Start a new window if the current one is over."""
        age_ms = self.clock.now() - self.started_at
        if age_ms < POPULARITY_WINDOW_MS:
            return
        is_recent = age_ms < 2 * POPULARITY_WINDOW_MS
        self.previous = self.current if is_recent else collections.Counter()
        self.current = collections.Counter()
        self.started_at = self.clock.now()


def low_estimate(count):
    """Return a number of events that is expected to be exceeded, from a count of some.

    A few may be chance, and say nothing about what other VMs have seen.
    """
    return max(0.0, count - 1 - math.sqrt(count))


def shared_parts(prompt):
    """Return the parts that other prompts may share: all but the last."""
    return prompt.parts[:-1]


def preferred_targets(prompt, ids):
    """Return the targets ranked first for the prompt's shared parts, best first."""
    shared = shared_parts(prompt)
    if not shared:
        return []
    key = f"{prompt.model} {shared[-1].id}"
    return top_by_rendezvous(key, ids, len(PREFERRED_CACHED_SHARES))
