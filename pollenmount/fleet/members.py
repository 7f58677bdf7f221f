"""Members as several sources list them: one is there while any source lists it.

A source is a link's name, or this VM itself. What no source lists any more is kept for
a while, as for targets.
"""

from typing import NamedTuple

from pollenmount.fleet.messages import MemberDown, MemberRecord, MemberUp
from pollenmount.fleet.versioned_cache import VersionedCache

__all__ = ["MemberTable"]

MEMBER_RETENTION_MS = 3000


class SourceEntry(NamedTuple):
    """A member's record from one source; `lost_at` is when it was dropped there."""

    record: MemberRecord
    lost_at: int | None = None


class MemberTable:
    """Members by name, each with what the sources say of it."""

    def __init__(self, clock, on_change=lambda message, source: None):
        self.clock = clock
        self.on_change = on_change
        self.by_name = {}
        self.version = 0
        self.cache = VersionedCache(lambda: self.version)

    def handle_up(self, message, source):
        """Take in a member's record."""
        record = message.member
        sources = self.by_name.setdefault(record.name, {})
        before = self.get(record.name)
        sources[source] = SourceEntry(record)
        for other, entry in [*sources.items()]:
            if other != source and entry.record.started < record.started:
                sources[other] = entry._replace(record=record)
        self.version += 1
        if before != self.get(record.name):
            self.on_change(message, source)

    def handle_down(self, message, source):
        """Take in that a source no longer hears a member."""
        entry = self.by_name.get(message.name, {}).get(source)
        if entry is None or entry.record.incarnation != message.incarnation:
            return
        if entry.lost_at is None:
            sources = self.by_name[message.name]
            sources[source] = entry._replace(lost_at=self.clock.now())
            self.version += 1
            if not self.is_listed(message.name):
                self.on_change(message, source)

    def forget_source(self, source):
        """Take back what a source listed."""
        for name, sources in self.by_name.items():
            if source in sources:
                self.handle_down(
                    MemberDown(name, sources[source].record.incarnation), source
                )

    def is_listed(self, name):
        """Return whether some source lists the member."""
        return any(entry.lost_at is None for entry in self.by_name[name].values())

    def get(self, name):
        """Return the newest record of a member, or None."""
        sources = self.by_name.get(name)
        if not sources:
            return None
        records = (entry.record for entry in sources.values())
        return max(records, key=lambda record: (record.started, record.sequence))

    def live(self):
        """Return the members that some source lists, as a tuple."""
        return self.cache.get("live", self.find_live)

    def known(self):
        """Return all members, those lost a short while ago included, as a tuple."""
        return self.cache.get("known", self.find_known)

    def live_in(self, role, region):
        """Return the live members of a role in a region, as a tuple."""
        return self.cache.get(
            ("live", role, region), lambda: filter_members(self.live(), role, region)
        )

    def known_in(self, role, region):
        """Return the known members of a role in a region, as a tuple."""
        return self.cache.get(
            ("known", role, region), lambda: filter_members(self.known(), role, region)
        )

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
            for source, entry in [*sources.items()]:
                if (
                    entry.lost_at is not None
                    and now - entry.lost_at > MEMBER_RETENTION_MS
                ):
                    del sources[source]
                    self.version += 1
            if not sources:
                del self.by_name[name]
                self.version += 1

    def snapshot(self):
        """Yield the messages that tell everything here."""
        for record in self.live():
            yield MemberUp(record)


def filter_members(members, role, region):
    """Return the members of a role in a region, as a tuple."""
    return tuple(m for m in members if (m.role, m.region) == (role, region))
