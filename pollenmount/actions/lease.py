"""Leases: the time-limited right of this VM to send an action to a target.

A holder that was paused must not send after other VMs settled its reservation. So the
lease is checked after connecting, right before the request is written.
"""

from pollenmount.targets.upstream import Connection, Pool, UpstreamError

__all__ = ["HOLD_MS", "LEASE_MS", "RENEW_INTERVAL_MS", "Lease"]

LEASE_MS = 5000
RENEW_INTERVAL_MS = 1500
MAX_CLOCK_DRIFT_PERCENT = 1
# How long others wait before they settle: the lease plus the drift of two clocks.
HOLD_MS = LEASE_MS * (100 + MAX_CLOCK_DRIFT_PERCENT) // 100


class Lease:
    """The lease of one attempt, measured by the clock of this VM.

    `started_at` is a time before the command that granted or renewed it was proposed.
    """

    def __init__(self, clock, attempt, started_at):
        self.clock = clock
        self.attempt = attempt
        self.started_at = started_at

    def renew(self, started_at):
        """Extend the lease: count it from `started_at`."""
        self.started_at = max(self.started_at, started_at)

    def is_valid(self):
        """Return whether the lease has not expired."""
        return self.clock.now() < self.started_at + LEASE_MS

    def check(self):
        """Raise `UpstreamError` if the lease has expired."""
        if not self.is_valid():
            raise UpstreamError(
                "the lease expired before the request was sent", not_run=True
            )

    def pool(self, *args, **options):
        """Return a pool of connections that send a request only under this lease."""
        return LeaseCheckedPool(*args, lease=self, **options)


class LeaseCheckedConnection(Connection):
    """A connection for one request, which it sends only under a valid lease."""

    def __init__(self, *args, lease, **kwargs):
        super().__init__(*args, **kwargs)
        self.lease = lease
        self.written = False

    def send(self, data):
        """Send data; before the first, connect and check the lease."""
        if not self.written:
            if self.sock is None:
                self.connect()
            self.lease.check()
            self.written = True
        super().send(data)


class LeaseCheckedPool(Pool):
    """Connections that send only under the lease given as `lease`."""

    ConnectionCls = LeaseCheckedConnection
