"""Reports of other failure domains about themselves, gossiped between relays.

A `Report` is small and changes often. It names by digest a `Roster`, which changes only
when a member or an offer is added or removed, and is fetched if missing. A report
carries its age, since the clocks of two VMs can't be compared.
"""

import functools
import zlib
from typing import NamedTuple

from pollenmount.documents import Counter
from pollenmount.members.digest import digest_of
from pollenmount.members.summary import Counts
from pollenmount.members.table import DomainSummary, Member, age_of

__all__ = ["Offer", "RemoteDomainTable", "Report", "Roster", "RosterKey", "domain_key"]

REPORT_TTL_HEARTBEATS = 30
REPORT_EXPIRY_MS = 3_600_000
MAX_DOMAINS = 256


class Offer(NamedTuple):
    """A model version or service that can be requested, with its loaded adapters."""

    name: str
    adapters: tuple[str, ...]


class Roster(NamedTuple):
    """The members and offers of a failure domain, which change slowly."""

    failure_domain: str
    region: str
    offers: tuple[Offer, ...]
    members: tuple[Member, ...]


class Report(NamedTuple):
    """The state of a failure domain, as reported by itself.

    The higher (`sequence`, `author`) is newer; `author` identifies the reporting
    process. `roster` is a digest. `counts` are in the order of the roster's offers.
    `lagging_plan_numbers` holds plan numbers other than `plan_number`, by the index of
    the member in the roster.
    """

    failure_domain: str
    sequence: Counter
    author: int
    age_ms: int
    roster: int
    plan_number: int
    lagging_plan_numbers: dict[int, int]
    counts: tuple[Counts, ...]


class RosterKey(NamedTuple):
    """Identifies one state of a failure domain's roster."""

    failure_domain: str
    digest: int


class ReceivedReport(NamedTuple):
    """A report, and its creation time by this node's clock."""

    report: Report
    created_at: int


class RosterWithDigest(NamedTuple):
    """A roster and its digest."""

    digest: int
    roster: Roster


