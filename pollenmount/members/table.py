"""All known nodes, local and remote, as one table.

`local` holds the members of the own failure domain, `remote` the reports of the other
failure domains.
"""

from typing import NamedTuple

from pollenmount.documents import Counter

__all__ = ["DomainSummary", "Member", "MemberTable", "age_of"]

REMOTE_CACHE_MS = 200


class Member(NamedTuple):
    """A node's description of itself. Addresses are `IP:port`.

    `version` grows with each change of the description; a restarted node raises it
    above that of its earlier incarnation.
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
    version: Counter = 1


class DomainSummary(NamedTuple):
    """Capacity and load of one model version or service in a failure domain.

    `offer` is `name@version` of a model or the name of a service; `running` and
    `waiting` count requests; `age_ms` is the age of the counts.
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
    """The reachable members of the local and the remote table."""

    def __init__(self, clock, local, remote):
        self.clock = clock
        self.local = local
        self.remote = remote
        self.cache_key = None
        self.cached = ()

    def live(self):
        """Return the reachable members, including this node, as a tuple."""
        return (*self.local.live(), *self.remote_members())

    def remote_members(self):
        """Return the remote members; cached for `REMOTE_CACHE_MS` or until a change."""
        key = (self.remote.change_count, self.clock.now() // REMOTE_CACHE_MS)
        if key != self.cache_key:
            self.cache_key = key
            self.cached = self.remote.live()
        return self.cached

    def fresh_summaries(self):
        """Return the summaries of the other failure domains with a valid report."""
        return self.remote.fresh_summaries()


def age_of(now, moment):
    """Return the milliseconds since `moment`, never below 0."""
    return max(now - moment, 0)
