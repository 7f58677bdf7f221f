"""Which connections to targets are open, as evidence that their processes run.

A connection that a target answered on, and that is still open, shows that the target
has not ended since.
"""

import contextlib
import socket
import weakref
from typing import Any, NamedTuple

__all__ = ["LiveConnections"]

# A little longer than a target is watched after an answer.
HOLD_MS = 1000
# Bounds the descriptors that connections take which carry no further request.
MAX_HELD = 64


class OpenSocket(NamedTuple):
    """A socket, and since when it is known to be open."""

    socket: Any
    since: int


class LiveConnections:
    """Connections by address, from their first response on.

    `sockets` has the `OpenSocket` of each, which has another one later if the target
    closed the first. `held` has pools of one
    connection each, which are kept open for `HOLD_MS` after their only request, and
    until when.
    """

    def __init__(self, clock):
        self.clock = clock
        self.sockets = {}
        self.held = {}

    def add(self, address, connection):
        """Record that a target has responded on a connection."""
        known = self.sockets.setdefault(address, weakref.WeakKeyDictionary())
        if connection not in known or known[connection].socket is not connection.sock:
            known[connection] = OpenSocket(connection.sock, self.clock.now())

    def hold(self, address, pool):
        """Keep the pool of a single request open for a while, the last by address."""
        previous, _ = self.held.pop(address, (None, 0))
        if previous is not None:
            previous.close()
        self.held[address] = pool, self.clock.now() + HOLD_MS
        while len(self.held) > MAX_HELD:
            self.close_held(next(iter(self.held)))

    def close_held(self, address):
        """Close the pool that is held for an address."""
        pool, _ = self.held.pop(address)
        pool.close()

    def sweep(self):
        """Close the pools whose time is up; forget connections that were closed."""
        now = self.clock.now()
        for address, (_, until) in [*self.held.items()]:
            if now >= until:
                self.close_held(address)
        for address in [*self.sockets]:
            if not self.has_idle(address):
                self.sockets.pop(address, None)

    def close(self):
        """Close all pools that are held."""
        for address in [*self.held]:
            self.close_held(address)

    def open_sockets(self, address):
        """Return the `OpenSocket`s of connections that this VM has not closed.

        The target may have closed them.
        """
        known = self.sockets.get(address, {})
        return [
            entry
            for connection, entry in [*known.items()]
            if entry.socket is not None and connection.sock is entry.socket
        ]

    def has_idle(self, address):
        """Return whether there are connections, closed by the target or not."""
        return bool(self.open_sockets(address))

    def has_live_idle(self, address):
        """Return whether a connection is open for sure."""
        return self.open_since(address) is not None

    def open_since(self, address):
        """Return since when a connection is known to be open that still is, or None."""
        entries = self.open_sockets(address)
        return min((e.since for e in entries if is_open(e.socket)), default=None)


def is_open(connected_socket):
    """Return whether a connection is open for sure: with data to be read it may not be.

    A target that has ended may have sent the data before.
    """
    # The socket in a green socket has no time-out, with which `recv` would wait.
    raw_socket = getattr(connected_socket, "fd", connected_socket)
    with contextlib.suppress(OSError):
        try:
            raw_socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
    return False
