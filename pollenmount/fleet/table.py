"""Tables of members and targets, merged from several sources.

A source is a link's name, or this VM itself. The newer record of a target wins,
wherever it comes from; a member is there while one source lists it. What no source
lists any more is kept for a while: after a restart of all control VMs nothing is known
to them that the entry VMs don't still know.
"""

from typing import NamedTuple

from pollenmount.fleet.messages import (
    MemberDown,
    MemberRecord,
    MemberUp,
    TargetGone,
    TargetRecord,
    TargetSeen,
    TargetSilent,
)

__all__ = ["MemberTable", "Target", "TargetTable"]

MEMBER_KEPT_MS = 3000
TARGET_KEPT_MS = 60_000
TOMBSTONE_MS = 60_000
ANY_START_MS = 10_000
MAX_TOMBSTONES = 4096
# Heartbeats tell the time that is left; less of a difference is their way.
COLD_STEP_MS = 250
ANY_START = -1


class Target(NamedTuple):
    """A target as this VM knows it; times are milliseconds of this VM's clock.

    `heard` is when its newest heartbeat came, `vouched` whether a source hears it,
    `cold_until` when it stops being cold.
    """

    record: TargetRecord
    heard: int
    cold_until: int
    vouchers: frozenset[str]

    @property
    def id(self):
        """Return the target's id."""
        return self.record.id

    @property
    def vouched(self):
        """Return whether some source hears its heartbeats."""
        return bool(self.vouchers)

    def is_cold(self, now):
        """Return whether it is cold at `now`."""
        return now < self.cold_until


class TargetTable:
    """Targets by id. `on_change` is called with each message that changed something."""

    def __init__(self, clock, on_change=lambda message, source: None):
        self.clock = clock
        self.on_change = on_change
        self.by_id = {}
        self.tombstones = {}
        self.version = 0
        self.index = (-1, {})

    def of_service(self, service):
        """Return the targets of a service, as a list."""
        if self.index[0] != self.version:
            ids = {}
            for id_, target in self.by_id.items():
                ids.setdefault(target.record.service, []).append(id_)
            self.index = (self.version, ids)
        return [self.by_id[id_] for id_ in self.index[1].get(service, ())]

    def seen(self, message, source):
        """Take in a heartbeat; return whether it is news of any kind."""
        record, now = message.target, self.clock.now()
        known = self.by_id.get(record.id)
        if self.is_buried(record) or (known and known.record.stamp > record.stamp):
            return False
        vouchers = (known.vouchers if known else frozenset()) | {source}
        heard = now - message.age_ms
        target = Target(record, heard, heard + record.cold_ms, vouchers)
        is_changed = known is None or differs(known, target)
        is_newer = known is None or known.record.stamp < record.stamp
        if known and not is_newer:
            target = target._replace(heard=max(known.heard, heard))
        self.by_id[record.id] = target
        if is_changed:
            self.version += 1
            self.on_change(message, source)
        return is_newer

    def is_buried(self, record):
        """Return whether the target has left, in this start."""
        born, left = self.tombstones.get(record.id, (None, 0))
        if born == ANY_START:
            return self.clock.now() - left < ANY_START_MS
        return born is not None and record.born <= born

    def silent(self, message, source):
        """Take in that a source no longer hears a target."""
        known = self.by_id.get(message.id)
        if known and source in known.vouchers:
            vouchers = known.vouchers - {source}
            self.by_id[message.id] = known._replace(vouchers=vouchers)
            self.version += 1
            if not vouchers:
                self.on_change(message, source)

    def gone(self, message, source):
        """Take in that a target has left for good."""
        known = self.by_id.get(message.id)
        is_older = known and ANY_START < message.born < known.record.born
        if is_older:
            return
        is_news = message.id not in self.tombstones or known is not None
        while len(self.tombstones) >= MAX_TOMBSTONES:
            del self.tombstones[next(iter(self.tombstones))]
        self.tombstones[message.id] = (message.born, self.clock.now())
        self.by_id.pop(message.id, None)
        self.version += 1
        if is_news:
            self.on_change(message, source)

    def leave(self, id_, source):
        """Take in that a target says it leaves; return the message for others."""
        known = self.by_id.get(id_)
        message = TargetGone(id_, known.record.born if known else ANY_START)
        self.gone(message, source)
        return message

    def forget_source(self, source):
        """Take back what a source vouched for."""
        for id_, known in self.by_id.items():
            if source in known.vouchers:
                vouchers = known.vouchers - {source}
                self.by_id[id_] = known._replace(vouchers=vouchers)
        self.version += 1

    def sweep(self, silence_ms, source=None):
        """Mark targets that `source` hasn't heard lately; forget those long silent."""
        now = self.clock.now()
        for id_, known in [*self.by_id.items()]:
            silent_ms = now - known.heard
            if source in known.vouchers and silent_ms > silence_ms:
                self.silent(TargetSilent(id_), source)
            elif not known.vouchers and silent_ms > TARGET_KEPT_MS:
                del self.by_id[id_]
                self.version += 1
        for id_, (_, left) in [*self.tombstones.items()]:
            if now - left > TOMBSTONE_MS:
                del self.tombstones[id_]

    def snapshot(self):
        """Yield the messages that tell everything here."""
        now = self.clock.now()
        for id_, (born, _) in self.tombstones.items():
            yield TargetGone(id_, born)
        for known in self.by_id.values():
            yield relay(known, now)


