"""Budget of retries: a share of the requests, so that failures don't multiply load."""

__all__ = ["RetryBudget"]

RATIO = 0.2
BURST = 20.0


class RetryBudget:
    """Grows with each request, shrinks with each further attempt.

    `ratio`
        Further attempts a request (default 0.2).
    `burst`
        Largest budget saved up (default 20).
    """

    def __init__(self, ratio=RATIO, burst=BURST):
        self.ratio = ratio
        self.burst = burst
        self.left = burst

    def deposit(self):
        """Count one request."""
        self.left = min(self.burst, self.left + self.ratio)

    def withdraw(self):
        """Return whether a further attempt is within the budget, and count it."""
        if self.left < 1:
            return False
        self.left -= 1
        return True
