"""Messages over a TCP connection, each with a four-byte big-endian length prefix."""

import collections
import contextlib
import struct

from pollenmount import task
from pollenmount.documents import UnreadableDocumentError
from pollenmount.fleet.messages import decode, encode

__all__ = ["Channel", "ChannelError"]

LENGTH_PREFIX = struct.Struct("!I")
MAX_MESSAGE_BYTES = 16 << 20
MAX_QUEUED_MESSAGES = 4096
READ_BYTES = 65_536
LINK_TIMEOUT_MS = 1500
MS_PER_S = 1000


class ChannelError(Exception):
    """The connection failed or carried invalid data, and must be closed."""


class Channel:
    """Carries messages both ways; fails if one read or send exceeds `timeout_ms`."""

    def __init__(self, connection, timeout_ms=LINK_TIMEOUT_MS):
        self.socket = connection
        self.reader = task.SocketReader(connection)
        self.timeout_ms = timeout_ms
        self.queue = collections.deque()
        self.buffer = bytearray()
        self.sending = False
        self.closed = False

    def push(self, message):
        """Queue a message and start sending if no sender is running."""
        self.push_encoded(encode(message))

    def push_encoded(self, data):
        """Queue a message that is encoded already, for several receivers."""
        if self.closed:
            return
        if len(self.queue) >= MAX_QUEUED_MESSAGES:
            # A peer this far behind must reconnect and start over.
            self.close()
            return
        self.queue.append(data)
        if not self.sending:
            self.sending = True
            task.spawn(self.send_queued)

    def send_queued(self):
        """Send all queued messages."""
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
            raise ChannelError(
                f"message of {size} bytes exceeds the limit of {MAX_MESSAGE_BYTES}"
            )
        try:
            return decode(self.read_exactly(size))
        except UnreadableDocumentError as error:
            raise ChannelError(f"malformed message: {error}") from error

    def read_exactly(self, size):
        """Return exactly `size` bytes, or raise `ChannelError`."""
        while len(self.buffer) < size:
            try:
                data = self.reader.receive(READ_BYTES, self.timeout_ms)
            except OSError as error:
                raise ChannelError(f"connection failed: {error}") from error
            if not data:
                raise ChannelError("connection closed by the peer")
            self.buffer += data
        part = bytes(self.buffer[:size])
        del self.buffer[:size]
        return part

    def close(self):
        """Close the connection; further messages are discarded."""
        self.closed = True
        self.reader.close()
        with contextlib.suppress(OSError):
            self.socket.close()
