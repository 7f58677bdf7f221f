"""Targets of this failure domain: soft state, fed by their announcements.

A target that stops announcing is left out after its time to live; one that leaves is
left out at once, and late announcements of the same incarnation don't bring it back.
"""

from typing import NamedTuple, TypedDict

import msgspec

from pollenmount.errors import Refusal, RefusalKind
from pollenmount.targets.cache import CacheEvents, CacheIndex

__all__ = ["Announcement", "Leave", "OfferedModel", "Target", "TargetTable"]

TOMBSTONE_MS = 600_000
MAX_TOMBSTONES = 16_384
MAX_TARGETS = 4096


class OfferedModel(TypedDict, total=False):
    """One loaded version of a model, with its loaded adapters."""

    name: str
    version: str
    adapters: list[str]


class Announcement(msgspec.Struct, frozen=True):
    """What a target says of itself, every second.

    `address` is `IP:port`; `sequence` grows with each announcement of an incarnation;
    `running` and `waiting` count requests; `resume` tells whether it can resume a
    stream after a number of events; `cache` are changes of its prefix cache.
    """

    name: str
    incarnation: str
    sequence: int
    address: str
    kind: str
    slots: int
    models: tuple[OfferedModel, ...] = ()
    services: tuple[str, ...] = ()
    running: int = 0
    waiting: int = 0
    draining: bool = False
    resume: bool = False
    cache: CacheEvents | None = None


class Leave(msgspec.Struct, frozen=True):
    """A target says that it takes no more work."""

    name: str
    incarnation: str


class Target(NamedTuple):
    """A target as this node knows it; times are monotonic ms.

    `seen` is when it was last heard of, `since` when its incarnation first was; `own`
    is how many requests of this node were in flight there at `seen`.
    """

    said: Announcement
    seen: int
    since: int = 0
    own: int = 0


class TargetTable:
    """The targets that announce themselves to this node.

    `ttl_ms`
        How long an announcement holds.
    `gaps` are the targets whose last cache events had others missing before them.

    `in_flight`
        Returns how many requests of this node are in flight at a target's name.
    """

    def __init__(self, clock, ttl_ms, in_flight=lambda name: 0):
        self.clock = clock
        self.ttl_ms = ttl_ms
        self.in_flight = in_flight
        self.by_name = {}
        self.tombstones = {}
        self.cache = CacheIndex()
        self.gaps = set()

    def announce(self, said):
        """Take in an announcement; return a `Refusal` if it is full, else None."""
        now = self.clock.now()
        if (said.name, said.incarnation) in self.tombstones:
            return None
        known = self.by_name.get(said.name)
        since = now
        if known and known.said.incarnation == said.incarnation:
            if known.said.sequence >= said.sequence:
                return None
            since = known.since
        elif known is None and len(self.by_name) >= MAX_TARGETS:
            message = "too many targets in this failure domain; remove some"
            return Refusal(RefusalKind.OVERLOADED, message)
        own = self.in_flight(said.name)
        self.by_name[said.name] = Target(said, now, since, own)
        self.gaps.discard(said.name)
        if said.cache and self.cache.apply_events(
            said.name, said.incarnation, said.cache
        ):
            self.gaps.add(said.name)
        return None

    def leave(self, said):
        """Leave the target out for good, in this incarnation."""
        while len(self.tombstones) >= MAX_TOMBSTONES:
            del self.tombstones[next(iter(self.tombstones))]
        self.tombstones[said.name, said.incarnation] = self.clock.now()
        known = self.by_name.get(said.name)
        if known and known.said.incarnation == said.incarnation:
            self.remove(said.name)

    def remove(self, name):
        """Forget a target and what its cache held."""
        del self.by_name[name]
        self.cache.forget(name)
        self.gaps.discard(name)

    def sweep(self):
        """Forget silent targets and old tombstones."""
        now = self.clock.now()
        for name, target in [*self.by_name.items()]:
            if now - target.seen >= self.ttl_ms:
                self.remove(name)
        for key, left in [*self.tombstones.items()]:
            if now - left >= TOMBSTONE_MS:
                del self.tombstones[key]

    def live(self):
        """Return the targets that may get work, as a tuple."""
        now = self.clock.now()
        return tuple(
            target
            for target in self.by_name.values()
            if now - target.seen < self.ttl_ms and not target.said.draining
        )
