"""What a control VM tells its entry VMs of the levels, and when."""

from typing import NamedTuple

from pollenmount.accounts.admission import extrapolate_level
from pollenmount.fleet.messages import QuotaLevels
from pollenmount.fleet.records import AccountLevel

__all__ = ["LevelNews"]

MS_PER_S = 1000
KEEPALIVE_MS = 250
# Part of the capacity by which what entry VMs assume may differ from the level. All
# requests are admitted from a quarter of the capacity on.
TOLERATED_PART = 1 / 8
# Below this part of the capacity, the requested cost is needed more precisely, if it is
# more than the rate.
PRECISE_PART = 1 / 2
TOLERATED_CHANGE = 0.1
# Numbers from here on are sent without a fraction, which takes 9 bytes.
WHOLE_FROM = 100


class Sent(NamedTuple):
    """An `AccountLevel`, and when it was sent."""

    row: AccountLevel
    at: int


class LevelNews:
    """Selects the rows that entry VMs can't extrapolate from those sent before.

    An account with a full bucket is sent once when it becomes full, then not at all.
    """

    def __init__(self):
        self.sent = {}
        self.sent_at = 0

    def take(self, buckets, now):
        """Return the `QuotaLevels` that is due, or None."""
        rows = tuple(
            to_row(name, bucket, now)
            for name, bucket in buckets.items()
            if not is_default(bucket) and self.is_due(name, bucket, now)
        )
        full = tuple(
            name for name in self.sent if name in buckets and is_default(buckets[name])
        )
        for name in (*full, *(self.sent.keys() - buckets.keys())):
            del self.sent[name]
        self.sent.update((row.name, Sent(row, now)) for row in rows)
        if not rows and not full and now - self.sent_at < KEEPALIVE_MS:
            return None
        self.sent_at = now
        return QuotaLevels(rows, full)

    def is_due(self, name, bucket, now):
        """Return whether the level of an account is not what entry VMs assume."""
        sent = self.sent.get(name)
        if sent is None or bucket.part != sent.row.part:
            return True
        asked_per_ms = sent.row.asked_per_s / MS_PER_S
        assumed = extrapolate_level(
            *(sent.row.level, asked_per_ms, sent.row.part),
            *(bucket.limits, now - sent.at),
        )
        capacity = bucket.limits.capacity * bucket.part
        if abs(assumed - bucket.level) > TOLERATED_PART * capacity:
            return True
        if bucket.level >= PRECISE_PART * capacity:
            return False
        asked_now = bucket.asked_per_ms(now)
        is_over = max(asked_now, asked_per_ms) > bucket.limits.per_ms * bucket.part
        change = abs(asked_now - asked_per_ms)
        return is_over and change > TOLERATED_CHANGE * asked_per_ms

    def all_levels(self, buckets, now):
        """Return a complete `QuotaLevels`, for an entry VM that knows nothing."""
        rows = (
            to_row(name, bucket, now)
            for name, bucket in buckets.items()
            if not is_default(bucket)
        )
        return QuotaLevels(tuple(rows), complete=True)


def is_default(bucket):
    """Return whether a bucket is what entry VMs assume without news of it."""
    return bucket.is_full and bucket.part == 1


def to_row(name, bucket, now):
    """Return the `AccountLevel` of a bucket."""
    asked_per_s = bucket.asked_per_ms(now) * MS_PER_S
    return AccountLevel(name, compact(bucket.level), compact(asked_per_s), bucket.part)


def compact(value):
    """Return a number in a form that takes few bytes."""
    return int(value) if abs(value) >= WHOLE_FROM else round(value, 3)
