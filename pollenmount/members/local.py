"""Members of the own failure domain: heartbeat counters disseminated by gossip.

Each node counts its own heartbeats. A counter that grows, whichever path it came by,
shows that the member is alive, so a broken link between two nodes removes neither. Of
two descriptions with one name the higher (version, incarnation) wins; a node that
receives another incarnation's description under its own name raises its version above.
"""

from typing import NamedTuple

from pollenmount.documents import Counter
from pollenmount.members.digest import digest_of, rank_of
from pollenmount.members.table import Member, age_of

__all__ = ["RELAYS", "LocalMemberTable", "MemberHeartbeat", "by_rank"]

SUSPECT_HEARTBEATS = 3
UNREACHABLE_HEARTBEATS = 6
MEMBER_EXPIRY_MS = 600_000
MAX_MEMBERS = 256
MAX_SUPERSEDED = 1024
RELAYS = 2


class MemberHeartbeat(NamedTuple):
    """A member's newest heartbeat; `description_digest` identifies its description."""

    description_digest: int
    counter: Counter
    plan_number: int


class MemberRow(NamedTuple):
    """A member, its newest heartbeat, and the time at which its counter last grew.

    A member known by its description only, with counter 0, is not reachable yet.
    """

    member: Member
    heartbeat: MemberHeartbeat
    last_advance_at: int


class Superseded(NamedTuple):
    """Name of the member whose description was replaced, and the time it was."""

    name: str
    superseded_at: int


