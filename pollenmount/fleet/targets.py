"""Table of targets reported by several sources; the newest record wins.

A source is a link, named by its address, or this VM itself. Targets that no source
hears any more are kept for a while: when all control VMs restart, they know no targets,
and entry VMs must go on using those they know.
"""

from typing import NamedTuple

from pollenmount.fleet.messages import (
    TargetGone,
    TargetRecord,
    TargetSeen,
    TargetSilent,
)
from pollenmount.fleet.versioned_cache import VersionedCache

__all__ = ["Target", "TargetTable"]

TARGET_RETENTION_MS = 60_000
TOMBSTONE_TTL_MS = 60_000
ANY_INCARNATION_TOMBSTONE_TTL_MS = 10_000
MAX_TOMBSTONES = 4096
# Smaller differences in the end of a warm-up come from transmission delays.
COLD_CHANGE_MS = 250
ANY_INCARNATION = -1


class Target(NamedTuple):
    """A target known to this VM; times are in milliseconds of this VM's clock.

    `heard_at` is when the newest heartbeat arrived, `heard_by` the sources that receive
    its heartbeats, `cold_until` the end of its warm-up.
    """

    record: TargetRecord
    heard_at: int
    cold_until: int
    heard_by: frozenset[str]

    @property
    def id(self):
        """Return the target's id."""
        return self.record.id

    @property
    def is_heard(self):
        """Return whether at least one source receives its heartbeats."""
        return bool(self.heard_by)

    def is_cold(self, now):
        """Return whether the target is still warming up at `now`."""
        return now < self.cold_until


class TargetTable:
    """Targets by id; `on_change` is called with each message that changes one."""

    def __init__(self, clock, on_change=lambda message, source: None):
        self.clock = clock
        self.on_change = on_change
        self.by_id = {}
        self.tombstones = {}
        self.version = 0
        self.cache = VersionedCache(lambda: self.version)

    def of_service(self, service):
        """Return the targets of a service, as a list."""
        ids = self.cache.get(service, lambda: self.find_ids(service))
        return [self.by_id[id_] for id_ in ids]

    def find_ids(self, service):
        """Return the ids of a service's targets, as a list."""
        return [k for k, v in self.by_id.items() if v.record.service == service]

    def handle_seen(self, message, source):
        """Store a heartbeat; return whether it is newer than the stored record."""
        record, now = message.target, self.clock.now()
        known = self.by_id.get(record.id)
        if self.has_left(record) or (
            known and known.record.order_key > record.order_key
        ):
            return False
        heard_by = (known.heard_by if known else frozenset()) | {source}
        heard_at = now - message.age_ms
        target = Target(record, heard_at, heard_at + record.cold_ms, heard_by)
        is_changed = known is None or must_notify(known, target)
        is_newer = known is None or known.record.order_key < record.order_key
        if known and not is_newer:
            target = target._replace(heard_at=max(known.heard_at, heard_at))
        self.by_id[record.id] = target
        if is_changed:
            self.version += 1
            self.on_change(message, source)
        return is_newer

    def has_left(self, record):
        """Return whether this incarnation of the target has left."""
        born, left_at = self.tombstones.get(record.id, (None, 0))
        if born == ANY_INCARNATION:
            return self.clock.now() - left_at < ANY_INCARNATION_TOMBSTONE_TTL_MS
        return born is not None and record.born <= born

    def handle_silent(self, message, source):
        """Remove a source that no longer hears a target; notify if it was the last."""
        known = self.by_id.get(message.id)
        if known and source in known.heard_by:
            heard_by = known.heard_by - {source}
            self.by_id[message.id] = known._replace(heard_by=heard_by)
            self.version += 1
            if not heard_by:
                self.on_change(message, source)

    def handle_gone(self, message, source):
        """Remove a target and keep a tombstone, unless a newer incarnation is known."""
        known = self.by_id.get(message.id)
        is_older = known and ANY_INCARNATION < message.born < known.record.born
        if is_older:
            return
        is_change = message.id not in self.tombstones or known is not None
        while len(self.tombstones) >= MAX_TOMBSTONES:
            del self.tombstones[next(iter(self.tombstones))]
        self.tombstones[message.id] = (message.born, self.clock.now())
        self.by_id.pop(message.id, None)
        self.version += 1
        if is_change:
            self.on_change(message, source)

    def handle_leave(self, id_, source):
        """Remove a target that announced its leave; return the message about it."""
        known = self.by_id.get(id_)
        message = TargetGone(id_, known.record.born if known else ANY_INCARNATION)
        self.handle_gone(message, source)
        return message

    def forget_source(self, source):
        """Remove a source from all targets."""
        for id_, known in self.by_id.items():
            if source in known.heard_by:
                heard_by = known.heard_by - {source}
                self.by_id[id_] = known._replace(heard_by=heard_by)
        self.version += 1

    def sweep(self, silence_ms, source=None):
        """Mark targets silent at `source` for `silence_ms`; remove expired state."""
        now = self.clock.now()
        for id_, known in [*self.by_id.items()]:
            silent_ms = now - known.heard_at
            if source in known.heard_by and silent_ms > silence_ms:
                self.handle_silent(TargetSilent(id_), source)
            elif not known.heard_by and silent_ms > TARGET_RETENTION_MS:
                del self.by_id[id_]
                self.version += 1
        for id_, (_, left_at) in [*self.tombstones.items()]:
            if now - left_at > TOMBSTONE_TTL_MS:
                del self.tombstones[id_]

    def snapshot(self):
        """Yield the messages that bring another VM up to date, tombstones first."""
        now = self.clock.now()
        for id_, (born, _) in self.tombstones.items():
            yield TargetGone(id_, born)
        for known in self.by_id.values():
            yield make_target_seen(known, now)


def make_target_seen(known, now):
    """Return the `TargetSeen` of a known target for another VM."""
    age_ms = max(0, now - known.heard_at)
    return TargetSeen(known.record, age_ms)


def must_notify(known, new):
    """Return whether other VMs must be notified of the change at once."""
    old, record = known.record, new.record
    same = old._replace(sequence=0, cold_ms=0) == record._replace(sequence=0, cold_ms=0)
    turned_cold = (
        record.cold_ms > 0 and new.cold_until > known.cold_until + COLD_CHANGE_MS
    )
    return not same or turned_cold or not known.heard_by
