"""Table of targets reported by several sources; the newest record wins.

A source is a link, named by its address, or this VM itself. Targets that no source
hears any more are kept for a while: when all control VMs restart, they know no targets,
and entry VMs must go on using those they know.
"""

from typing import NamedTuple

import msgspec

from pollenmount.fleet.leaving import LeavingTargets
from pollenmount.fleet.messages import TargetGone, TargetLeaving, TargetSilent
from pollenmount.fleet.target import (
    Doubt,
    Target,
    make_target_doubted,
    make_target_seen,
    must_notify,
)
from pollenmount.fleet.target_limits import TargetLimits
from pollenmount.fleet.versioned_cache import VersionedCache

__all__ = ["DEFAULT_SLOTS", "TargetTable"]

# Assumed for a target that doesn't report its number.
DEFAULT_SLOTS = 16
TARGET_RETENTION_MS = 60_000
TOMBSTONE_TTL_MS = 60_000
ANY_INCARNATION_TOMBSTONE_TTL_MS = 10_000
MAX_TOMBSTONES = 4096
ANY_INCARNATION = -1
# Longer than targets take to start and warm up.
DOUBT_TTL_MS = 10_000
# Stands for sources that were lost; a target may turn to another control VM meanwhile.
LOST_SOURCES = "lost"
LOST_SOURCES_GRACE_MS = 5000


class Tombstone(NamedTuple):
    """A target that left at `left_at`; `failure_domain` is '' if it was unknown."""

    born: int
    left_at: int
    failure_domain: str


