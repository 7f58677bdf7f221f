"""Index of what targets hold in their prefix caches, fed by their cache events.

Events arrive late and with gaps. After a gap nothing is known of the target but what
later events say, until it sends a whole list.
"""

import msgspec

__all__ = ["CacheEvents", "CacheIndex"]

MAX_BLOCKS_PER_TARGET = 65_536


class CacheEvents(msgspec.Struct, frozen=True):
    """Changes of a target's prefix cache since its last announcement.

    `first` is the number of the first change; `stored` and `evicted` are block
    digests, evictions after the stores; `whole` says that `stored` is all it holds.
    """

    first: int
    stored: tuple[str, ...] = ()
    evicted: tuple[str, ...] = ()
    whole: bool = False


class HeldBlocks:
    """Blocks that one incarnation of a target holds."""

    __slots__ = ("blocks", "incarnation", "next_change")

    def __init__(self, incarnation, first):
        self.incarnation = incarnation
        self.next_change = first
        self.blocks = {}


class CacheIndex:
    """Block digests by target, each target's oldest forgotten first.

    `max_blocks`
        Blocks remembered of one target (default 65,536).
    """

    def __init__(self, max_blocks=MAX_BLOCKS_PER_TARGET):
        self.max_blocks = max_blocks
        self.by_target = {}

    def apply_events(self, name, incarnation, events):
        """Take in the events of an announcement; return whether some were missing."""
        held = self.by_target.get(name)
        gap = held is None or held.incarnation != incarnation
        gap = gap or events.first > held.next_change or events.whole
        if gap:
            held = self.by_target[name] = HeldBlocks(incarnation, events.first)
        elif events.first < held.next_change:
            return False
        held.next_change = events.first + len(events.stored) + len(events.evicted)
        for digest in events.stored:
            held.blocks.pop(digest, None)
            held.blocks[digest] = None
        for digest in events.evicted:
            held.blocks.pop(digest, None)
        while len(held.blocks) > self.max_blocks:
            del held.blocks[next(iter(held.blocks))]
        return gap and events.first > 0 and not events.whole

    def forget(self, name):
        """Forget a target that has gone."""
        self.by_target.pop(name, None)

    def cached_blocks(self, name, digests):
        """Return how many leading blocks the target is known to hold."""
        held = self.by_target.get(name)
        if held is None:
            return 0
        for count, digest in enumerate(digests):
            if digest not in held.blocks:
                return count
        return len(digests)
