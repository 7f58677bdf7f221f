"""Members as several sources list them: one is there while any source lists it.

A source is a link's name, or this VM itself. What no source lists any more is kept for
a while, as for targets.
"""

from typing import NamedTuple

from pollenmount.fleet.messages import MemberDown, MemberRecord, MemberUp
from pollenmount.fleet.versioned_cache import VersionedCache

__all__ = ["MemberTable"]

MEMBER_KEPT_MS = 3000


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
        self.cache = VersionedCache(lambda: self.version)

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
        return self.cache.get("live", self.find_live)

    def known(self):
        """Return all members, those lost a short while ago included, as a tuple."""
        return self.cache.get("known", self.find_known)

    def live_in(self, role, region):
        """Return the live members of a role in a region, as a tuple."""
        return self.cache.get(
            ("live", role, region), lambda: pick(self.live(), role, region)
        )

    def known_in(self, role, region):
        """Return the known members of a role in a region, as a tuple."""
        return self.cache.get(
            ("known", role, region), lambda: pick(self.known(), role, region)
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
