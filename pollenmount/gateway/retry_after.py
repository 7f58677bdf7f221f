"""After how long a caller should come back whose call got no response of a target."""

from pollenmount.errors import STOPPING_RETRY_MS
from pollenmount.gateway.target_pauses import spread_wait_ms

__all__ = ["RetryAfter"]

MIN_RETRY_AFTER_MS = 250
MAX_RETRY_AFTER_MS = 4000


class RetryAfter:
    """Suggests when to retry.

    `outage_since` maps a service and the home regions of a route to the time since when
    no target has been found.
    """

    def __init__(self, clock, random):
        self.clock = clock
        self.random = random
        self.outage_since = {}

    def record_first_byte(self, call):
        """Record that a target has responded to a call."""
        self.outage_since.pop((call.service, call.route.homes), None)

    def suggest_ms(self, call, progress, is_stopping):
        """Return after how many milliseconds the caller should retry.

        That is once the first pause is over, if all targets ask for one. An outage is
        likely to go on for as long as it has lasted so far. The wait is at most a third
        of the caller's remaining time.
        """
        if progress.overload:
            return progress.overload.retry_after_ms
        if progress.quarantine_ms:
            return progress.quarantine_ms
        if is_stopping:
            return STOPPING_RETRY_MS
        left_ms = call.deadline - self.clock.now()
        if progress.pause_ms:
            wait_ms = spread_wait_ms(progress.pause_ms, self.random)
            return max(1, min(wait_ms, left_ms // 3))
        outage_ms = self.outage_ms(call, progress)
        wait_ms = max(MIN_RETRY_AFTER_MS, progress.retry_after_ms, outage_ms)
        return max(1, min(wait_ms, MAX_RETRY_AFTER_MS, left_ms // 3))

    def outage_ms(self, call, progress):
        """Return how long no target has been found for calls like this one."""
        if progress.version is not None:
            return 0
        now = self.clock.now()
        key = (call.service, call.route.homes)
        return now - self.outage_since.setdefault(key, now)
