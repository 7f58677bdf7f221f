"""Level of tokens that rises at a constant rate."""

__all__ = ["TokenBucket"]


class TokenBucket:
    """Token bucket that holds `level` tokens since `at`, the time of the last refill.

    Times are those of a `RunningClock`, so that a bucket is refilled for at most
    `MAX_STEP_MS` after a pause of the process.
    """

    def __init__(self, level, at):
        self.level = level
        self.at = at

    def add_until(self, at, per_ms):
        """Add the tokens for the time since the last refill, without an upper limit."""
        self.level += per_ms * (at - self.at)
        self.at = at
