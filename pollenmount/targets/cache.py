"""Index of the blocks in the prefix caches of targets, built from their cache events.

Events may arrive late, and some may be lost. After a gap the index of the target is
cleared and rebuilt from later events, until the target sends the full list of its
blocks.
"""

import msgspec

from pollenmount.documents import Integer

__all__ = ["CacheEvents", "CacheIndex"]

MAX_BLOCKS_PER_TARGET = 65_536


class CacheEvents(msgspec.Struct, frozen=True):
    """Changes to a target's prefix cache since its last announcement.

    `first` is the sequence number of the first change. `stored` and `evicted` are block
    digests; evictions are applied after the stores. If `whole` is true, `stored` is the
    full list of the cached blocks.
    """

    first: Integer
    stored: tuple[str, ...] = ()
    evicted: tuple[str, ...] = ()
    whole: bool = False


class HeldBlocks:
    """Blocks in the prefix cache of one incarnation of a target.

    `next_change` is the sequence number of the next expected change.
    """

    __slots__ = ("blocks", "incarnation", "next_change")

    def __init__(self, incarnation, first):
        self.incarnation = incarnation
        self.next_change = first
        self.blocks = {}


class CacheIndex:
    """Block digests by target; above the limit the oldest of a target are dropped.

    `max_blocks`
        Maximum number of blocks kept for each target (default 65,536).
    """

    def __init__(self, max_blocks=MAX_BLOCKS_PER_TARGET):
        self.max_blocks = max_blocks
        self.by_target = {}

    def apply_events(self, name, incarnation, events):
        """Apply the events of an announcement; return whether earlier ones are lost."""
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
        """Drop all blocks of a target."""
        self.by_target.pop(name, None)

    def cached_blocks(self, name, digests):
        """Return how many of the leading blocks the target is known to have cached."""
        held = self.by_target.get(name)
        if held is None:
            return 0
        for count, digest in enumerate(digests):
            if digest not in held.blocks:
                return count
        return len(digests)
