"""Admission on an entry VM that hears of no level: by its own share of the rate."""

from typing import NamedTuple

from pollenmount.accounts.admission import MAX_WAIT_MS

__all__ = ["OwnShare"]

# Requests are admitted at random here, so that somewhat more than the share may run in
# a window by chance.
SAFETY_FACTOR = 0.5
# Unused share is kept for this time only, since all VMs may have kept some.
KEPT_MS = 2000


class KeptShare(NamedTuple):
    """The unused share of an account at a time, since the news stopped at `since`."""

    level: float
    at: int
    since: int


class OwnShare:
    """Admits requests by an equal share of the rate of each account.

    A request may cost more than its VM gets in many seconds. So it is admitted with the
    probability level / cost, and the level is used up either way: kept, it would be
    tried again and again. `draw` returns a random number from 0 to 1.
    """

    def __init__(self, draw):
        self.draw = draw
        self.kept = {}

    def admit(self, name, cost, per_ms, since, now):
        """Return 0 if a request is admitted, else after how many ms it could be.

        `per_ms` is the share of the rate, and `since` the time at which the news of
        levels stopped.
        """
        level = self.level(name, per_ms, since, now)
        if level >= cost:
            self.kept[name] = KeptShare(level - cost, now, since)
            return 0
        self.kept[name] = KeptShare(0.0, now, since)
        if self.draw() * cost < level:
            return 0
        if per_ms <= 0:
            return MAX_WAIT_MS
        return int(min(MAX_WAIT_MS, max(1, cost / (SAFETY_FACTOR * per_ms))))

    def level(self, name, per_ms, since, now):
        """Return the unused share of an account; it is 0 when the news stops."""
        kept = self.kept.get(name)
        if kept is None or kept.since != since:
            kept = KeptShare(0.0, since, since)
        per_ms *= SAFETY_FACTOR
        refill = per_ms * max(0, now - kept.at)
        return min(per_ms * KEPT_MS, kept.level + refill)
