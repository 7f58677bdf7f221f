"""Budget of retries: a share of the requests, so that failures don't multiply load."""

__all__ = ["RetryBudget"]

DEFAULT_RATIO = 0.2
DEFAULT_BURST = 20.0


class RetryBudget:
    """Grows with each request, shrinks with each further attempt.

    `ratio`
        Further attempts a request (default 0.2).
    `burst`
        Largest budget saved up (default 20).
    """

    def __init__(self, ratio=DEFAULT_RATIO, burst=DEFAULT_BURST):
        self.ratio = ratio
        self.burst = burst
        self.available = burst

    def deposit(self):
        """Count one request."""
        self.available = min(self.burst, self.available + self.ratio)

    def withdraw(self):
        """Return whether a further attempt is within the budget, and count it."""
        if self.available < 1:
            return False
        self.available -= 1
        return True
