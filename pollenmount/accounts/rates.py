"""Decaying average of an amount per millisecond."""

import math

__all__ = ["AverageRate"]

# Shorter times say too little of a rate.
MIN_KNOWN_MS = 250


class AverageRate:
    """Exponentially weighted average of the amounts added per ms.

    An amount has lost most of its weight `decay_ms` after it was added. With `since`,
    nothing is known of the time before; otherwise nothing was added then.
    """

    def __init__(self, decay_ms, since=None):
        self.decay_ms = decay_ms
        self.since = since
        self.value = 0.0
        self.at = 0

    def add(self, amount, now):
        """Add an amount at a time."""
        self.value = self.weighted(now) + amount / self.decay_ms
        self.at = now

    def per_ms(self, now):
        """Return the average at a time."""
        value = self.weighted(now)
        if self.since is None or not value:
            return value
        known_ms = max(MIN_KNOWN_MS, now - self.since)
        return value / -math.expm1(-known_ms / self.decay_ms)

    def weighted(self, now):
        """Return the sum of the amounts with their weights at a time."""
        if not self.value:
            return 0.0
        return self.value * math.exp(-max(0, now - self.at) / self.decay_ms)
