"""A target as one VM knows it, and which changes of it other VMs must hear of."""

from typing import NamedTuple

from pollenmount.fleet.messages import TargetDoubted, TargetSeen
from pollenmount.fleet.records import TargetRecord

__all__ = [
    "Doubt",
    "Target",
    "make_target_doubted",
    "make_target_seen",
    "must_notify",
]

# Smaller differences in the end of a warm-up come from transmission delays.
COLD_CHANGE_MS = 250


class Doubt(NamedTuple):
    """A target may be cold until `until`, or until a record newer than `order_key`."""

    order_key: tuple[int, int]
    until: int


class Target(NamedTuple):
    """A target known to this VM; times are in milliseconds of this VM's clock.

    `heard_at` is when the newest heartbeat arrived, on an entry VM that of the newest
    change, or when a source was lost. `heard_by` are the sources that receive its
    heartbeats, `cold_until` is the end of its warm-up. Until then, and while there is a
    `doubt`, only the entry VMs named in `cold_senders` may send to it.
    """

    record: TargetRecord
    heard_at: int
    cold_until: int
    heard_by: frozenset[str]
    cold_senders: tuple[str, ...] = ()
    doubt: Doubt | None = None

    @property
    def id(self):
        """Return the target's id."""
        return self.record.id

    @property
    def is_heard(self):
        """Return whether at least one source receives its heartbeats."""
        return bool(self.heard_by)

    def is_doubted(self, now):
        """Return whether the target may have turned cold since its last heartbeat."""
        return self.doubt is not None and now < self.doubt.until

    def may_be_cold(self, now):
        """Return whether the target is warming up at `now`, or may be."""
        return now < self.cold_until or self.is_doubted(now)


def make_target_seen(known, now):
    """Return the `TargetSeen` of a known target for another VM."""
    age_ms = max(0, now - known.heard_at)
    return TargetSeen(known.record, age_ms, known.cold_senders)


def make_target_doubted(known, cold_senders):
    """Return the `TargetDoubted` of a known target for other VMs."""
    record = known.record
    return TargetDoubted(record.id, record.born, record.sequence, cold_senders)


def must_notify(known, new):
    """Return whether other VMs must be notified of the change at once."""
    old, record = known.record, new.record
    same = old._replace(sequence=0, cold_ms=0) == record._replace(sequence=0, cold_ms=0)
    turned_cold = (
        record.cold_ms > 0 and new.cold_until > known.cold_until + COLD_CHANGE_MS
    )
    senders_changed = record.cold_ms > 0 and new.cold_senders != known.cold_senders
    cleared = known.doubt is not None and new.doubt is None
    return not same or turned_cold or senders_changed or cleared or not known.heard_by
