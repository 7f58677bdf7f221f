"""Exchange of evidence on whole requests between the VMs of a fleet."""

from pollenmount.crashes.repeated_lines import RepeatedLines
from pollenmount.fleet.messages import RequestsAnswered, RequestsCrashed
from pollenmount.fleet.observations import RESPONSE
from pollenmount.log import get_logger

__all__ = ["RequestEvidence"]

logger = get_logger("requests")


class RequestEvidence:
    """Takes the news of this VM's `RequestGuard`, for the `fleet` and for other VMs.

    `refusals` are the lines on refused calls, by the digest of the request.
    """

    def __init__(self, fleet, metrics):
        self.fleet = fleet
        self.metrics = metrics
        self.refusals = RepeatedLines(
            fleet.clock, lambda fields: logger.info("request refused", extra=fields)
        )

    def report_crash(self, crash, digests):
        """Report a `Crash` that requests with these digests may have caused."""
        age_ms = self.fleet.clock.now() - crash.at
        report = RequestsCrashed(*crash[:3], digests, age_ms, crash.late)
        self.fleet.handle(report, RESPONSE)

    def report_answered(self, digests, survived):
        """Report that requests were answered, or that a target has survived them."""
        self.fleet.handle(RequestsAnswered(digests, survived), RESPONSE)

    def record_refusal(self, call, digest, left_ms):
        """Log and count a call that is refused because its request is in quarantine."""
        self.metrics.requests_quarantined.labels(call.service).inc()
        self.refusals.add(
            digest,
            {
                "request": call.id,
                "digest": digest,
                "service": call.service,
                "left_ms": left_ms,
            },
        )
