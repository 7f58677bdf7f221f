"""Evidence on requests that crash targets, and the news of it for other VMs."""

from typing import NamedTuple

from pollenmount.crashes.quarantine import Crash, RequestQuarantine
from pollenmount.log import get_logger
from pollenmount.members.messages import AnsweredReport, CrashReport

__all__ = ["CrashEvidence", "CrashNews"]

# A report takes up to 130 bytes, and a batch goes to up to 59 members within a second
# (330 nodes in 24 failure domains): 1 Mbit/s of links of 3.5 to 5 Mbit/s.
MAX_REPORTS_IN_BATCH = 16

logger = get_logger("requests")


class CrashNews(NamedTuple):
    """Evidence as it is sent to other members."""

    crashes: tuple[CrashReport, ...] = ()
    answered: tuple[AnsweredReport, ...] = ()

    def is_empty(self):
        """Return whether there is nothing to tell."""
        return not (self.crashes or self.answered)

    def after(self, ms):
        """Return the same news a while later, with the ages of the crashes then."""
        crashes = tuple(r._replace(age_ms=r.age_ms + ms) for r in self.crashes)
        return self._replace(crashes=crashes)


class CrashEvidence:
    """The evidence in `quarantine`, and what other VMs have not been told of it.

    `listeners` are called with each (crash, digest) that another VM told first.
    """

    def __init__(self, clock):
        self.clock = clock
        self.quarantine = RequestQuarantine(clock)
        self.listeners = []
        self.new_crashes = []
        self.new_answered = []

    def report_crash(self, crash, digests):
        """Record a `Crash` that requests with these digests may have caused."""
        for digest in digests:
            if self.record(crash, digest):
                self.new_crashes.append((crash, digest))

    def report_answered(self, digests, survived):
        """Record that requests were answered, or that a target has survived them."""
        self.new_answered += [
            AnsweredReport(digest, survived)
            for digest in digests
            if self.clear(digest, survived)
        ]

    def record(self, crash, digest):
        """Record a crash; return whether it is news, and log it then."""
        is_news = self.quarantine.record(crash, (digest,))
        if is_news:
            fields = {
                "digest": digest,
                "target": crash.target,
                "incarnation": crash.born,
                "request": crash.cause,
                "age_ms": self.clock.now() - crash.at,
                "late": crash.late,
                "quarantine_ms": self.quarantine.left_ms((digest,)),
            }
            logger.info("request suspected", extra=fields)
        return is_news

    def clear(self, digest, survived):
        """Drop what an answer disproves; return whether there was any, and log it."""
        is_cleared = bool(self.quarantine.clear((digest,), survived))
        if is_cleared:
            fields = {"digest": digest, "survived": survived}
            logger.info("request cleared", extra=fields)
        return is_cleared

    def take_news(self):
        """Return the `CrashNews` for a batch; what does not fit is not told.

        Requests with most crashes come first, and what was disproved meanwhile is left
        out.
        """
        crashes, self.new_crashes = self.new_crashes, []
        answered, self.new_answered = self.new_answered, []
        counts = {digest: self.count(digest) for _, digest in crashes}
        suspected = [entry for entry in crashes if counts[entry[1]]]
        suspected.sort(key=lambda entry: -counts[entry[1]])
        reports = (self.make_report(*entry) for entry in suspected)
        return CrashNews(
            tuple(reports)[:MAX_REPORTS_IN_BATCH],
            tuple(answered[:MAX_REPORTS_IN_BATCH]),
        )

    def count(self, digest):
        """Return how many crashes there is evidence of for a request."""
        return len(self.quarantine.evidence(digest))

    def make_report(self, crash, digest):
        """Return the `CrashReport` of a crash, with its age now."""
        age_ms = max(self.clock.now() - crash.at, 0)
        return CrashReport(*crash[:3], digest, age_ms, crash.late)

    def merge(self, news):
        """Record the `CrashNews` of another VM; return the part that is new here."""
        answered = tuple(a for a in news.answered if self.merge_answered(a))
        crashes = tuple(report for report in news.crashes if self.merge_crash(report))
        return CrashNews(crashes, answered)

    def merge_answered(self, report):
        """Record an `AnsweredReport`; return whether it disproves anything."""
        return self.clear(report.digest, report.survived)

    def merge_crash(self, report):
        """Record a `CrashReport`; return whether it is new."""
        at = self.clock.now() - report.age_ms
        crash = Crash(*report[:3], at, report.late)
        is_new = self.record(crash, report.digest)
        if is_new:
            for listener in self.listeners:
                listener(crash, report.digest)
        return is_new

    def evidence_beside(self, news):
        """Return reports of other crashes of the same requests, which are known here.

        A VM that has started since has not heard of them.
        """
        told = {(report.digest, *report[:2]) for report in news.crashes}
        digests = dict.fromkeys(report.digest for report in news.crashes)
        reports = [
            self.make_report(crash, digest)
            for digest in digests
            for crash in self.quarantine.evidence(digest)
            if (digest, crash.target, crash.born) not in told
        ]
        return tuple(reports[:MAX_REPORTS_IN_BATCH])
