"""Tracks the load on targets: that of this VM, and that reported by other VMs."""

import contextlib

from pollenmount.fleet.records import TargetLoad

__all__ = ["LoadTracker"]


class LocalLoad:
    """This VM's load on one target, with the fields of `TargetLoad`."""

    def __init__(self):
        self.requests = 0
        self.tokens = 0
        self.streams = 0


class LoadTracker:
    """Load by target.

    `reported` returns the newest reported sums over all VMs, by target.
    """

    def __init__(self, reported):
        self.reported = reported
        self.local = {}
        self.last_report = {}

    @contextlib.contextmanager
    def track(self, id_, tokens, is_stream=False):
        """Count a request to a target; yield a function that ends its prefill."""
        local = self.local.setdefault(id_, LocalLoad())
        local.requests += 1
        local.tokens += tokens
        local.streams += is_stream
        pending = [tokens]

        def end_prefill():
            local.tokens -= pending.pop() if pending else 0

        try:
            yield end_prefill
        finally:
            end_prefill()
            local.requests -= 1
            local.streams -= is_stream
            if not local.requests:
                del self.local[id_]

    def report(self):
        """Return this VM's loads, to be reported to other VMs."""
        loads = tuple(
            TargetLoad(id_, local.requests, local.tokens, local.streams)
            for id_, local in self.local.items()
        )
        self.last_report = {load.id: load for load in loads}
        return loads

    def total_at(self, id_):
        """Return the `TargetLoad` of all VMs together on a target."""
        local = self.local.get(id_) or LocalLoad()
        local_load = TargetLoad(id_, local.requests, local.tokens, local.streams)
        total = self.reported().get(id_)
        if total is None:
            return local_load
        last_report = self.last_report.get(id_) or TargetLoad(id_, 0, 0)
        return TargetLoad(
            id_,
            local_load.requests + max(0, total.requests - last_report.requests),
            local_load.tokens + max(0, total.tokens - last_report.tokens),
            local_load.streams + max(0, total.streams - last_report.streams),
        )
