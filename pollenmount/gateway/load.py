"""Work at the targets: this VM's own, and what others reported of theirs."""

import contextlib

from pollenmount.fleet.messages import TargetLoad

__all__ = ["LoadBook"]


class Own:
    """This VM's work at one target: requests, and prompt tokens still to be read."""

    def __init__(self):
        self.requests = 0
        self.tokens = 0


class LoadBook:
    """Work by target.

    `reported` returns the sums of all VMs' work by target, as heard last.
    """

    def __init__(self, reported):
        self.reported = reported
        self.own = {}
        self.sent = {}

    @contextlib.contextmanager
    def counted(self, id_, tokens):
        """Count a request at a target; yields a function that ends its reading."""
        own = self.own.setdefault(id_, Own())
        own.requests += 1
        own.tokens += tokens
        reading = [tokens]

        def first_byte():
            own.tokens -= reading.pop() if reading else 0

        try:
            yield first_byte
        finally:
            first_byte()
            own.requests -= 1
            if not own.requests:
                del self.own[id_]

    def report(self):
        """Return this VM's work for the other VMs."""
        loads = tuple(
            TargetLoad(id_, own.requests, own.tokens) for id_, own in self.own.items()
        )
        self.sent = {load.id: load for load in loads}
        return loads

    def at(self, id_):
        """Return the `TargetLoad` of all VMs together at a target."""
        own = self.own.get(id_)
        requests = own.requests if own else 0
        tokens = own.tokens if own else 0
        all_ = self.reported().get(id_)
        if all_ is None:
            return TargetLoad(id_, requests, tokens)
        sent = self.sent.get(id_) or TargetLoad(id_, 0, 0)
        others = max(0, all_.requests - sent.requests)
        others_tokens = max(0, all_.tokens - sent.tokens)
        return TargetLoad(id_, requests + others, tokens + others_tokens)
