"""Retry budget: a share of the requests, so that failures can't multiply the load.

VMs share it without coordination: there is no central counter, each uses its part.
"""

import collections
from typing import NamedTuple

__all__ = ["RetryBudget", "RetryLimits"]

SAFETY_FACTOR = 0.8


class RetryLimits(NamedTuple):
    """Retries allowed in a window: a `ratio` of the requests, and `slack` more."""

    window_ms: int = 10_000
    ratio: float = 0.2
    slack: float = 20.0


class RetryBudget:
    """Bounds the retries of requests to each service within a sliding window.

    `vm_share`
        Returns the share, 0 to 1, of the slack that this VM may use (default all).
    `slack_from`
        When this VM may use it. Before a window has passed since its start, a process
        that ran before it may have used it.
    `running`
        The `RunningClock` of this VM (default `clock`). Retries leave the window by it,
        so that a pause of the process gives no slack back.
    """

    def __init__(
        self, clock, limits=None, vm_share=lambda: 1.0, slack_from=0, running=None
    ):
        self.clock = clock
        self.running = running
        self.limits = limits or RetryLimits()
        self.vm_share = vm_share
        self.slack_from = slack_from
        self.requests = {}
        self.retries = {}
        self.reserved = collections.Counter()

    def record_request(self, service=""):
        """Count the first attempt of a caller's request to a service."""
        self.recent_requests(service).append(self.clock.now())

    def recent_requests(self, service):
        """Return the timestamps of the requests that are within the window."""
        return self.recent(self.requests, service, self.clock.now())

    def recent_retries(self, service):
        """Return the timestamps, in running time, of the retries within the window."""
        return self.recent(self.retries, service, self.running_now())

    def running_now(self):
        """Return the time by which retries leave the window."""
        return (self.running or self.clock).now()

    def recent(self, table, service, now):
        """Return the timestamps of a service that are within the window."""
        times = table.setdefault(service, collections.deque())
        oldest = now - self.limits.window_ms
        while times and times[0] <= oldest:
            times.popleft()
        return times

    def try_acquire(self, service=""):
        """Return whether one more retry is allowed, and count it if so."""
        retries = self.recent_retries(service)
        if len(retries) + 1 > self.allowed(service):
            return False
        retries.append(self.running_now())
        return True

    def used(self, service=""):
        """Return how many retries of a service were made in the present window."""
        return len(self.recent_retries(service))

    def allowed(self, service):
        """Return how many retries of a service are allowed in the present window."""
        requests = len(self.recent_requests(service))
        slack = self.limits.slack * self.share()
        return SAFETY_FACTOR * (self.limits.ratio * requests + slack)

    def share(self):
        """Return the share of the slack that this VM may use now."""
        return self.vm_share() if self.clock.now() >= self.slack_from else 0.0

    def reserve(self, service=""):
        """Return whether there is room for a retry that may become necessary.

        It is kept from other reservations, but not from retries that are made now.
        """
        retries = self.used(service) + self.reserved[service]
        if retries + 1 > self.allowed(service):
            return False
        self.reserved[service] += 1
        return True

    def covers_reserved(self, service=""):
        """Return whether there is still room for all reservations of a service."""
        return self.used(service) + self.reserved[service] <= self.allowed(service)

    def release(self, service=""):
        """End a reservation."""
        self.reserved[service] -= 1
