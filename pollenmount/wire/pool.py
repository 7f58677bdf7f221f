"""Pool of idle connections, closed shortly before the peer would close them."""

import collections
from typing import NamedTuple

from pollenmount.wire.connection import Connection, connect
from pollenmount.wire.numbers import parse_decimal

__all__ = ["MAX_IDLE_MS", "ConnectionPool"]

CONNECT_TIMEOUT_MS = 400
DEFAULT_MAX_IDLE_MS = 400
CLOSE_MARGIN_MS = 500
MAX_IDLE_MS = 20_000
MS_PER_S = 1000
MAX_IDLE_CONNECTIONS = 64


class IdleConnection(NamedTuple):
    """An idle connection, and when it became idle and may last carry a request."""

    connection: Connection
    idle_since: int
    usable_until: int


class ConnectionPool:
    """Connections by key, such as a target's name and address.

    `open_counts` has the number of open connections by key, idle ones included, and
    `opened_at` when each was opened; `pending_connects` the start times of the
    connection attempts in progress, and `retired` the keys whose connections are not
    kept.
    """

    def __init__(
        self, clock, connect_timeout_ms=CONNECT_TIMEOUT_MS, receive_buffer_bytes=0
    ):
        self.clock = clock
        self.connect_timeout_ms = connect_timeout_ms
        self.receive_buffer_bytes = receive_buffer_bytes
        self.idle = {}
        self.open_counts = collections.Counter()
        self.opened_at = collections.defaultdict(dict)
        self.pending_connects = {}
        self.retired = set()

    def acquire(self, key, address, max_idle_ms=MAX_IDLE_MS, id_=None):
        """Return a pooled connection idle for at most `max_idle_ms`, else a new one.

        One that has brought a response to the request `id_` stays in the pool.
        """
        now = self.clock.now()
        while entry := self.take_idle(key, id_):
            is_fresh = (
                now < entry.usable_until and now - entry.idle_since <= max_idle_ms
            )
            if is_fresh and entry.connection.is_alive():
                return entry.connection
            self.discard(key, entry.connection)
        return self.connect(key, address)

    def take_idle(self, key, id_):
        """Remove and return the newest idle connection for a request, or None."""
        idle = self.idle.get(key, [])
        for index in reversed(range(len(idle))):
            if id_ not in idle[index].connection.ids:
                return idle.pop(index)
        return None

    def connect(self, key, address):
        """Open a new connection, and record its start time until it is open."""
        self.open_counts[key] += 1
        attempt_starts = self.pending_connects.setdefault(key, collections.deque())
        attempt_starts.append(self.clock.now())
        try:
            connection = connect(address, self.connect_timeout_ms)
            if self.receive_buffer_bytes:
                connection.bound_receive_buffer(self.receive_buffer_bytes)
            self.opened_at[key][connection] = self.clock.now()
            return connection
        except BaseException:
            self.decrement_open_count(key)
            raise
        finally:
            # Drops the oldest start time, whichever attempt ended: the number is right,
            # and the oldest one left shows how long connecting takes.
            attempt_starts.popleft()
            if not attempt_starts:
                self.pending_connects.pop(key, None)

    def is_connect_slow(self, key, limit_ms):
        """Return whether connecting is taking longer than `limit_ms`."""
        attempt_starts = self.pending_connects.get(key)
        return bool(attempt_starts) and self.clock.now() - attempt_starts[0] > limit_ms

    def release(self, key, connection, head):
        """Return a connection to the pool, or close it if it can't be reused."""
        idle = self.idle.setdefault(key, [])
        is_kept = (
            connection.reusable
            and key not in self.retired
            and not connection.ids.is_full
        )
        if not is_kept or len(idle) >= MAX_IDLE_CONNECTIONS:
            self.discard(key, connection)
            return
        connection.end_exchange()
        now = self.clock.now()
        idle.append(IdleConnection(connection, now, now + idle_limit_ms(head)))

    def has_live_idle(self, key):
        """Return whether an idle connection of a key is still open."""
        return any(entry.connection.is_alive() for entry in self.idle.get(key, ()))

    def has_idle(self, key):
        """Return whether there are idle connections of a key, closed by now or not."""
        return bool(self.idle.get(key))

    def open_since(self, key):
        """Return when the oldest connection that is still open was opened, or None."""
        opened_at = self.opened_at.get(key, {})
        return next((opened_at[c] for c in [*opened_at] if c.is_alive()), None)

    def has_live(self, key):
        """Return whether a connection of a key carries a request, or is still open."""
        in_use = self.open_counts[key] - len(self.idle.get(key, ()))
        return in_use > 0 or self.has_live_idle(key)

    def discard(self, key, connection):
        """Close a connection that was acquired or is idle."""
        self.opened_at[key].pop(connection, None)
        if not self.opened_at[key]:
            del self.opened_at[key]
        try:
            connection.close()
        finally:
            self.decrement_open_count(key)

    def decrement_open_count(self, key):
        """Decrement the number of open connections of a key."""
        self.open_counts[key] -= 1
        if self.open_counts[key] <= 0:
            del self.open_counts[key]
            self.retired.discard(key)

    def sweep(self):
        """Close idle connections whose time is up."""
        now = self.clock.now()
        for key, idle in [*self.idle.items()]:
            for entry in [entry for entry in idle if now >= entry.usable_until]:
                idle.remove(entry)
                self.discard(key, entry.connection)
            if not idle:
                del self.idle[key]

    def retire(self, key):
        """Close the idle connections of a key, and others once they are released."""
        if key in self.open_counts:
            self.retired.add(key)
        self.close_idle(key)

    def close_idle(self, key):
        """Close the idle connections of a key."""
        for entry in self.idle.pop(key, []):
            self.discard(key, entry.connection)

    def close(self):
        """Close all idle connections."""
        for key in [*self.idle]:
            self.close_idle(key)


def idle_limit_ms(head):
    """Return how long a connection may be idle, from its last Keep-Alive header."""
    for option in head.header("keep-alive").split(","):
        name, _, value = option.strip().partition("=")
        timeout_s = parse_decimal(value)
        if name.lower() == "timeout" and timeout_s is not None:
            keep_alive_ms = timeout_s * MS_PER_S
            return min(
                MAX_IDLE_MS, max(keep_alive_ms - CLOSE_MARGIN_MS, keep_alive_ms // 2)
            )
    return DEFAULT_MAX_IDLE_MS