class RemoteDomainTable:
    """Reports and rosters of the other failure domains.

    `heartbeat_ms`
        Interval of heartbeats; a report is valid for thirty of them. A failure domain
        without a new report for `REPORT_EXPIRY_MS` is removed.
    """

    def __init__(self, clock, heartbeat_ms, failure_domain):
        self.clock = clock
        self.report_ttl_ms = heartbeat_ms * REPORT_TTL_HEARTBEATS
        self.failure_domain = failure_domain
        self.own_sequence = 0
        self.own_roster = None
        self.received = {}
        self.rosters = {}
        self.change_count = 0

    def next_sequence(self):
        """Return a sequence above all known ones of the own failure domain."""
        self.own_sequence += 1
        return self.own_sequence

    def merge_reports(self, reports):
        """Merge reports that are newer than the known ones."""
        for report in reports:
            if report.failure_domain == self.failure_domain:
                self.raise_own_sequence(report.sequence)
            else:
                self.merge_report(report)

    def merge_report(self, report):
        """Merge one report of another failure domain if it is newer."""
        held = self.received.get(report.failure_domain)
        if held is None and len(self.received) >= MAX_DOMAINS:
            return
        if held and version_key(report) <= version_key(held.report):
            return
        created_at = self.clock.now() - max(report.age_ms, 0)
        self.received[report.failure_domain] = ReceivedReport(report, created_at)
        self.change_count += 1

    def raise_own_sequence_from(self, sequences):
        """Raise the own sequence to the one among a peer's known sequences."""
        self.raise_own_sequence(sequences.get(domain_key(self.failure_domain), 0))

    def raise_own_sequence(self, sequence):
        """Raise the own sequence to one that a peer knows."""
        self.own_sequence = max(self.own_sequence, sequence)

    def sequence_of(self, failure_domain):
        """Return the highest known sequence of a failure domain, 0 if none."""
        held = self.received.get(failure_domain)
        return held.report.sequence if held else 0

    def known_sequences(self):
        """Return the highest known sequence of each failure domain, by `domain_key`."""
        own = {domain_key(self.failure_domain): self.own_sequence}
        held = {
            domain_key(domain): held.report.sequence
            for domain, held in self.received.items()
        }
        return own | held

    def reports_newer_than(self, sequences, own=None):
        """Return valid reports that a peer with these sequences and report lacks."""
        known = dict(sequences)
        if own:
            known[domain_key(own.failure_domain)] = own.sequence
        now = self.clock.now()
        return tuple(
            held.report._replace(age_ms=age_of(now, held.created_at))
            for domain, held in self.received.items()
            if held.report.sequence > known.get(domain_key(domain), 0)
            and self.is_fresh(held)
        )

    def sequence_sum(self):
        """Return the sum of valid sequences, higher on a node with newer reports."""
        fresh = (held for held in self.received.values() if self.is_fresh(held))
        return sum(held.report.sequence for held in fresh)

    def is_fresh(self, held):
        """Return whether a report is still valid."""
        return age_of(self.clock.now(), held.created_at) < self.report_ttl_ms

    def fresh_domains(self):
        """Yield (received report, roster with digest) of each domain while valid."""
        for domain, held in self.received.items():
            if domain in self.rosters and self.is_fresh(held):
                yield held, self.rosters[domain]

    def missing_rosters(self, reports):
        """Return the keys of the rosters that the reports name and this node lacks."""
        return tuple(
            RosterKey(report.failure_domain, report.roster)
            for report in reports
            if not self.has_roster(report.failure_domain, report.roster)
        )

    def has_roster(self, failure_domain, digest):
        """Return whether the known roster of a failure domain has this digest."""
        held = self.find_roster(failure_domain)
        return held is not None and held.digest == digest

    def merge_rosters(self, rosters):
        """Keep the rosters that known reports name."""
        for roster in rosters:
            held = self.received.get(roster.failure_domain)
            digest = digest_of(roster)
            if held and held.report.roster == digest:
                self.rosters[roster.failure_domain] = RosterWithDigest(digest, roster)
                self.change_count += 1

    def set_own_roster(self, roster):
        """Store the own failure domain's roster for peers; return its digest."""
        if self.own_roster is None or self.own_roster.roster != roster:
            self.own_roster = RosterWithDigest(digest_of(roster), roster)
        return self.own_roster.digest

    def find_rosters(self, keys):
        """Return the known ones of the rosters with these keys."""
        return tuple(
            held.roster
            for key in keys
            if (held := self.find_roster(key.failure_domain))
            and held.digest == key.digest
        )

    def find_roster(self, failure_domain):
        """Return the known roster of a failure domain, or None."""
        if failure_domain == self.failure_domain:
            return self.own_roster
        return self.rosters.get(failure_domain)

    def remove_expired(self):
        """Remove failure domains whose last report is older than `REPORT_EXPIRY_MS`."""
        now = self.clock.now()
        for domain, held in [*self.received.items()]:
            if age_of(now, held.created_at) >= REPORT_EXPIRY_MS:
                del self.received[domain]
                self.rosters.pop(domain, None)
                self.change_count += 1

    def live(self):
        """Return the members of the failure domains with a valid report, as a tuple."""
        return tuple(
            member._replace(
                plan_number=held.report.lagging_plan_numbers.get(
                    index, held.report.plan_number
                )
            )
            for held, kept in self.fresh_domains()
            for index, member in enumerate(kept.roster.members)
        )

    def fresh_summaries(self):
        """Return summaries of the failure domains with a valid report, as a tuple."""
        now = self.clock.now()
        return tuple(
            summary
            for held, kept in self.fresh_domains()
            if held.report.roster == kept.digest
            for summary in summaries(
                held.report, kept.roster, age_of(now, held.created_at)
            )
        )


def summaries(report, roster, age_ms):
    """Yield a `DomainSummary` for each offer of a roster."""
    for offer, counts in zip(roster.offers, report.counts, strict=False):
        yield DomainSummary(
            roster.failure_domain, roster.region, *offer, *counts, age_ms
        )


def version_key(report):
    """Return the sort key by which the newer of two reports is higher."""
    return report.sequence, report.author


@functools.cache
def domain_key(failure_domain):
    """Return the number that replaces a failure domain's name in messages."""
    return zlib.crc32(failure_domain.encode())
