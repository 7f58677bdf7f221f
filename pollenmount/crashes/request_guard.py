"""Keeps a request that crashes targets from being sent to one target after the other.

It reports the requests that a target had when it crashed, answers the reports of other
VMs on requests that were answered here, and tells which requests are in quarantine.
"""

from pollenmount.crashes.quarantine import Crash
from pollenmount.crashes.recent_keys import RecentKeys, ReportLimit

__all__ = ["VERDICT_WAIT_MS", "RequestGuard"]

MAX_ANSWERED = 8192
ANSWERED_TTL_MS = 60_000
MAX_REPORTS = 200
REPORT_WINDOW_MS = 1000
# Most processes that end have closed all their sockets by then.
VERDICT_WAIT_MS = 300
VERDICT_INTERVAL_MS = 20


class RequestGuard:
    """Evidence of this VM on whole requests, beside a `RequestQuarantine`.

    `exchange` takes the news that this VM has, for its own `quarantine` and for other
    VMs: `report_crash(crash, digests)` and `report_answered(digests, survived)`.

    `answered` has the digests of requests that targets answered here lately, or began
    to: those crash no target before that. `survived` has those after which a target
    was still up a while later. A failure is no answer, since the target may have sent
    it in place of running the request.
    """

    def __init__(self, quarantine, exchange, clock):
        self.quarantine = quarantine
        self.exchange = exchange
        self.clock = clock
        self.answered = RecentKeys(clock, MAX_ANSWERED, ANSWERED_TTL_MS)
        self.survived = RecentKeys(clock, MAX_ANSWERED, ANSWERED_TTL_MS)
        self.reports = ReportLimit(clock, MAX_REPORTS, REPORT_WINDOW_MS)

    def record_answered(self, digest):
        """Record that a target has answered a request, or begun to."""
        self.answered.add(digest)
        self.clear((digest,), survived=False)

    def record_survived(self, digest):
        """Record that a target was still up a while after it served a request."""
        self.survived.add(digest)
        self.clear((digest,), survived=True)

    def clear(self, digests, survived):
        """Tell all VMs that requests which are suspected were answered, or survived."""
        if self.quarantine.is_suspected(digests):
            self.exchange.report_answered(digests, survived)

    def answer_report(self, digests):
        """Tell of what was answered or survived here, if another VM suspects it."""
        for known, survived in ((self.answered, False), (self.survived, True)):
            disproved = tuple(digest for digest in digests if digest in known)
            if disproved:
                self.clear(disproved, survived)

    def report_crash(self, attempt, crashed_at):
        """Report that a target may have crashed of a request, if nothing disproves it.

        `crashed_at` is the time of the crash.
        """
        disproved = self.survived if attempt.is_late else self.answered
        if attempt.digest not in disproved and self.reports.try_acquire():
            crash = Crash(*attempt.start, attempt.call.id, crashed_at, attempt.is_late)
            self.exchange.report_crash(crash, (attempt.digest,))

    def wait_for_verdict(self, deadline, progress, sleep):
        """Wait until it is known whether a suspected request has crashed its target.

        It is not for long, not past the call's deadline, and not if nothing asked.
        `progress` is that of the call, with the `digest` of its request and whether its
        last attempt's target has `crashed`, None if nothing asked. `sleep` waits for a
        number of milliseconds.
        """
        wait_until = min(self.clock.now() + VERDICT_WAIT_MS, deadline)
        while (
            progress.crashed is False
            and self.quarantine.is_suspected((progress.digest,))
            and self.clock.now() < wait_until
        ):
            sleep(VERDICT_INTERVAL_MS)

    def known_crashes(self, digest):
        """Return how many crashes a request is known to have caused."""
        return self.quarantine.known_crashes((digest,))

    def left_ms(self, digest):
        """Return for how long a request is in quarantine, 0 if it is not."""
        return self.quarantine.left_ms((digest,))