def relay(known, now):
    """Return the message that tells a target to another VM."""
    heard_ms = max(0, now - known.heard)
    return TargetSeen(known.record, heard_ms)


def differs(known, new):
    """Return whether entry VMs have to know of the change at once."""
    old, record = known.record, new.record
    same = old._replace(sequence=0, cold_ms=0) == record._replace(sequence=0, cold_ms=0)
    turned_cold = (
        record.cold_ms > 0 and new.cold_until > known.cold_until + COLD_STEP_MS
    )
    return not same or turned_cold or not known.vouchers


class Heard(NamedTuple):
    """A member's record from one source; `lost` is when it was dropped there."""

    record: MemberRecord
    lost: int | None = None


class MemberTable:
    """Members by name, each with what the sources say of it."""

    def __init__(self, clock, on_change=lambda message, source: None):
        self.clock = clock
        self.on_change = on_change
        self.by_name = {}
        self.version = 0
        self.cached_version = -1
        self.cached = {}

    def up(self, message, source):
        """Take in a member's record."""
        record = message.member
        sources = self.by_name.setdefault(record.name, {})
        before = self.get(record.name)
        sources[source] = Heard(record)
        for other, heard in [*sources.items()]:
            if other != source and heard.record.started < record.started:
                sources[other] = heard._replace(record=record)
        self.version += 1
        if before != self.get(record.name):
            self.on_change(message, source)

    def down(self, message, source):
        """Take in that a source no longer hears a member."""
        heard = self.by_name.get(message.name, {}).get(source)
        if heard is None or heard.record.incarnation != message.incarnation:
            return
        if heard.lost is None:
            sources = self.by_name[message.name]
            sources[source] = heard._replace(lost=self.clock.now())
            self.version += 1
            if not self.is_listed(message.name):
                self.on_change(message, source)

    def forget_source(self, source):
        """Take back what a source listed."""
        for name, sources in self.by_name.items():
            if source in sources:
                self.down(MemberDown(name, sources[source].record.incarnation), source)

    def is_listed(self, name):
        """Return whether some source lists the member."""
        return any(heard.lost is None for heard in self.by_name[name].values())

    def get(self, name):
        """Return the newest record of a member, or None."""
        sources = self.by_name.get(name)
        if not sources:
            return None
        records = (heard.record for heard in sources.values())
        return max(records, key=lambda record: (record.started, record.sequence))

    def live(self):
        """Return the members that some source lists, as a tuple."""
        return self.look_up("live", self.find_live)

    def known(self):
        """Return all members, those lost a short while ago included, as a tuple."""
        return self.look_up("known", self.find_known)

    def live_in(self, role, region):
        """Return the live members of a role in a region, as a tuple."""
        return self.look_up(
            ("live", role, region), lambda: pick(self.live(), role, region)
        )

    def known_in(self, role, region):
        """Return the known members of a role in a region, as a tuple."""
        return self.look_up(
            ("known", role, region), lambda: pick(self.known(), role, region)
        )

    def look_up(self, key, find):
        """Return what `find` returned when the table last changed."""
        if self.cached_version != self.version:
            self.cached = {}
            self.cached_version = self.version
        if key not in self.cached:
            self.cached[key] = find()
        return self.cached[key]

    def find_live(self):
        """Return the members that some source lists."""
        return tuple(self.get(name) for name in self.by_name if self.is_listed(name))

    def find_known(self):
        """Return all members."""
        return tuple(self.get(name) for name in self.by_name)

    def sweep(self):
        """Forget members that no source has listed for a while."""
        now = self.clock.now()
        for name, sources in [*self.by_name.items()]:
            for source, heard in [*sources.items()]:
                if heard.lost is not None and now - heard.lost > MEMBER_KEPT_MS:
                    del sources[source]
                    self.version += 1
            if not sources:
                del self.by_name[name]
                self.version += 1

    def snapshot(self):
        """Yield the messages that tell everything here."""
        for record in self.live():
            yield MemberUp(record)


def pick(members, role, region):
    """Return the members of a role in a region, as a tuple."""
    return tuple(m for m in members if (m.role, m.region) == (role, region))
