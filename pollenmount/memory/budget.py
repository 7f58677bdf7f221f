"""The memory that all listeners of a VM share, and the decision on what is shed first.

Without a known limit of memory, the budget only bounds the bytes of bodies.
"""

import collections

from pollenmount import task
from pollenmount.memory.holding import Holding, Phase
from pollenmount.memory.limits import UNKNOWN_LIMITS

__all__ = ["ByteBudget", "ByteBudgetExceededError", "MemoryBudget"]

MAX_BUFFERED_BODY_BYTES = 128 << 20
# What may always be held, however much memory other parts of the process use.
MIN_BUDGET_BYTES = 8 << 20
# Assumed for a connection until it is measured: its buffers, and the kernel's.
NEW_CONNECTION_BYTES = 65_536
# Turns of other tasks in which a connection that is ended frees its memory.
MAX_TURNS = 100
FIRST, SECOND, LAST = range(3)


class ByteBudgetExceededError(ValueError):
    """The bodies held in memory leave no room for more."""


class ByteBudget:
    """Limits the memory held by the bodies of running requests.

    `limit`
        Maximum of bytes reserved at a time.
    """

    def __init__(self, limit):
        self.limit = limit
        self.used = 0

    def reserve(self, count, holding=None):
        """Reserve `count` bytes, or raise `ByteBudgetExceededError`."""
        if self.used + count > self.limit:
            raise ByteBudgetExceededError("the memory for request bodies is used up")
        self.used += count

    def release(self, count):
        """Release reserved bytes."""
        self.used -= count


