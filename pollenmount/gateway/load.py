"""Work at the targets: this VM's own, and what others reported of theirs."""

import contextlib

from pollenmount.fleet.messages import TargetLoad

__all__ = ["LoadBook"]


class Own:
    """This VM's work at one target, as in `TargetLoad`."""

    def __init__(self):
        self.requests = 0
        self.tokens = 0
        self.streams = 0


class LoadBook:
    """Work by target.

    `reported` returns the sums of all VMs' work by target, as heard last.
    """

    def __init__(self, reported):
        self.reported = reported
        self.own = {}
        self.sent = {}

    @contextlib.contextmanager
    def counted(self, id_, tokens, is_stream=False):
        """Count a request at a target; yields a function that ends its reading."""
        own = self.own.setdefault(id_, Own())
        own.requests += 1
        own.tokens += tokens
        own.streams += is_stream
        reading = [tokens]

        def first_byte():
            own.tokens -= reading.pop() if reading else 0

        try:
            yield first_byte
        finally:
            first_byte()
            own.requests -= 1
            own.streams -= is_stream
            if not own.requests:
                del self.own[id_]

    def report(self):
        """Return this VM's work for the other VMs."""
        loads = tuple(
            TargetLoad(id_, own.requests, own.tokens, own.streams)
            for id_, own in self.own.items()
        )
        self.sent = {load.id: load for load in loads}
        return loads

    def at(self, id_):
        """Return the `TargetLoad` of all VMs together at a target."""
        own = self.own.get(id_) or Own()
        mine = TargetLoad(id_, own.requests, own.tokens, own.streams)
        all_ = self.reported().get(id_)
        if all_ is None:
            return mine
        sent = self.sent.get(id_) or TargetLoad(id_, 0, 0)
        return TargetLoad(
            id_,
            mine.requests + max(0, all_.requests - sent.requests),
            mine.tokens + max(0, all_.tokens - sent.tokens),
            mine.streams + max(0, all_.streams - sent.streams),
        )
