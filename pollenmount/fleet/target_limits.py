"""Limits that targets name on the requests a second from all VMs together.

A VM that reads a limit in a response tells the control VMs, which select the entry VMs
that share it, as for cold targets. It is in force for one incarnation, until a response
names another one or none, or nobody has read it for a while.
"""

from typing import NamedTuple

from pollenmount.fleet.messages import TargetLimited

__all__ = ["LIMIT_REFRESH_MS", "LIMIT_TTL_MS", "TargetLimit", "TargetLimits"]

# A VM that still reads a limit says so again after this time.
LIMIT_REFRESH_MS = 5000
# A VM that was cut off while a limit ended may keep it for as long.
LIMIT_TTL_MS = 30_000
MAX_LIMITS = 4096


class TargetLimit(NamedTuple):
    """A limit of an incarnation, and the entry VMs that may send to it.

    `named_at` is when this VM last heard that it is named, and `told_at` when others
    were last told so, both in milliseconds of this VM's clock.
    """

    born: int
    per_s: float
    senders: tuple[str, ...]
    named_at: int
    told_at: int


class TargetLimits:
    """Limits in force, as `TargetLimit` by target id."""

    def __init__(self, clock):
        self.clock = clock
        self.by_id = {}

    def get(self, id_, born):
        """Return the limit in force for an incarnation, or None."""
        limit = self.by_id.get(id_)
        if limit is None or limit.born != born:
            return None
        is_current = self.clock.now() - limit.named_at < LIMIT_TTL_MS
        return limit if is_current else None

    def update(self, message):
        """Store a `TargetLimited`; return whether other VMs must be told."""
        newest = self.by_id.get(message.id)
        if newest is not None and message.born < newest.born:
            return False
        known = self.get(message.id, message.born)
        if message.per_s is None:
            self.forget(message.id)
            return known is not None
        return self.store(message, known)

    def store(self, message, known):
        """Store a limit that replaces `known`, or None; return whether it is news."""
        now = self.clock.now()
        # A VM that reads the limit itself does not know the senders.
        senders = message.senders or (known.senders if known else ())
        limit = TargetLimit(message.born, message.per_s, senders, now, now)
        is_news = (
            known is None
            or (known.per_s, known.senders) != (limit.per_s, limit.senders)
            or now - known.told_at >= LIMIT_REFRESH_MS
        )
        if not is_news:
            limit = limit._replace(told_at=known.told_at)
        if message.id not in self.by_id and len(self.by_id) >= MAX_LIMITS:
            del self.by_id[next(iter(self.by_id))]
        self.by_id[message.id] = limit
        return is_news

    def messages(self):
        """Yield a `TargetLimited` for each limit in force."""
        for id_, limit in self.by_id.items():
            if self.get(id_, limit.born) is not None:
                yield TargetLimited(id_, limit.born, limit.per_s, limit.senders)

    def forget(self, id_):
        """Drop the limit of a target that has left."""
        self.by_id.pop(id_, None)