class TargetTable:
    """Targets by id; `on_change` is called with each message that changes one.

    `gets_heartbeats` is true on a control VM. It gets each heartbeat from the VM that
    heard it, so a source without the newest one does not hear the target any more, and
    does not report it silent either. An entry VM gets changes only, and each source
    tells it when a target is silent.
    """

    def __init__(
        self, clock, on_change=lambda message, source: None, gets_heartbeats=True
    ):
        self.clock = clock
        self.gets_heartbeats = gets_heartbeats
        self.on_change = on_change
        self.by_id = {}
        self.tombstones = {}
        self.leaving = LeavingTargets()
        self.limits = TargetLimits(clock)
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
        record, now = self.leaving.apply(message.target), self.clock.now()
        known = self.by_id.get(record.id)
        if self.has_left(record):
            return False
        if known and known.record.order_key > record.order_key:
            if not self.gets_heartbeats:
                self.add_source(known, record, source)
            return False
        is_newer = known is None or known.record.order_key < record.order_key
        is_only_source = known is None or (is_newer and self.gets_heartbeats)
        heard_by = {source} | (set() if is_only_source else known.heard_by)
        heard_at = now - message.age_ms
        cold_until = heard_at + record.cold_ms
        target = Target(
            record, heard_at, cold_until, frozenset(heard_by), message.cold_senders
        )
        if known and known.doubt and record.order_key <= known.doubt.order_key:
            target = target._replace(doubt=known.doubt, cold_senders=known.cold_senders)
        is_changed = known is None or must_notify(known, target)
        if known and not is_newer:
            target = target._replace(heard_at=max(known.heard_at, heard_at))
        self.by_id[record.id] = target
        if is_changed:
            self.version += 1
            self.on_change(msgspec.structs.replace(message, target=record), source)
        return is_newer

    def add_source(self, known, record, source):
        """Note on an entry VM that a source with an older record hears a target."""
        if known.record.born == record.born:
            heard_by = known.heard_by | {source}
            self.by_id[record.id] = known._replace(heard_by=heard_by)

    def has_left(self, record):
        """Return whether this incarnation of the target has left."""
        tombstone = self.tombstones.get(record.id)
        if tombstone is None:
            return False
        if tombstone.born == ANY_INCARNATION:
            age_ms = self.clock.now() - tombstone.left_at
            return age_ms < ANY_INCARNATION_TOMBSTONE_TTL_MS
        return record.born <= tombstone.born

    def handle_doubted(self, message, source):
        """Note that a target may be cold until it is heard again; notify if it is new.

        It is no news to a VM that has heard it since.
        """
        known = self.by_id.get(message.id)
        order_key = (message.born, message.sequence)
        if known is None or known.record.order_key > order_key:
            return
        now = self.clock.now()
        if known.is_doubted(now):
            if known.cold_senders == message.cold_senders:
                return
            order_key = max(order_key, known.doubt.order_key)
        doubt = Doubt(order_key, now + DOUBT_TTL_MS)
        self.by_id[message.id] = known._replace(
            doubt=doubt, cold_senders=message.cold_senders
        )
        self.version += 1
        self.on_change(message, source)

    def handle_refused(self, message, source):
        """Doubt an incarnation that refused a connection; notify if that is news.

        An entry VM does not send to it until it is told who may.
        """
        known, now = self.by_id.get(message.id), self.clock.now()
        if known is None or known.record.born != message.born or known.is_doubted(now):
            return
        doubt = Doubt(known.record.order_key, now + DOUBT_TTL_MS)
        self.by_id[message.id] = known._replace(doubt=doubt, cold_senders=())
        self.version += 1
        self.on_change(message, source)

    def doubt_domain(self, failure_domain):
        """Doubt the targets of a failure domain until they are heard again."""
        until = self.clock.now() + DOUBT_TTL_MS
        for known in self.of_domain(failure_domain):
            doubt = Doubt(known.record.order_key, until)
            self.by_id[known.id] = known._replace(doubt=doubt)
        self.version += 1

    def of_domain(self, failure_domain):
        """Return the targets of a failure domain, as a list."""
        return [
            known
            for known in self.by_id.values()
            if known.record.failure_domain == failure_domain
        ]

    def overdue(self, overdue_ms, source):
        """Return the targets of which `source` has heard nothing for `overdue_ms`.

        Those that are doubted already are left out.
        """
        now = self.clock.now()
        return [
            known
            for known in self.by_id.values()
            if source in known.heard_by
            and now - known.heard_at > overdue_ms
            and not known.is_doubted(now)
        ]

    def handle_silent(self, message, source):
        """Remove a source that no longer hears a target; notify if it was the last."""
        known = self.by_id.get(message.id)
        if known and source in known.heard_by:
            self.remove_source(known, source)
            if not self.by_id[message.id].is_heard:
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
        domain = known.record.failure_domain if known else ""
        now = self.clock.now()
        self.tombstones[message.id] = Tombstone(message.born, now, domain)
        self.by_id.pop(message.id, None)
        self.limits.forget(message.id)
        self.version += 1
        if is_change:
            self.on_change(message, source)

    def handle_leaving(self, message, source):
        """Mark an incarnation that leaves; return whether other VMs must be told.

        It is treated as draining from now on. Others know already of one that reported
        so in its heartbeats, or has left.
        """
        if not self.leaving.add(message.id, message.born):
            return False
        known = self.by_id.get(message.id)
        if known is None:
            is_news = message.id not in self.tombstones
        else:
            is_news = self.leaving.has(known.record) and not known.record.draining
        if known and is_news:
            record = self.leaving.apply(known.record)
            self.by_id[message.id] = known._replace(record=record)
            self.version += 1
        if is_news:
            self.on_change(message, source)
        return is_news

    def handle_limited(self, message, source):
        """Store the limit of an incarnation, or its end, and notify if it is news."""
        known = self.by_id.get(message.id)
        if known and message.born < known.record.born:
            return
        if self.limits.update(message):
            self.on_change(message, source)

    def limit_of(self, target):
        """Return the `TargetLimit` in force for a target, or None."""
        return self.limits.get(target.id, target.record.born)

    def observations(self):
        """Yield what VMs have read in responses of the targets known here."""
        for known in self.by_id.values():
            if self.leaving.has(known.record):
                yield TargetLeaving(known.id, known.record.born)
        yield from self.limits.messages()

    def handle_leave(self, id_, source):
        """Remove a target that announced its leave; return the message about it."""
        known = self.by_id.get(id_)
        message = TargetGone(id_, known.record.born if known else ANY_INCARNATION)
        self.handle_gone(message, source)
        return message

    def forget_source(self, source):
        """Remove a source from all targets; those that it alone heard get a grace."""
        for known in [*self.by_id.values()]:
            if source in known.heard_by:
                self.remove_source(known, source, frozenset({LOST_SOURCES}))
        self.version += 1

    def remove_source(self, known, source, others=frozenset()):
        """Remove a source of a target; `others` stand for it if it is the last.

        On an entry VM the target was heard until now, though no change came for long.
        """
        heard_by = (known.heard_by - {source}) or others
        heard_at = known.heard_at if self.gets_heartbeats else self.clock.now()
        self.by_id[known.id] = known._replace(heard_by=heard_by, heard_at=heard_at)
        self.version += 1

    def sweep(self, silence_ms, source=None):
        """Mark targets silent at `source` for `silence_ms`; remove expired state.

        `source` is this VM if it hears targets itself, as a control VM. Return the
        messages about those that have become silent there.
        """
        now = self.clock.now()
        silent = []
        for id_, known in [*self.by_id.items()]:
            silent_ms = now - known.heard_at
            if source in known.heard_by and silent_ms > silence_ms:
                silent.append(TargetSilent(id_))
                self.handle_silent(silent[-1], source)
            elif LOST_SOURCES in known.heard_by and silent_ms > LOST_SOURCES_GRACE_MS:
                self.handle_silent(TargetSilent(id_), LOST_SOURCES)
            elif not known.heard_by and silent_ms > TARGET_RETENTION_MS:
                del self.by_id[id_]
                self.version += 1
            elif source and silent_ms > silence_ms + LOST_SOURCES_GRACE_MS:
                self.drop_sources(known)
        for id_, tombstone in [*self.tombstones.items()]:
            if now - tombstone.left_at > TOMBSTONE_TTL_MS:
                del self.tombstones[id_]
        return silent

    def drop_sources(self, known):
        """Remove all sources of a target of which a control VM gets no heartbeats.

        If it missed the newest one, the source that it knows does not report silence.
        """
        for source in known.heard_by:
            self.handle_silent(TargetSilent(known.id), source)

    def failure_domain_of(self, id_):
        """Return the failure domain of a target, left or not, '' if it is unknown."""
        known = self.by_id.get(id_)
        if known:
            return known.record.failure_domain
        tombstone = self.tombstones.get(id_)
        return tombstone.failure_domain if tombstone else ""

    def snapshot(self, source=None):
        """Yield the messages that bring another VM up to date, tombstones first.

        `source` limits the targets to those that are heard by it.
        """
        now = self.clock.now()
        for id_, tombstone in self.tombstones.items():
            yield TargetGone(id_, tombstone.born)
        for id_, known in self.by_id.items():
            if source is None or source in known.heard_by:
                yield make_target_seen(known, now)
            if known.is_doubted(now):
                yield make_target_doubted(known, known.cold_senders)
            if source is None and not known.is_heard:
                yield TargetSilent(id_)
        yield from self.observations()
