"""Budgets that all VMs share without a central counter: each takes an equal part."""

import collections
import zlib

__all__ = ["ColdGate", "RetryBudget"]

MS_PER_S = 1000
CAUTION = 0.8
MAX_SHARERS = 3


class RetryBudget:
    """Arrivals at a service beyond the first of each request, in a sliding window.

    `share()` is the part of the fixed allowance that this VM may use, 0 to 1.
    """

    def __init__(self, clock, bounds, share):
        self.clock = clock
        self.window_ms = int(bounds.retry_window_s * MS_PER_S)
        self.ratio = bounds.retry_share
        self.slack = bounds.retry_slack
        self.share = share
        self.requests = {}
        self.extras = {}

    def note_request(self, service):
        """Count a caller's request for a service."""
        self.recent(self.requests, service).append(self.clock.now())

    def recent(self, table, service):
        """Return the times of a service within the window."""
        times = table.setdefault(service, collections.deque())
        oldest = self.clock.now() - self.window_ms
        while times and times[0] <= oldest:
            times.popleft()
        return times

    def take(self, service):
        """Return whether one more arrival is allowed, and count it."""
        requests = len(self.recent(self.requests, service))
        extras = self.recent(self.extras, service)
        allowed = CAUTION * (self.ratio * requests + self.slack * self.share())
        if len(extras) + 1 > allowed:
            return False
        extras.append(self.clock.now())
        return True


class ColdGate:
    """Requests to cold targets: this VM's part of what such a target takes a second.

    Few VMs of a region share a target, picked alike by all of them: a part of one
    request a second for each of many would add up to too much at one moment.
    """

    def __init__(self, clock, name):
        self.clock = clock
        self.name = name
        self.sent = {}

    def may_send(self, id_, per_s, entries):
        """Return whether a request may go to a cold target now.

        `entries` are the names of the region's entry VMs.
        """
        sharers = pick_sharers(id_, per_s, entries)
        if self.name not in sharers:
            return False
        rate = CAUTION * per_s / len(sharers)
        last = self.sent.get(id_)
        return last is None or self.clock.now() - last >= MS_PER_S / rate

    def note(self, id_):
        """Count a request to a cold target."""
        self.sent[id_] = self.clock.now()

    def forget(self, id_):
        """Forget a cold target that has left."""
        self.sent.pop(id_, None)


def pick_sharers(id_, per_s, entries):
    """Return the VMs that may send to a cold target (rendezvous hash)."""
    count = max(1, min(MAX_SHARERS, int(per_s)))
    ranked = sorted(entries, key=lambda name: zlib.crc32(f"{id_} {name}".encode()))
    return ranked[:count]
