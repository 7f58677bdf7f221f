"""Table of the targets of this failure domain: soft state built from announcements.

A target that stops announcing expires after its time to live. One that leaves is
removed at once, and a tombstone keeps late announcements of the same incarnation from
adding it again.
"""

from typing import NamedTuple, TypedDict

import msgspec

from pollenmount.documents import Count, Integer
from pollenmount.errors import Refusal, RefusalKind
from pollenmount.targets.cache import CacheEvents, CacheIndex

__all__ = [
    "Announcement",
    "Leave",
    "OfferedModel",
    "Target",
    "TargetLeft",
    "TargetStarted",
    "TargetTable",
]

TOMBSTONE_TTL_MS = 600_000
MAX_TOMBSTONES = 16_384
MAX_TARGETS = 4096


class OfferedModel(TypedDict, total=False):
    """One version of a model that a target has loaded, with its loaded adapters."""

    name: str
    version: str
    adapters: list[str]


class Announcement(msgspec.Struct, frozen=True):
    """State of a target, as it reports it every second.

    `address` is `IP:port`. `sequence` increases with each announcement of an
    incarnation. `running` and `waiting` count requests. `resume` tells whether the
    target can resume a stream after a given number of events. `cache` holds the changes
    to its prefix cache.
    """

    name: str
    incarnation: str
    sequence: Integer
    address: str
    kind: str
    slots: Count
    models: tuple[OfferedModel, ...] = ()
    services: tuple[str, ...] = ()
    running: Count = 0
    waiting: Count = 0
    draining: bool = False
    resume: bool = False
    cache: CacheEvents | None = None


class Leave(msgspec.Struct, frozen=True):
    """Notice of a target that it accepts no more requests."""

    name: str
    incarnation: str


class Target(NamedTuple):
    """An entry of the table; times are monotonic milliseconds.

    `last_seen_at` is when its last announcement arrived, `first_seen_at` when the first
    one of its incarnation did; `own_in_flight` is how many requests of this node were
    in flight there at `last_seen_at`.
    """

    announcement: Announcement
    last_seen_at: int
    first_seen_at: int = 0
    own_in_flight: int = 0


class TargetStarted(NamedTuple):
    """News: a target announces itself for the first time since it started."""

    announcement: Announcement


class TargetLeft(NamedTuple):
    """News: this incarnation of a target leaves in good order."""

    name: str
    incarnation: str


class TargetTable:
    """The targets that announce themselves to this node.

    `ttl_ms`
        How long an announcement is valid.
    `in_flight`
        Returns how many requests of this node are in flight at a target, by its name.

    `needs_resync` holds the names of the targets whose cache events have a gap, so that
    they are asked for the full list. `listeners` are called with each `TargetStarted`
    and `TargetLeft`.
    """

    def __init__(self, clock, ttl_ms, in_flight=lambda name: 0):
        self.clock = clock
        self.ttl_ms = ttl_ms
        self.in_flight = in_flight
        self.by_name = {}
        self.tombstones = {}
        self.cache = CacheIndex()
        self.needs_resync = set()
        self.listeners = []

    def notify(self, news):
        """Call the listeners."""
        for listener in self.listeners:
            listener(news)

    def announce(self, announcement):
        """Store an announcement; return a `Refusal` if the table is full, else None."""
        now = self.clock.now()
        if (announcement.name, announcement.incarnation) in self.tombstones:
            return None
        current = self.by_name.get(announcement.name)
        first_seen_at = now
        if current and current.announcement.incarnation == announcement.incarnation:
            if current.announcement.sequence >= announcement.sequence:
                return None
            first_seen_at = current.first_seen_at
        elif current is None and len(self.by_name) >= MAX_TARGETS:
            message = "too many targets in this failure domain; remove some"
            return Refusal(RefusalKind.OVERLOADED, message)
        own_in_flight = self.in_flight(announcement.name)
        self.by_name[announcement.name] = Target(
            announcement, now, first_seen_at, own_in_flight
        )
        self.needs_resync.discard(announcement.name)
        if announcement.cache and self.cache.apply_events(
            announcement.name, announcement.incarnation, announcement.cache
        ):
            self.needs_resync.add(announcement.name)
        self.notify_of_change(current and current.announcement, announcement)
        return None

    def notify_of_change(self, known, announcement):
        """Tell that a target started or leaves; `known` is its last announcement."""
        is_start = known is None or known.incarnation != announcement.incarnation
        if is_start:
            self.notify(TargetStarted(announcement))
        if announcement.draining and (is_start or not known.draining):
            self.notify(TargetLeft(announcement.name, announcement.incarnation))

    def is_leaving(self, name, incarnation):
        """Return whether this incarnation of a target leaves or has left."""
        if (name, incarnation) in self.tombstones:
            return True
        current = self.by_name.get(name)
        known = current and current.announcement
        return bool(known and known.incarnation == incarnation and known.draining)

    def leave(self, departure):
        """Remove this incarnation of a target, and keep a tombstone of it."""
        while len(self.tombstones) >= MAX_TOMBSTONES:
            del self.tombstones[next(iter(self.tombstones))]
        self.tombstones[departure.name, departure.incarnation] = self.clock.now()
        self.notify(TargetLeft(departure.name, departure.incarnation))
        current = self.by_name.get(departure.name)
        if current and current.announcement.incarnation == departure.incarnation:
            self.remove(departure.name)

    def remove(self, name):
        """Remove a target and the index of its cache."""
        del self.by_name[name]
        self.cache.forget(name)
        self.needs_resync.discard(name)

    def sweep(self):
        """Remove expired targets and expired tombstones."""
        now = self.clock.now()
        for name, target in [*self.by_name.items()]:
            if now - target.last_seen_at >= self.ttl_ms:
                self.remove(name)
        for key, left_at in [*self.tombstones.items()]:
            if now - left_at >= TOMBSTONE_TTL_MS:
                del self.tombstones[key]

    def live(self):
        """Return the targets that accept requests, as a tuple."""
        now = self.clock.now()
        return tuple(
            target
            for target in self.by_name.values()
            if now - target.last_seen_at < self.ttl_ms
            and not target.announcement.draining
        )
