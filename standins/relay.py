"""A TCP relay that injects partitions, silence, delays and losses, and counts bytes.

While a direction is cut, received data is buffered and not forwarded, as TCP behaves
under a network partition; `heal` resumes forwarding. Each relay runs in its own thread.
"""

import collections
import contextlib
import os
import random
import selectors
import socket
import threading
import time
from pathlib import Path
from typing import NamedTuple

__all__ = ["Direction", "Relay", "find_owner"]

READ_BYTES = 65_536
SELECT_TIMEOUT_S = 0.005
RETRANSMIT_DELAY_S = 0.2


class Direction(NamedTuple):
    """Faults of one direction of a relay.

    `delay_s` is added to each chunk; `loss` is the share of chunks that are delayed by
    a further `RETRANSMIT_DELAY_S`, as lost TCP segments are until retransmitted.
    """

    cut: bool = False
    delay_s: float = 0.0
    loss: float = 0.0


class Chunk(NamedTuple):
    """Received bytes, to be forwarded at the monotonic time `due_s`."""

    due_s: float
    data: bytes


class Pipe:
    """One direction of a connection; `owner` is the process that opened it."""

    def __init__(self, name, owner, source, target):
        self.name = name
        self.owner = owner
        self.source = source
        self.target = target
        self.chunks = collections.deque()
        self.closed = False
        self.silent = False


class Relay:
    """Relays connections accepted at `listen` to `target` (both `IP:port`).

    `identify`
        Function from the client's and the relay's address of a connection to the name
        of the process that opened it, or None if it isn't found: the connection is
        closed then, since a cut could miss it (default: '' for all).
    `seed`
        Random seed of the losses (default 1).

    `isolated_owners` holds the names of processes whose connections are cut in both
    directions.
    """

    def __init__(self, listen, target, identify=lambda peer, own: "", seed=1):
        self.identify = identify
        self.isolated_owners = frozenset()
        self.target = parse_address(target)
        self.random = random.Random(seed)
        self.directions = {"in": Direction(), "out": Direction()}
        self.bytes = collections.Counter()
        self.pipes = []
        self.closing = threading.Event()
        self.listener = socket.create_server(parse_address(listen))
        self.listener.setblocking(False)
        self.selector = selectors.DefaultSelector()
        self.selector.register(self.listener, selectors.EVENT_READ)
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def set_direction(self, name, **changes):
        """Change the faults of direction `in` (to the target) or `out` (from it)."""
        self.directions[name] = self.directions[name]._replace(**changes)

    def cut(self, *names):
        """Cut the given directions, both by default."""
        for name in names or ("in", "out"):
            self.set_direction(name, cut=True)

    def heal(self):
        """Remove all faults; buffered data is forwarded."""
        self.directions = {"in": Direction(), "out": Direction()}
        self.isolated_owners = frozenset()

    def silence_open_connections(self):
        """Forward nothing more on the open connections; new ones work.

        They are not closed either, as when a VM has lost power.
        """
        for pipe in [*self.pipes]:
            pipe.silent = True

    def run(self):
        """Relay until `close` is called."""
        while not self.closing.is_set():
            for key, _ in self.selector.select(SELECT_TIMEOUT_S):
                if key.fileobj is self.listener:
                    self.accept()
                else:
                    self.receive_chunk(key.data)
            for pipe in [*self.pipes]:
                self.forward_due_chunks(pipe)
        for pipe in self.pipes:
            pipe.source.close()
        self.listener.close()
        self.selector.close()

    def accept(self):
        """Accept a connection and connect to the target."""
        source, peer = self.listener.accept()
        owner = self.identify(peer, source.getsockname())
        if owner is None:
            source.close()
            return
        try:
            target = socket.create_connection(self.target, timeout=1)
        except OSError:
            source.close()
            return
        for name, pipe_source, pipe_target in (
            ("in", source, target),
            ("out", target, source),
        ):
            pipe_source.setblocking(False)
            pipe = Pipe(name, owner, pipe_source, pipe_target)
            self.pipes.append(pipe)
            self.selector.register(pipe_source, selectors.EVENT_READ, pipe)

    def owners(self):
        """Return the owners of the open connections, sorted."""
        return sorted(pipe.owner for pipe in [*self.pipes] if pipe.name == "in")

    def receive_chunk(self, pipe):
        """Read a chunk in one direction and queue it."""
        try:
            data = pipe.source.recv(READ_BYTES)
        except OSError:
            data = b""
        direction = self.directions[pipe.name]
        retransmit_delay_s = (
            RETRANSMIT_DELAY_S if self.random.random() < direction.loss else 0
        )
        due_s = time.monotonic() + direction.delay_s + retransmit_delay_s
        pipe.chunks.append(Chunk(due_s, data))
        if not data:
            self.selector.unregister(pipe.source)

    def forward_due_chunks(self, pipe):
        """Forward the chunks of one direction that are due."""
        now = time.monotonic()
        while pipe.chunks and pipe.chunks[0].due_s <= now:
            if pipe.closed or self.is_cut(pipe):
                return
            data = pipe.chunks.popleft().data
            if data and self.write(pipe, data):
                continue
            self.close_connection(pipe)

    def is_cut(self, pipe):
        """Return whether this direction is cut for the connection."""
        is_isolated = pipe.owner in self.isolated_owners
        return pipe.silent or is_isolated or self.directions[pipe.name].cut

    def write(self, pipe, data):
        """Write all data; return whether it was written."""
        try:
            pipe.target.setblocking(True)
            pipe.target.sendall(data)
            pipe.target.setblocking(False)
        except OSError:
            return False
        self.bytes[pipe.name] += len(data)
        return True

    def close_connection(self, pipe):
        """Close both directions of a connection."""
        pair = [p for p in self.pipes if pipe.source in (p.source, p.target)]
        for closing_pipe in pair:
            closing_pipe.closed = True
            if closing_pipe.source.fileno() in self.selector.get_map():
                self.selector.unregister(closing_pipe.source)
            self.pipes.remove(closing_pipe)
        for closing_pipe in pair:
            closing_pipe.source.close()

    def close(self):
        """Stop relaying and close all connections."""
        self.closing.set()
        self.thread.join()


def find_owner(processes, peer, own):
    """Return the name of the process that opened the connection from `peer` to `own`.

    Both are an (IP, port); `processes` maps names to processes. Returns None if none of
    them has the connection open.
    """
    link = f"socket:[{find_socket_inode(peer, own)}]"
    for name, process in [*processes.items()]:
        for path in Path(f"/proc/{process.pid}/fd").glob("*"):
            with contextlib.suppress(OSError):
                if os.readlink(path) == link:
                    return name
    return None


def find_socket_inode(local, remote):
    """Return the inode of the TCP socket between two (IP, port), or ''.

    Sockets that are connected to different addresses may share a local one.
    """
    ends = hex_address(local), hex_address(remote)
    # A client may use an IPv6 socket for an IPv4 address.
    for table in ("tcp", "tcp6"):
        for line in Path(f"/proc/net/{table}").read_text().splitlines()[1:]:
            fields = line.split()
            is_same = fields[1].endswith(ends[0]) and fields[2].endswith(ends[1])
            if is_same and fields[9] != "0":
                return fields[9]
    return ""


def hex_address(address):
    """Return an (IP, port) as the kernel's tables of sockets print it."""
    host, port = address
    return f"{socket.inet_aton(host)[::-1].hex().upper()}:{port:04X}"


def parse_address(address):
    """Split `IP:port` into (IP, port)."""
    host, _, port = address.rpartition(":")
    return host, int(port)