class LocalMemberTable:
    """The members of this node's failure domain, by name.

    `heartbeat_ms`
        Interval of heartbeats; a member is suspected after three missed ones and
        unreachable after six. It is removed after `MEMBER_EXPIRY_MS`.
    `describe`
        Returns this node's own `Member`, with any version.
    """

    def __init__(self, clock, heartbeat_ms, describe):
        self.clock = clock
        self.heartbeat_ms = heartbeat_ms
        self.describe = describe
        self.version = 1
        self.stopping = False
        self.heartbeat_counter = 0
        self.rows = {}
        self.names_by_digest = {}
        self.superseded = {}

    def own(self):
        """Return this node's own description."""
        member = self.describe()
        if member.stopping != self.stopping:
            self.stopping = member.stopping
            self.version += 1
        return member._replace(version=self.version)

    def heartbeats(self, known=()):
        """Return the heartbeats of this node and of all reachable members.

        Heartbeats of others that are no newer than the `known` ones are left out.
        """
        own = self.own()
        known_counters = {
            heartbeat.description_digest: heartbeat.counter for heartbeat in known
        }
        newer = (
            row.heartbeat
            for row in self.reachable_rows().values()
            if row.heartbeat.counter
            > known_counters.get(row.heartbeat.description_digest, -1)
        )
        return (
            MemberHeartbeat(
                digest_description(own), self.heartbeat_counter, own.plan_number
            ),
            *newer,
        )

    def merge_heartbeats(self, heartbeats):
        """Merge a peer's heartbeats; return the digests without a description here."""
        own_digest = digest_description(self.own())
        unknown_digests = []
        for heartbeat in heartbeats:
            if heartbeat.description_digest == own_digest or self.is_superseded(
                heartbeat.description_digest
            ):
                continue
            if heartbeat.description_digest in self.names_by_digest:
                self.update_counter(heartbeat)
            else:
                unknown_digests.append(heartbeat.description_digest)
        return tuple(unknown_digests)

    def is_superseded(self, digest):
        """Return whether a newer description replaced the one with this digest."""
        old = self.superseded.get(digest)
        if old and old.name not in self.rows and old.name != self.describe().name:
            del self.superseded[digest]
            return False
        return old is not None

    def newer_descriptions(self, digest):
        """Return the description that replaced the one with this digest, if any."""
        old = self.superseded.get(digest)
        row = self.rows.get(old.name) if old else None
        return (row.member,) if row else ()

    def update_counter(self, heartbeat):
        """Merge the heartbeat of a known member."""
        name = self.names_by_digest[heartbeat.description_digest]
        row = self.rows[name]
        if heartbeat.counter > row.heartbeat.counter:
            self.rows[name] = MemberRow(row.member, heartbeat, self.clock.now())

    def merge_descriptions(self, members):
        """Merge descriptions of members of this failure domain."""
        for member in members:
            self.merge_description(member._replace(plan_number=0))

    def merge_description(self, member):
        """Merge one description if it is the newest with its name."""
        own = self.own()
        if member.failure_domain != own.failure_domain:
            return
        if member.name == own.name:
            self.raise_own_version(own, member)
            return
        known = self.rows.get(member.name)
        if known and not is_newer(member, known.member):
            if member != known.member:
                self.mark_superseded(member)
            return
        if known is None and len(self.rows) >= MAX_MEMBERS:
            return
        if known:
            self.remove_row(known)
        self.names_by_digest[digest_description(member)] = member.name
        self.rows[member.name] = self.row_for_description(member, known)

    def row_for_description(self, member, known):
        """Return the row of a new description; an incarnation keeps its counter."""
        if known and known.member.incarnation == member.incarnation:
            heartbeat = known.heartbeat._replace(
                description_digest=digest_description(member)
            )
            return MemberRow(member, heartbeat, known.last_advance_at)
        return MemberRow(
            member, MemberHeartbeat(digest_description(member), 0, 0), self.clock.now()
        )

    def raise_own_version(self, own, member):
        """Raise this node's version above that of another incarnation of its name."""
        if member.incarnation == own.incarnation:
            return
        if is_newer(member, own):
            self.version = member.version + 1
        self.mark_superseded(member)

    def remove_row(self, row):
        """Remove a row; its late heartbeats are ignored from now on."""
        del self.rows[row.member.name]
        del self.names_by_digest[row.heartbeat.description_digest]
        self.mark_superseded(row.member)

    def mark_superseded(self, member):
        """Ignore heartbeats that name a replaced description from now on."""
        self.superseded[digest_description(member)] = Superseded(
            member.name, self.clock.now()
        )
        while len(self.superseded) > MAX_SUPERSEDED:
            del self.superseded[next(iter(self.superseded))]

    def remove_expired(self):
        """Remove expired members and superseded descriptions."""
        now = self.clock.now()
        for row in [*self.rows.values()]:
            if age_of(now, row.last_advance_at) >= MEMBER_EXPIRY_MS:
                del self.rows[row.member.name]
                del self.names_by_digest[row.heartbeat.description_digest]
        for digest, old in [*self.superseded.items()]:
            if age_of(now, old.superseded_at) >= MEMBER_EXPIRY_MS:
                del self.superseded[digest]

    def find_descriptions(self, digests):
        """Return the descriptions of the digests known here."""
        own = self.own()._replace(plan_number=0)
        found = [
            self.rows[self.names_by_digest[digest]].member
            for digest in digests
            if digest in self.names_by_digest
        ]
        return (own, *found) if digest_description(own) in digests else tuple(found)

    def missed_heartbeats(self, row):
        """Return the number of heartbeat intervals since a member's last heartbeat."""
        return age_of(self.clock.now(), row.last_advance_at) // self.heartbeat_ms

    def reachable_rows(self):
        """Return the rows of reachable members, by name."""
        return {
            name: row
            for name, row in self.rows.items()
            if row.heartbeat.counter > 0
            and self.missed_heartbeats(row) < UNREACHABLE_HEARTBEATS
        }

    def suspects(self):
        """Return reachable members that missed `SUSPECT_HEARTBEATS` or more."""
        return [
            row.member
            for row in self.reachable_rows().values()
            if self.missed_heartbeats(row) >= SUSPECT_HEARTBEATS
        ]

    def unreachable(self):
        """Return known members that are not reachable, or not heard from yet."""
        reachable = self.reachable_rows()
        return [row.member for name, row in self.rows.items() if name not in reachable]

    def live(self):
        """Return the reachable members, this node first, as a tuple."""
        reachable = tuple(
            row.member._replace(plan_number=row.heartbeat.plan_number)
            for row in self.reachable_rows().values()
        )
        return (self.own(), *reachable)

    def relays(self):
        """Return the members that exchange reports with other failure domains."""
        return by_rank(self.live())[:RELAYS]


def by_rank(members):
    """Return members in order of preference as relays, identical on all nodes."""
    return sorted(members, key=lambda member: (member.stopping, rank_of(member.name)))


def digest_description(member):
    """Return the digest of a description, regardless of its plan number."""
    return digest_of(member._replace(plan_number=0))


def is_newer(member, other):
    """Return whether a description replaces another one of the same name."""
    return (member.version, member.incarnation) > (other.version, other.incarnation)
