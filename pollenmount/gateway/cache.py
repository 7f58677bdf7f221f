"""Estimates which prompt prefixes are in the prefix cache of each target.

Only the requests of this VM are taken into account.
"""

import collections
import hashlib

__all__ = ["PrefixCacheTracker", "rank_by_affinity"]

RETENTION_MS = 30_000
MAX_PARTS_PER_TARGET = 4096


class PrefixCacheTracker:
    """Prompt parts sent to each target, newest last; old ones are assumed evicted."""

    def __init__(self, clock):
        self.clock = clock
        self.by_target = {}

    def record(self, id_, prompt):
        """Record that a prompt was sent to a target."""
        parts = self.by_target.setdefault(id_, collections.OrderedDict())
        now = self.clock.now()
        for part in prompt.parts:
            parts[prompt.model, part.id] = now
            parts.move_to_end((prompt.model, part.id))
        while len(parts) > MAX_PARTS_PER_TARGET:
            parts.popitem(last=False)

    def cached_tokens(self, id_, prompt):
        """Return how many tokens of the prompt's prefix the target has cached."""
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

    def forget(self, id_):
        """Drop the state of a target whose cache is lost or that has left."""
        self.by_target.pop(id_, None)


def shared_parts(prompt):
    """Return the parts that other prompts may share: all but the last."""
    return prompt.parts[:-1]


def rank_by_affinity(prompt, ids):
    """Return the targets ranked by affinity to the prompt's shared parts, best first.

    The order is a rendezvous hash, so that all VMs agree on it without coordination.
    """
    shared = shared_parts(prompt)
    if not shared:
        return []
    key = f"{prompt.model} {shared[-1].id}"
    return sorted(ids, key=lambda id_: rendezvous_weight(key, id_), reverse=True)


def rendezvous_weight(key, id_):
    """Return the rendezvous weight of a target for a key."""
    data = f"{key} {id_}".encode()
    return hashlib.blake2b(data, digest_size=8).digest()
