"""Tells a target that has crashed from one that closed a single connection."""

import contextlib

from pollenmount.wire.connection import connect
from pollenmount.wire.errors import ConnectError, ConnectRefusedError

__all__ = ["CrashProbe"]

# Several round trips within a region.
CONNECT_TIMEOUT_MS = 100


class CrashProbe:
    """Asks whether the process of a target has ended; `pool` has its connections."""

    def __init__(self, pool):
        self.pool = pool

    def has_crashed(self, destination):
        """Return whether nothing listens at a target that has broken off a request.

        A crash ends all connections, and takes some time until the target is back.
        """
        if self.pool.has_live_idle(destination.connection_key):
            return False
        try:
            connection = connect(destination.address, CONNECT_TIMEOUT_MS)
        except ConnectRefusedError:
            return True
        except ConnectError:
            return False
        with contextlib.closing(connection):
            return False
