"""Keeps a request that crashes targets from being sent to one target after the other.

It reports the requests that a target had when it crashed, answers the reports of other
VMs on requests that were answered here, and tells which requests are in quarantine.
"""

import functools
from typing import NamedTuple

from pollenmount.fleet.messages import RequestsAnswered, RequestsCrashed
from pollenmount.fleet.observations import RESPONSE
from pollenmount.gateway.attempt import NO_CRASH_ERRORS, AttemptDestination
from pollenmount.gateway.recent_keys import RecentKeys, ReportLimit
from pollenmount.gateway.restart_watch import RestartWatch
from pollenmount.log import get_logger

__all__ = ["RequestGuard"]

MAX_ANSWERED = 8192
ANSWERED_TTL_MS = 60_000
MAX_REPORTS = 200
REPORT_WINDOW_MS = 1000
# Most processes that end have closed all their sockets by then.
VERDICT_WAIT_MS = 300
VERDICT_INTERVAL_MS = 20

logger = get_logger("requests")


class BrokenRequest(NamedTuple):
    """A request by its digest, which a target broke off at `at`; `call` is its id."""

    digest: str
    call: str
    destination: AttemptDestination
    at: int


class RequestGuard:
    """Evidence of this VM on whole requests, beside `fleet.request_quarantine`.

    `probe` and `restarts` tell whether a target has crashed. `answered` has the digests
    of requests that targets answered here lately. A failure is no such answer, since
    the target may have sent it in place of running the request.
    """

    def __init__(self, fleet, clock, metrics, probe):
        self.fleet = fleet
        self.clock = clock
        self.metrics = metrics
        self.probe = probe
        self.restarts = RestartWatch(fleet, clock)
        self.answered = RecentKeys(clock, MAX_ANSWERED, ANSWERED_TTL_MS)
        self.reports = ReportLimit(clock, MAX_REPORTS, REPORT_WINDOW_MS)
        fleet.listeners.append(self.answer_report)

    def record_answered(self, digest):
        """Record that a target has answered a request, or begun to."""
        self.answered.add(digest)
        if self.fleet.request_quarantine.is_suspected((digest,)):
            self.fleet.handle(RequestsAnswered((digest,)), RESPONSE)

    def answer_report(self, message, source):
        """Report requests that were answered here, if another VM suspects them."""
        if not isinstance(message, RequestsCrashed) or source == RESPONSE:
            return
        answered = tuple(d for d in message.digests if d in self.answered)
        if answered:
            self.fleet.handle(RequestsAnswered(answered), RESPONSE)

    def record_failure(self, call, progress, destination, error):
        """Report a failed attempt if its target crashed."""
        if (
            may_be_crash(progress, destination, error)
            and progress.digest not in self.answered
            and not self.is_leaving(destination)
        ):
            self.look_for_crash(call, progress, destination)

    def look_for_crash(self, call, progress, destination):
        """Report a request if its target has crashed, or is found to a little later."""
        broken = BrokenRequest(progress.digest, call.id, destination, self.clock.now())
        attempt = progress.sends

        def report_crash():
            if progress.sends == attempt:
                progress.crashed = True
            self.report(broken)

        progress.crashed = self.probe.has_crashed(destination, report_crash)
        if progress.crashed:
            self.report(broken)
        else:
            self.restarts.add(destination, functools.partial(self.report, broken))

    def report(self, broken):
        """Report that a target crashed under a request, unless one has answered it."""
        digest, destination = broken.digest, broken.destination
        if (
            digest not in self.answered
            and not self.is_leaving(destination)
            and self.reports.try_acquire()
        ):
            id_, born = destination.target_id, destination.incarnation
            age_ms = self.clock.now() - broken.at
            report = RequestsCrashed(id_, born, broken.call, (digest,), age_ms)
            self.fleet.handle(report, RESPONSE)

    def wait_for_verdict(self, call, progress, sleep):
        """Wait until it is known whether a suspected request has crashed its target.

        It is not for long, not past the call's deadline, and not if nothing asked.
        `sleep` waits for a number of milliseconds.
        """
        wait_until = min(self.clock.now() + VERDICT_WAIT_MS, call.deadline)
        while (
            progress.crashed is False
            and self.fleet.request_quarantine.is_suspected((progress.digest,))
            and self.clock.now() < wait_until
        ):
            sleep(VERDICT_INTERVAL_MS)

    def is_leaving(self, destination):
        """Return whether a target was about to end, so it ends without a crash."""
        known = self.fleet.targets.by_id.get(destination.target_id)
        return known is None or known.record.draining

    def left_ms(self, digest):
        """Return for how long a request is in quarantine, 0 if it is not."""
        return self.fleet.request_quarantine.left_ms((digest,))

    def record_refusal(self, call, digest, left_ms):
        """Log and count a call that is refused because its request is in quarantine."""
        self.metrics.requests_quarantined.labels(call.service).inc()
        logger.info(
            "request refused",
            extra={
                "request": call.id,
                "digest": digest,
                "service": call.service,
                "left_ms": left_ms,
            },
        )


def may_be_crash(progress, destination, error):
    """Return whether a target may have crashed before it answered an attempt."""
    if not destination.target_id or progress.event_arrived or error.not_run:
        return False
    return not isinstance(error, NO_CRASH_ERRORS)
