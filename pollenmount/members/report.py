"""Makes this failure domain's report for the others."""

from pollenmount.members.digest import digest_of
from pollenmount.members.remote import Offer, Report, Roster
from pollenmount.members.summary import sum_offers

__all__ = ["Reporter"]

REPORT_MS = 2000
AUTHOR_BITS = 0xFFFFFFFF


class Reporter:
    """Makes reports and the roster they name, a new one every `REPORT_MS`.

    `targets`
        Returns the targets of this failure domain that may get work.
    """

    def __init__(self, local, remote, targets):
        self.local = local
        self.remote = remote
        self.targets = targets
        self.newest = None
        self.made = 0
        self.version = 0

    def report(self):
        """Return the newest `Report`; its roster is kept for peers that ask for it."""
        now = self.remote.clock.now()
        version = self.local.own().version
        stale = now - self.made >= REPORT_MS or version != self.version
        if self.newest is None or stale:
            self.newest = self.make()
            self.made = now
            self.version = version
        return self.newest._replace(age_ms=now - self.made)

    def make(self):
        """Make a new report."""
        own = self.local.own()
        members = [*self.local.live()]
        members.sort(key=lambda member: member.name)
        sums = sum_offers(self.targets())
        number = max((member.plan_number for member in members), default=0)
        return Report(
            own.failure_domain,
            self.remote.next_sequence(),
            digest_of(own.incarnation) & AUTHOR_BITS,
            0,
            self.remote.set_own_roster(self.roster(own, members, sums)),
            number,
            behind(members, number),
            tuple(row.counts for row in sums),
        )

    def roster(self, own, members, sums):
        """Return the slowly changing part."""
        return Roster(
            own.failure_domain,
            own.region,
            tuple(Offer(row.offer, row.adapters) for row in sums),
            tuple(member._replace(plan_number=0) for member in members),
        )


def behind(members, number):
    """Return the plan numbers below `number`, by index of the member."""
    return {
        index: member.plan_number
        for index, member in enumerate(members)
        if member.plan_number != number
    }
