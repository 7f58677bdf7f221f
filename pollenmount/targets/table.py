"""Targets of this failure domain: soft state, fed by their announcements.

A target that stops announcing is left out after its time to live; one that leaves is
left out at once, and late announcements of the same incarnation don't bring it back.
"""

from typing import NamedTuple, TypedDict

import msgspec

from pollenmount.errors import Refusal, RefusalKind

__all__ = ["Announcement", "Leave", "OfferedModel", "Target", "TargetTable"]

TOMBSTONE_MS = 600_000
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
    stream from an offset.
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


class Leave(msgspec.Struct, frozen=True):
    """A target says that it takes no more work."""

    name: str
    incarnation: str


class Target(NamedTuple):
    """A target and when it was last heard of (monotonic ms)."""

    said: Announcement
    seen: int


class TargetTable:
    """The targets that announce themselves to this node.

    `ttl_ms`
        How long an announcement holds.
    """

    def __init__(self, clock, ttl_ms):
        self.clock = clock
        self.ttl_ms = ttl_ms
        self.by_name = {}
        self.tombstones = {}

    def announce(self, said):
        """Take in an announcement; return a `Refusal` if it is full, else None."""
        now = self.clock.now()
        if (said.name, said.incarnation) in self.tombstones:
            return None
        known = self.by_name.get(said.name)
        if known and known.said.incarnation == said.incarnation:
            if known.said.sequence >= said.sequence:
                return None
        elif known is None and len(self.by_name) >= MAX_TARGETS:
            message = "too many targets in this failure domain; remove some"
            return Refusal(RefusalKind.OVERLOADED, message)
        self.by_name[said.name] = Target(said, now)
        return None

    def leave(self, said):
        """Leave the target out for good, in this incarnation."""
        self.tombstones[said.name, said.incarnation] = self.clock.now()
        known = self.by_name.get(said.name)
        if known and known.said.incarnation == said.incarnation:
            del self.by_name[said.name]

    def sweep(self):
        """Forget silent targets and old tombstones."""
        now = self.clock.now()
        for name, target in [*self.by_name.items()]:
            if now - target.seen >= self.ttl_ms:
                del self.by_name[name]
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
