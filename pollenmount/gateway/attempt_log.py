"""The log line of an attempt that brought no response."""

from pollenmount.gateway.dialect import shared_ids
from pollenmount.log import get_logger

__all__ = ["log_failed_attempt"]

logger = get_logger("calls")


def log_failed_attempt(call, progress, destination, error, now):
    """Log why an attempt of a call failed, and how far it came."""
    logger.info(
        "attempt failed",
        extra={
            "request": call.id,
            "digest": progress.digest,
            "place": destination.name,
            "version": destination.version,
            "address": destination.address,
            "problem": str(error),
            "not_run": error.not_run,
            "sends": progress.sends,
            "runs": progress.runs,
            "attempts": call.route.attempts,
            "remaining_ms": progress.remaining_ms,
            "paused_ms": progress.paused_ms,
            "crashed": progress.crashed,
            "known_crashes": progress.known_crashes,
            "last_gap_ms": progress.last_gap_ms(now),
            "last_event": progress.last_id,
            "parts": shared_ids(call.info.prompt),
            "head_arrived": progress.head_arrived,
            "event_arrived": progress.event_arrived,
        },
    )
