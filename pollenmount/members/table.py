"""Nodes that this node knows of, and when each was last heard of."""

from typing import NamedTuple

__all__ = ["DomainSummary", "Member", "MemberTable"]

SUSPECT_HEARTBEATS = 3


class Member(NamedTuple):
    """One node as it describes itself. Addresses are `IP:port`."""

    name: str
    incarnation: str
    region: str
    failure_domain: str
    callers: str
    peers: str
    control: str
    plan_number: int
    stopping: bool


class DomainSummary(NamedTuple):
    """What a failure domain can take of one model or service.

    `offer` is `name@version` or a service's name; counts are of requests.
    """

    failure_domain: str
    region: str
    offer: str
    adapters: tuple[str, ...]
    slots: int
    running: int
    waiting: int


class MemberTable:
    """Members by name; those not heard of for a while are unreachable.

    `heartbeat_ms`
        Interval of heartbeats; three missed ones make a member unreachable.
    `describe`
        Returns this node's own `Member`.
    """

    def __init__(self, clock, heartbeat_ms, describe):
        self.clock = clock
        self.describe = describe
        self.limit_ms = heartbeat_ms * SUSPECT_HEARTBEATS
        self.members = {}
        self.seen = {}
        self.summaries = {}

    def hear(self, member, summaries):
        """Take in what a member said itself."""
        self.members[member.name] = member
        self.seen[member.name] = self.clock.now()
        if summaries:
            self.summaries[member.failure_domain] = (self.clock.now(), summaries)

    def learn(self, members):
        """Take in members that another one knows, without taking them as alive."""
        for member in members:
            self.members.setdefault(member.name, member)

    def alive(self):
        """Return the members heard of lately, by name."""
        now = self.clock.now()
        return {
            name: self.members[name]
            for name, seen in self.seen.items()
            if now - seen < self.limit_ms
        }

    def live(self):
        """Return the members in reach, this node included, as a tuple."""
        own = self.describe()
        return tuple({**self.alive(), own.name: own}.values())

    def fresh_summaries(self):
        """Return the summaries of failure domains heard of lately."""
        now = self.clock.now()
        return tuple(
            summary
            for seen, summaries in self.summaries.values()
            for summary in summaries
            if now - seen < self.limit_ms
        )
