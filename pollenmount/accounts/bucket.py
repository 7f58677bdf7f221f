"""Token bucket of one account, as one control VM keeps it for all entry VMs."""

from pollenmount.accounts.control_peers import SILENT_MS
from pollenmount.accounts.rates import AverageRate
from pollenmount.token_bucket import TokenBucket

__all__ = ["Bucket"]

# Time that the last report of a silent control VM doesn't cover: until its silence is
# noticed, and what its entry VMs had not reported before.
UNHEARD_MS = SILENT_MS + 300
# The higher one of two averages of the requested cost counts: a short one shows soon
# that an account has turned hot, a long one doesn't take a pause for the end of it.
SHORT_AVERAGE_MS = 500
LONG_AVERAGE_MS = 2000


class Bucket(TokenBucket):
    """Level of an account, refilled by `part` of its rate.

    `running_at` is the time of the `RunningClock`, since a control VM that stood still
    doesn't know yet what was spent meanwhile. `spent` is the average admitted cost in
    the time after which a control VM counts as silent. `is_known` tells that the
    account asked for nothing before.
    """

    def __init__(self, limits, level, now, running_at, is_known=True):
        super().__init__(level, running_at)
        self.limits = limits
        self.part = 1.0
        since = None if is_known else now
        self.asked = (
            AverageRate(SHORT_AVERAGE_MS, since),
            AverageRate(LONG_AVERAGE_MS, since),
        )
        self.spent = AverageRate(SILENT_MS)

    @property
    def capacity(self):
        """Return what the bucket holds here."""
        return self.limits.capacity * self.part

    @property
    def is_full(self):
        """Return whether the bucket is full."""
        return self.level >= self.capacity

    def asked_per_ms(self, now):
        """Return what requests cost, refused ones included."""
        return max(average.per_ms(now) for average in self.asked)

    def refill(self, part, now, running_at):
        """Refill the bucket up to `now`, from then on by another part of the rate."""
        self.add_until(running_at, self.limits.per_ms * self.part)
        if part < self.part:
            self.divide(part, now)
        self.part = part
        self.level = min(self.level, self.capacity)

    def divide(self, part, now):
        """Leave what is in the bucket, but for a part, to others that are silent.

        Until their silence was noticed, they may have spent in proportion.
        """
        others = (self.part - part) / part if part else 0.0
        self.level -= others * self.spent.per_ms(now) * UNHEARD_MS
        self.level = max(self.limits.floor, self.level)
        if self.level > 0:
            self.level *= part / self.part

    def spend(self, cost, asked, now):
        """Take a cost from the bucket; a negative one is a refund."""
        level = max(self.limits.floor, self.level - cost)
        self.level = min(self.capacity, level)
        for average in self.asked:
            average.add(asked, now)
        self.spent.add(cost, now)

    def set_limits(self, limits):
        """Take over new limits."""
        self.limits = limits
        self.level = max(limits.floor, min(self.level, self.capacity))
