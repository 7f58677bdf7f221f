"""Which shared parts of prompts a target has read lately, as far as this VM knows."""

import collections
import hashlib

__all__ = ["PrefixCacheTracker", "rank_by_affinity"]

RETENTION_MS = 30_000
MAX_PARTS_PER_TARGET = 4096


class PrefixCacheTracker:
    """Parts sent to each target, newest last; old ones are taken as evicted."""

    def __init__(self, clock):
        self.clock = clock
        self.by_target = {}

    def record(self, id_, prompt):
        """Remember that a target has read a prompt."""
        parts = self.by_target.setdefault(id_, collections.OrderedDict())
        now = self.clock.now()
        for part in prompt.parts:
            parts[prompt.model, part.id] = now
            parts.move_to_end((prompt.model, part.id))
        while len(parts) > MAX_PARTS_PER_TARGET:
            parts.popitem(last=False)

    def cached_tokens(self, id_, prompt):
        """Return how many tokens at the prompt's start the target need not read."""
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
        """Forget a target that has lost its memory."""
        self.by_target.pop(id_, None)


def shared_parts(prompt):
    """Return the parts that other prompts share: all but the request's own last."""
    return prompt.parts[:-1]


def rank_by_affinity(prompt, ids):
    """Return the targets that every VM picks for the shared parts, best first.

    The order is that of a rendezvous hash, so that it needs no agreement.
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
