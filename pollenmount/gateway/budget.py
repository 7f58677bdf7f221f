"""Rate budgets shared by all entry VMs without coordination.

There is no central counter: each VM uses an equal share.
"""

import collections

__all__ = ["RetryBudget", "WarmupLimiter"]

MS_PER_S = 1000
SAFETY_FACTOR = 0.8


class RetryBudget:
    """Bounds the retries of requests to a service within a sliding window.

    Retries may reach a share of the requests (`ratio`) and a fixed allowance (`slack`),
    of which this VM may use `vm_share()`, 0 to 1.
    """

    def __init__(self, clock, bounds, vm_share):
        self.clock = clock
        self.window_ms = int(bounds.retry_window_s * MS_PER_S)
        self.ratio = bounds.retry_share
        self.slack = bounds.retry_slack
        self.vm_share = vm_share
        self.requests = {}
        self.retries = {}

    def record_request(self, service):
        """Count the first attempt of a caller's request to a service."""
        self.recent(self.requests, service).append(self.clock.now())

    def recent(self, table, service):
        """Return the timestamps of a service that are within the window."""
        times = table.setdefault(service, collections.deque())
        oldest = self.clock.now() - self.window_ms
        while times and times[0] <= oldest:
            times.popleft()
        return times

    def try_acquire(self, service):
        """Return whether one more retry is allowed, and count it if so."""
        requests = len(self.recent(self.requests, service))
        retries = self.recent(self.retries, service)
        allowed = SAFETY_FACTOR * (self.ratio * requests + self.slack * self.vm_share())
        if len(retries) + 1 > allowed:
            return False
        retries.append(self.clock.now())
        return True


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
