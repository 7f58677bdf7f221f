"""Nodes that this node knows of, local and remote, as one table.

`local` holds the members of the own failure domain, `remote` what other failure domains
report of themselves.
"""

from typing import NamedTuple

__all__ = ["DomainSummary", "Member", "MemberTable", "age_of"]

REMOTE_CACHE_MS = 200


class Member(NamedTuple):
    """One node as it describes itself. Addresses are `IP:port`.

    `version` grows with each change of the description; a restarted node takes a
    higher one than its earlier incarnation had.
    """

    name: str
    incarnation: str
    region: str
    failure_domain: str
    callers: str
    peers: str
    control: str
    plan_number: int
    stopping: bool
    version: int = 1


class DomainSummary(NamedTuple):
    """What a failure domain can take of one model or service.

    `offer` is `name@version` or a service's name; counts are of requests; `age_ms` is
    how long ago they were counted.
    """

    failure_domain: str
    region: str
    offer: str
    adapters: tuple[str, ...]
    slots: int
    running: int
    waiting: int
    age_ms: int = 0


class MemberTable:
    """Members in reach, from the local table and the remote one."""

    def __init__(self, clock, local, remote):
        self.clock = clock
        self.local = local
        self.remote = remote
        self.cache_key = None
        self.cached = ()

    def live(self):
        """Return the members in reach, this node included, as a tuple."""
        return (*self.local.live(), *self.remote_members())

    def remote_members(self):
        """Return the remote members; cached for `REMOTE_CACHE_MS` or until a change."""
        key = (self.remote.change_count, self.clock.now() // REMOTE_CACHE_MS)
        if key != self.cache_key:
            self.cache_key = key
            self.cached = self.remote.live()
        return self.cached

    def fresh_summaries(self):
        """Return the summaries of the other failure domains heard of lately."""
        return self.remote.fresh_summaries()


def age_of(now, moment):
    """Return the milliseconds since `moment`, never below 0."""
    return max(now - moment, 0)
