"""Messages over a TCP connection: each is preceded by its length in four bytes."""

import collections
import contextlib
import struct

import msgspec

from pollenmount import task
from pollenmount.fleet.messages import decode, encode

__all__ = ["Channel", "ChannelError"]

LENGTH_PREFIX = struct.Struct("!I")
MAX_MESSAGE_BYTES = 16 << 20
MAX_QUEUED_MESSAGES = 4096
READ_BYTES = 65_536
RECEIVE_TIMEOUT_MS = 1500
MS_PER_S = 1000


class ChannelError(Exception):
    """The connection is of no more use."""


class Channel:
    """One connection that carries messages both ways, given up after a silence."""

    def __init__(self, connection, timeout_ms=RECEIVE_TIMEOUT_MS):
        self.socket = connection
        self.reader = task.Reader(connection)
        self.timeout_ms = timeout_ms
        self.queue = collections.deque()
        self.buffer = bytearray()
        self.sending = False
        self.closed = False

    def push(self, message):
        """Queue a message; it leaves at once unless others wait before it."""
        if self.closed:
            return
        if len(self.queue) >= MAX_QUEUED_MESSAGES:
            # A reader this far behind starts again with a new connection.
            self.close()
            return
        self.queue.append(encode(message))
        if not self.sending:
            self.sending = True
            task.spawn(self.send_queued)

    def send_queued(self):
        """Send what is queued."""
        try:
            while self.queue and not self.closed:
                parts = [LENGTH_PREFIX.pack(len(data)) + data for data in self.queue]
                self.queue.clear()
                self.socket.settimeout(self.timeout_ms / MS_PER_S)
                self.socket.sendall(b"".join(parts))
        except OSError:
            self.close()
        finally:
            self.sending = False

    def receive(self):
        """Return the next message, or raise `ChannelError`."""
        size = LENGTH_PREFIX.unpack(self.read_exactly(LENGTH_PREFIX.size))[0]
        if size > MAX_MESSAGE_BYTES:
            raise ChannelError(f"a message of {size} bytes is too long")
        try:
            return decode(self.read_exactly(size))
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise ChannelError(f"a message can't be read: {error}") from error

    def read_exactly(self, size):
        """Return `size` bytes."""
        while len(self.buffer) < size:
            try:
                data = self.reader.receive(READ_BYTES, self.timeout_ms)
            except OSError as error:
                raise ChannelError(f"the link broke: {error}") from error
            if not data:
                raise ChannelError("the other side closed the link")
            self.buffer += data
        part = bytes(self.buffer[:size])
        del self.buffer[:size]
        return part

    def close(self):
        """Close the connection."""
        self.closed = True
        self.reader.close()
        with contextlib.suppress(OSError):
            self.socket.close()
