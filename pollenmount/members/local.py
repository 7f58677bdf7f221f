"""Members of the own failure domain: heartbeat counters, spread by gossip.

Each node counts its own heartbeats. A counter that grows, by whichever path it came,
shows that its member lives, so a bad link between two nodes removes neither. The
higher (version, incarnation) of a name wins; a node that meets a description of
itself which isn't its own takes a version above it.
"""

from typing import NamedTuple

from pollenmount.members.digest import digest_of, rank_of
from pollenmount.members.table import Member, age_of

__all__ = ["RELAYS", "LocalMemberTable", "Pulse", "by_rank"]

SUSPECT_HEARTBEATS = 3
UNREACHABLE_HEARTBEATS = 6
FORGET_MS = 600_000
MAX_MEMBERS = 256
MAX_RETIRED = 1024
RELAYS = 2


class Pulse(NamedTuple):
    """A member's newest heartbeat; `key` is the digest of its description."""

    key: int
    beat: int
    plan_number: int


class Row(NamedTuple):
    """A member, its newest pulse, and when its counter last grew.

    A member that was only described, with no pulse yet, doesn't count as alive.
    """

    member: Member
    pulse: Pulse
    seen: int


class Retired(NamedTuple):
    """Whose description was replaced, and when."""

    name: str
    moment: int


class LocalMemberTable:
    """The members of this node's failure domain, by name.

    `heartbeat_ms`
        Interval of heartbeats; a member silent for three is suspected, for six
        unreachable. It is forgotten after `FORGET_MS`.
    `describe`
        Returns this node's own `Member`, with any version.
    """

    def __init__(self, clock, heartbeat_ms, describe):
        self.clock = clock
        self.heartbeat_ms = heartbeat_ms
        self.describe = describe
        self.version = 1
        self.stopping = False
        self.beat = 0
        self.rows = {}
        self.names = {}
        self.retired = {}

    def own(self):
        """Return this node's own description."""
        member = self.describe()
        if member.stopping != self.stopping:
            self.stopping = member.stopping
            self.version += 1
        return member._replace(version=self.version)

    def pulses(self, known=()):
        """Return the pulses of this node and of all members in reach.

        Those of others are left out that are no newer than the `known` ones.
        """
        own = self.own()
        beats = {pulse.key: pulse.beat for pulse in known}
        newer = (
            row.pulse
            for row in self.alive().values()
            if row.pulse.beat > beats.get(row.pulse.key, -1)
        )
        return (Pulse(key_of(own), self.beat, own.plan_number), *newer)

    def take_in(self, pulses):
        """Take in a peer's pulses; return the keys that need a description."""
        own_key = key_of(self.own())
        unknown = []
        for pulse in pulses:
            if pulse.key == own_key or self.is_retired(pulse.key):
                continue
            if pulse.key in self.names:
                self.advance(pulse)
            else:
                unknown.append(pulse.key)
        return tuple(unknown)

    def is_retired(self, key):
        """Return whether a key belongs to a description that a newer one replaced."""
        old = self.retired.get(key)
        if old and old.name not in self.rows and old.name != self.describe().name:
            del self.retired[key]
            return False
        return old is not None

    def corrections(self, key):
        """Return the newer description that a peer with a replaced one must outbid."""
        old = self.retired.get(key)
        row = self.rows.get(old.name) if old else None
        return (row.member,) if row else ()

    def advance(self, pulse):
        """Take in the pulse of a known member."""
        name = self.names[pulse.key]
        row = self.rows[name]
        if pulse.beat > row.pulse.beat:
            self.rows[name] = Row(row.member, pulse, self.clock.now())

    def learn(self, members):
        """Take in descriptions of members of this failure domain."""
        for member in members:
            self.learn_one(member._replace(plan_number=0))

    def learn_one(self, member):
        """Take in one description if it is the newest of its name."""
        own = self.own()
        if member.failure_domain != own.failure_domain:
            return
        if member.name == own.name:
            self.outbid(own, member)
            return
        known = self.rows.get(member.name)
        if known and not is_newer(member, known.member):
            if member != known.member:
                self.retire(member)
            return
        if known is None and len(self.rows) >= MAX_MEMBERS:
            return
        if known:
            self.drop(known)
        self.names[key_of(member)] = member.name
        self.rows[member.name] = self.first_row(member, known)

    def first_row(self, member, known):
        """Return the row of a new description; it goes on if only that changed."""
        if known and known.member.incarnation == member.incarnation:
            pulse = known.pulse._replace(key=key_of(member))
            return Row(member, pulse, known.seen)
        return Row(member, Pulse(key_of(member), 0, 0), self.clock.now())

    def outbid(self, own, member):
        """Take a higher version than a description of this node that isn't its own."""
        if member.incarnation == own.incarnation:
            return
        if is_newer(member, own):
            self.version = member.version + 1
        self.retire(member)

    def drop(self, row):
        """Remove a row; late pulses of it are ignored."""
        del self.rows[row.member.name]
        del self.names[row.pulse.key]
        self.retire(row.member)

    def retire(self, member):
        """Ignore pulses under a replaced description from now on."""
        self.retired[key_of(member)] = Retired(member.name, self.clock.now())
        while len(self.retired) > MAX_RETIRED:
            del self.retired[next(iter(self.retired))]

    def sweep(self):
        """Forget members silent for long, and old retired keys."""
        now = self.clock.now()
        for row in [*self.rows.values()]:
            if age_of(now, row.seen) >= FORGET_MS:
                del self.rows[row.member.name]
                del self.names[row.pulse.key]
        for key, old in [*self.retired.items()]:
            if age_of(now, old.moment) >= FORGET_MS:
                del self.retired[key]

    def described(self, keys):
        """Return the descriptions that this node has for the keys."""
        own = self.own()._replace(plan_number=0)
        found = [self.rows[self.names[key]].member for key in keys if key in self.names]
        return (own, *found) if key_of(own) in keys else tuple(found)

    def silent_for(self, row):
        """Return the number of heartbeats that a member was silent for."""
        return age_of(self.clock.now(), row.seen) // self.heartbeat_ms

    def alive(self):
        """Return the rows of members in reach, by name."""
        return {
            name: row
            for name, row in self.rows.items()
            if row.pulse.beat > 0 and self.silent_for(row) < UNREACHABLE_HEARTBEATS
        }

    def suspects(self):
        """Return members in reach that have been silent for too long."""
        return [
            row.member
            for row in self.alive().values()
            if self.silent_for(row) >= SUSPECT_HEARTBEATS
        ]

    def missing(self):
        """Return known members that aren't in reach, the newly named included."""
        alive = self.alive()
        return [row.member for name, row in self.rows.items() if name not in alive]

    def live(self):
        """Return the members in reach, this node first, as a tuple."""
        alive = tuple(
            row.member._replace(plan_number=row.pulse.plan_number)
            for row in self.alive().values()
        )
        return (self.own(), *alive)

    def relays(self):
        """Return the members that carry traffic to other failure domains."""
        return by_rank(self.live())[:RELAYS]


def by_rank(members):
    """Return members in the order in which they are relays, alike on all nodes."""
    return sorted(members, key=lambda member: (member.stopping, rank_of(member.name)))


def key_of(member):
    """Return the digest of a description, whatever plan is in force there."""
    return digest_of(member._replace(plan_number=0))


def is_newer(member, other):
    """Return whether a description replaces another one of the same name."""
    return (member.version, member.incarnation) > (other.version, other.incarnation)
