"""Retry budget: a share of the requests, so that failures can't multiply the load."""

__all__ = ["RetryBudget"]

DEFAULT_RATIO = 0.2
DEFAULT_BURST = 20.0


class RetryBudget:
    """Grows with each request and shrinks with each retry.

    `ratio`
        Retries allowed for each request (default 0.2).
    `burst`
        Maximum budget that accumulates (default 20).
    """

    def __init__(self, ratio=DEFAULT_RATIO, burst=DEFAULT_BURST):
        self.ratio = ratio
        self.burst = burst
        self.available = burst

    def record_request(self):
        """Record a request, which adds `ratio` of a retry to the budget."""
        self.available = min(self.burst, self.available + self.ratio)

    def try_acquire(self):
        """Return whether a retry is within the budget, and deduct it if so."""
        if self.available < 1:
            return False
        self.available -= 1
        return True
