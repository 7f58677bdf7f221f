"""The right of this VM to send an action to a target, for a limited time.

A holder that stood still must not send after others settled its reservation. So the
lease is checked once connected, right before the request is written.
"""

from pollenmount.targets.upstream import Connection, Pool, UpstreamError

__all__ = ["HOLD_MS", "LEASE_MS", "RENEW_INTERVAL_MS", "Lease"]

LEASE_MS = 5000
RENEW_INTERVAL_MS = 1500
MAX_CLOCK_DRIFT_PERCENT = 1
# What others wait before they settle: the lease, and the drift between two clocks.
HOLD_MS = LEASE_MS * (100 + MAX_CLOCK_DRIFT_PERCENT) // 100


class Lease:
    """One attempt's lease, by the clock of this VM.

    `started` is a moment before the command that granted or renewed it was proposed.
    """

    def __init__(self, clock, attempt, started):
        self.clock = clock
        self.attempt = attempt
        self.started = started

    def renew(self, started):
        """Let the lease start anew."""
        self.started = max(self.started, started)

    def is_valid(self):
        """Return whether the lease still lasts."""
        return self.clock.now() < self.started + LEASE_MS

    def check(self):
        """Raise `UpstreamError` unless the lease still lasts."""
        if not self.is_valid():
            raise UpstreamError("its lease ended before it was sent", not_run=True)

    def pool(self, *args, **options):
        """Return a pool of new connections that are written only under this lease."""
        return GuardedPool(*args, lease=self, **options)


class GuardedConnection(Connection):
    """A connection for one request, written only under a lease."""

    def __init__(self, *args, lease, **kwargs):
        super().__init__(*args, **kwargs)
        self.lease = lease
        self.written = False

    def send(self, data):
        """Write data; the first time, connect and check the lease before."""
        if not self.written:
            if self.sock is None:
                self.connect()
            self.lease.check()
            self.written = True
        super().send(data)


class GuardedPool(Pool):
    """Connections that are written only under the lease given as `lease`."""

    ConnectionCls = GuardedConnection
