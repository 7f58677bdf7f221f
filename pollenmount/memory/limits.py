"""Limits that a VM derives from its memory and its number of file descriptors."""

from typing import NamedTuple

__all__ = ["SPARE_SLOTS", "UNKNOWN_LIMITS", "MemoryLimits", "derive_limits"]

MB = 1 << 20
# A process must keep a fifth of its memory free.
USABLE_SHARE = 0.8
# Kept free for what arrives between two measurements.
MARGIN_SHARE = 0.12
MIN_MARGIN_BYTES = 8 * MB
# Half of a connection's round trip of 110 ms at 5 Mbit/s; the kernel doubles it.
SOCKET_BUFFER_BYTES = 65_536
# What a connection may cost that nobody reads: its task, its buffers, the kernel's.
CONNECTION_BYTES = 131_072
# Descriptors for files, links and logs.
RESERVED_DESCRIPTORS = 200
MIN_CONNECTIONS = 32
# A connection that carries a request needs another one to a target.
DESCRIPTORS_PER_CONNECTION = 2
MAX_CONNECTIONS = 10_000
# Connections of checks of readiness, the directory and metrics, when all others are
# in use.
SPARE_SLOTS = 16
LISTEN_BACKLOG = 1024
# What has not been accepted may have filled its buffer, too.
BACKLOG_SHARE = 0.05


class MemoryLimits(NamedTuple):
    """Limits of one VM; 0 in `memory_bytes` and `socket_buffer_bytes` for none.

    `memory_bytes` is for the process with the buffers of its sockets. `connections` and
    `backlog` are those of accepted connections and of those that wait to be.
    """

    memory_bytes: int
    connections: int
    socket_buffer_bytes: int
    backlog: int


UNKNOWN_LIMITS = MemoryLimits(0, MAX_CONNECTIONS, 0, LISTEN_BACKLOG)


def derive_limits(memory_mb, max_descriptors):
    """Return the limits for the settings, of which 0 means unknown."""
    limits = UNKNOWN_LIMITS
    if max_descriptors:
        free = max_descriptors - RESERVED_DESCRIPTORS
        limits = limits._replace(
            connections=max(MIN_CONNECTIONS, free // DESCRIPTORS_PER_CONNECTION)
        )
    if memory_mb:
        usable = int(memory_mb * MB * USABLE_SHARE)
        margin = max(MIN_MARGIN_BYTES, int(usable * MARGIN_SHARE))
        by_memory = usable // CONNECTION_BYTES
        backlog = int(usable * BACKLOG_SHARE) // SOCKET_BUFFER_BYTES
        limits = MemoryLimits(
            max(usable - margin, MIN_MARGIN_BYTES),
            max(MIN_CONNECTIONS, min(limits.connections, by_memory)),
            SOCKET_BUFFER_BYTES,
            max(MIN_CONNECTIONS, min(LISTEN_BACKLOG, backlog)),
        )
    return limits
