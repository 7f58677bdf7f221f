"""Admission of requests: limits of a caller."""

import contextlib

from pollenmount.errors import Refusal, RefusalKind

__all__ = ["Admission"]

RETRY_AFTER_MS = 1000


class Admission:
    """Counts the requests of each caller that run on this node."""

    def __init__(self):
        self.running = {}

    def check(self, caller):
        """Return a `Refusal` if the caller has too many requests running."""
        if (
            caller.concurrency
            and self.running.get(caller.name, 0) >= caller.concurrency
        ):
            message = "too many requests at a time; wait for one to end"
            return Refusal(
                RefusalKind.RATE_LIMITED, message, retry_after_ms=RETRY_AFTER_MS
            )
        return None

    @contextlib.contextmanager
    def slot(self, caller):
        """Count one request of the caller while the context lasts."""
        self.running[caller.name] = self.running.get(caller.name, 0) + 1
        try:
            yield
        finally:
            self.running[caller.name] -= 1
            if not self.running[caller.name]:
                del self.running[caller.name]
