"""Builds the report of this failure domain for the others."""

from pollenmount.members.digest import digest_of
from pollenmount.members.remote import Offer, Report, Roster
from pollenmount.members.summary import sum_offers

__all__ = ["Reporter"]

REPORT_INTERVAL_MS = 2000
AUTHOR_MASK = 0xFFFFFFFF


class Reporter:
    """Builds reports and their rosters; caches them for `REPORT_INTERVAL_MS`.

    `targets`
        Returns the targets of this failure domain that accept requests.
    """

    def __init__(self, local, remote, targets):
        self.local = local
        self.remote = remote
        self.targets = targets
        self.cached = None
        self.created_at = 0
        self.cached_version = 0

    def report(self):
        """Return a current `Report`; its roster is kept for peers to fetch."""
        now = self.remote.clock.now()
        version = self.local.own().version
        stale = (
            now - self.created_at >= REPORT_INTERVAL_MS
            or version != self.cached_version
        )
        if self.cached is None or stale:
            self.cached = self.make_report()
            self.created_at = now
            self.cached_version = version
        return self.cached._replace(age_ms=now - self.created_at)

    def make_report(self):
        """Return a new report."""
        own = self.local.own()
        members = [*self.local.live()]
        members.sort(key=lambda member: member.name)
        totals = sum_offers(self.targets())
        number = max((member.plan_number for member in members), default=0)
        return Report(
            own.failure_domain,
            self.remote.next_sequence(),
            digest_of(own.incarnation) & AUTHOR_MASK,
            0,
            self.remote.set_own_roster(self.make_roster(own, members, totals)),
            number,
            lagging_plan_numbers(members, number),
            tuple(row.counts for row in totals),
        )

    def make_roster(self, own, members, totals):
        """Return the `Roster` of this failure domain."""
        return Roster(
            own.failure_domain,
            own.region,
            tuple(Offer(row.offer, row.adapters) for row in totals),
            tuple(member._replace(plan_number=0) for member in members),
        )


def lagging_plan_numbers(members, number):
    """Return the plan numbers other than `number`, by index of the member."""
    return {
        index: member.plan_number
        for index, member in enumerate(members)
        if member.plan_number != number
    }
