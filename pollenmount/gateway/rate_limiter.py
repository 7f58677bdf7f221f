"""Limits the rate of this VM's requests to targets that take only a few.

Such a target is cold, or has named a limit. Only a few VMs send to it, which control
VMs select; each has an equal share of its rate.
"""

from typing import NamedTuple

__all__ = ["RateLimit", "RateLimiter"]

MS_PER_S = 1000
SAFETY_FACTOR = 0.8


class RateLimit(NamedTuple):
    """Requests a second that a target takes from the VMs in `senders` together."""

    per_s: float
    senders: tuple[str, ...]


class RateLimiter:
    """Spaces this VM's requests to each target evenly; `name` is that of the VM."""

    def __init__(self, clock, name):
        self.clock = clock
        self.name = name
        self.last_sent_at = {}

    def may_send(self, id_, limits):
        """Return whether all `RateLimit`s of a target allow a request now."""
        return all(self.allows(id_, limit) for limit in limits)

    def allows(self, id_, limit):
        """Return whether one `RateLimit` of a target allows a request now."""
        if self.name not in limit.senders:
            return False
        rate = SAFETY_FACTOR * limit.per_s / len(limit.senders)
        last = self.last_sent_at.get(id_)
        return last is None or self.clock.now() - last >= MS_PER_S / rate

    def record(self, id_):
        """Record that a request was sent to a target with a limit."""
        self.last_sent_at[id_] = self.clock.now()

    def forget(self, id_):
        """Drop the state of a target that has left."""
        self.last_sent_at.pop(id_, None)