class MemoryBudget(ByteBudget):
    """Shares the memory and the connections of a VM among its listeners.

    `holdings` are the open connections, `other` is the memory of the process that they
    do not account for, and `queued` what the kernel buffers for them. `on_shed` is
    called with each holding that is ended, and `wait` lets other tasks run.
    """

    def __init__(
        self,
        clock,
        limits=UNKNOWN_LIMITS,
        on_shed=lambda holding: None,
        wait=task.sleep,
    ):
        super().__init__(MAX_BUFFERED_BODY_BYTES)
        self.wait = wait
        self.clock = clock
        self.limits = limits
        self.on_shed = on_shed
        self.holdings = set()
        self.other = 0
        self.queued = 0

    @property
    def is_known(self):
        """Return whether the memory of the VM is known."""
        return self.limits.memory_bytes > 0

    def for_listener(self):
        """Return the budget of one listener: this one, unless no limit is known."""
        if self.limits == UNKNOWN_LIMITS:
            return MemoryBudget(self.clock)
        return self

    def open(self, address, **options):
        """Return the `Holding` of a new connection."""
        holding = Holding(self, address, **options)
        self.holdings.add(holding)
        if self.is_known:
            holding.queued = NEW_CONNECTION_BYTES
            self.queued += holding.queued
        return holding

    def remove(self, holding):
        """Forget a connection that is closed."""
        self.holdings.discard(holding)
        self.queued -= holding.queued
        holding.queued = 0

    def update(self, resident_bytes):
        """Update the measurements: the memory of the process, and kernel buffers."""
        self.queued = 0
        for holding in self.holdings:
            self.queued += holding.update_queued()
        present = self.used - sum(holding.ahead for holding in self.holdings)
        self.other = max(0, resident_bytes - present)
        if self.is_known:
            self.limit = max(MIN_BUDGET_BYTES, self.limits.memory_bytes - self.other)

    def check_open(self, holding):
        """Raise `ByteBudgetExceededError` if a connection has been shed."""
        if holding.is_ended:
            raise ByteBudgetExceededError("the connection has been shed")

    def excess(self, count=0):
        """Return by how many bytes the budget would be exceeded with `count` more."""
        return self.used + self.queued + count - self.limit

    def reserve(self, count, holding=None):
        """Reserve bytes of a body, or raise `ByteBudgetExceededError`.

        Others are shed first if they make less progress or hold more, and free their
        memory before this body goes on. A body that is the only one is received, if it
        is permitted at all.
        """
        if not self.is_known or holding is None:
            super().reserve(count)
            return
        for _ in range(MAX_TURNS):
            if self.has_room(count, holding):
                self.used += count
                return
            if self.excess(count) > self.doomed():
                break
            self.wait()
        raise ByteBudgetExceededError("the memory of this VM is used up")

    def has_room(self, count, holding):
        """Return whether `count` bytes more have room; if not, shed for them.

        The room is there once the connections that are shed have freed their memory.
        """
        if not self.is_known or self.used <= holding.held:
            return True
        while self.excess(count) > self.doomed():
            victim = self.find_victim(holding)
            if victim is None or victim is holding:
                break
            self.shed(victim)
        return self.excess(count) <= 0

    def doomed(self):
        """Return the bytes of connections that are ended and about to be closed."""
        return sum(holding.size for holding in self.holdings if holding.is_ended)

    def relieve(self):
        """Shed until the budget is kept, as far as there is something to shed."""
        while self.is_known and self.excess() > self.doomed():
            victim = self.find_victim(None, may_cut=True)
            if victim is None:
                return
            self.shed(victim)

    def find_victim(self, asking, may_cut=False):
        """Return the connection to shed, or None.

        Bodies and responses that make no progress come first, then bodies that do,
        `asking` among them. With `may_cut`, responses that are being read come last.
        """
        now = self.clock.now()
        ranks = ((rank(h, now), h) for h in self.holdings if not h.is_ended and h.end)
        allowed = LAST if may_cut else SECOND
        ranked = [(r, h) for r, h in ranks if r is not None and r <= allowed and h.size]
        if not ranked:
            return None
        first = min(r for r, _ in ranked)
        candidates = [h for r, h in ranked if r == first]
        totals = self.totals_by_owner()
        return max(candidates, key=lambda h: (totals[h.owner], h.size, h is not asking))

    def totals_by_owner(self):
        """Return what the connections of each account or address hold together."""
        totals = {}
        for holding in self.holdings:
            totals[holding.owner] = totals.get(holding.owner, 0) + holding.size
        return totals

    def is_full(self, spare=0):
        """Return whether there are as many connections as there may be, and `spare`.

        Those that have been ended are about to be closed.
        """
        limit = self.limits.connections + spare
        if len(self.holdings) < limit:
            return False
        return sum(not holding.is_ended for holding in self.holdings) >= limit

    def make_slot(self):
        """End a connection to make room for another one; return whether one was ended.

        Those that linger come first, then transfers without progress, then idle ones:
        of the address that has the most, the one that has been idle for longest.
        """
        now = self.clock.now()
        counts = collections.Counter(holding.address for holding in self.holdings)
        slots = [
            (slot_rank(h, now), -counts[h.address], h.progress_at, id(h), h)
            for h in self.holdings
            if not h.is_ended and h.end and slot_rank(h, now) is not None
        ]
        if not slots:
            return False
        self.shed(min(slots)[-1])
        return True

    def shed(self, holding):
        """End a connection, and its request if the body has not arrived."""
        holding.is_ended = True
        self.on_shed(holding)
        holding.end()


def rank(holding, now):
    """Return when a connection is shed if memory is short, None for never.

    A request that has been received whole may have run; it is not refused.
    """
    if holding.phase is Phase.LINGERING:
        return FIRST
    if holding.phase is Phase.BODY:
        return FIRST if holding.is_stalled(now) else SECOND
    if holding.phase is Phase.RESPONSE:
        return FIRST if holding.is_stalled(now) else LAST
    return None


def slot_rank(holding, now):
    """Return when a connection is ended if there are too many, None for never."""
    if holding.phase is Phase.LINGERING:
        return FIRST
    if holding.phase in (Phase.HEAD, Phase.BODY, Phase.RESPONSE):
        return FIRST if holding.is_stalled(now) else None
    if holding.phase is Phase.IDLE:
        return SECOND
    return None
