"""Limits the rate of requests to targets that are still warming up."""

__all__ = ["WarmupLimiter"]

MS_PER_S = 1000
SAFETY_FACTOR = 0.8


class WarmupLimiter:
    """Limits this VM's rate of requests to targets that are still warming up.

    Only a few VMs send to such a target; control VMs select them.
    """

    def __init__(self, clock, name):
        self.clock = clock
        self.name = name
        self.last_sent_at = {}

    def may_send(self, id_, rate_per_s, senders):
        """Return whether this VM may send a request to a cold target now.

        `senders` are the names of the VMs that share the target's rate.
        """
        if self.name not in senders:
            return False
        rate = SAFETY_FACTOR * rate_per_s / len(senders)
        last = self.last_sent_at.get(id_)
        return last is None or self.clock.now() - last >= MS_PER_S / rate

    def record(self, id_):
        """Record that a request was sent to a cold target."""
        self.last_sent_at[id_] = self.clock.now()

    def forget(self, id_):
        """Drop the state of a target that has left."""
        self.last_sent_at.pop(id_, None)
