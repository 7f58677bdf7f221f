"""Strict reader of the body of an HTTP/1.1 request, with a length or in chunks.

A body that ends early or isn't framed as the standard says raises `BodyError`. The
bytes of all bodies held at a time are bounded by a `ByteBudget`.
"""

import re

__all__ = ["Body", "BodyError", "BudgetError", "ByteBudget"]

CHUNK_SIZE = re.compile(rb"([0-9A-Fa-f]{1,8})(?:[ \t]*;[\t\x20-\x7e]*)?\r\n")
MAX_SIZE_LINE_BYTES = 256
MAX_TRAILER_LINES = 16
READ_BYTES = 65_536
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class BodyError(ValueError):
    """The body can't be read; nothing more is read from its connection."""


class BudgetError(BodyError):
    """The bodies held at this moment leave no room for another."""


class ByteBudget:
    """Bytes that the bodies of running requests may hold.

    `limit`
        Bytes at a time.
    """

    def __init__(self, limit):
        self.limit = limit
        self.used = 0

    def take(self, count):
        """Take `count` bytes, or raise `BudgetError`."""
        if self.used + count > self.limit:
            raise BudgetError("no room for another body")
        self.used += count

    def give_back(self, count):
        """Give back what was taken."""
        self.used -= count


class Body:
    """The body of one request, in the place of eventlet's input.

    `head` tells its framing; `rfile` and `wfile` are the connection's. `whole` is
    true once it was read to its end, so that the connection can carry another request.
    """

    # eventlet's server looks at these; nothing is left to it to discard.
    chunked_input = False
    content_length = 0
    position = 0
    headers_sent = None
    should_send_hundred_continue = False

    def __init__(self, head, rfile, wfile, budget):
        self.head = head
        self.rfile = rfile
        self.wfile = wfile
        self.budget = budget
        self.taken = 0
        self.whole = not head.chunked and head.length == 0

    def read(self, limit):
        """Return the whole body, or its first bytes if it is longer than `limit`."""
        if self.whole:
            return b""
        if self.head.header("expect") is not None:
            self.wfile.write(CONTINUE)
            self.wfile.flush()
        parts = self.chunks() if self.head.chunked else self.blocks(self.head.length)
        data = bytearray()
        for part in parts:
            data += part
            if len(data) > limit:
                return bytes(data)
        self.whole = True
        return bytes(data)

    def blocks(self, length):
        """Yield `length` bytes in blocks."""
        while length:
            block = self.rfile.read(min(length, READ_BYTES))
            if not block:
                raise BodyError("the body ended early")
            self.budget.take(len(block))
            self.taken += len(block)
            length -= len(block)
            yield block

    def chunks(self):
        """Yield the data of all chunks, then read the trailers."""
        while size := self.chunk_size():
            yield from self.blocks(size)
            if self.rfile.read(2) != b"\r\n":
                raise BodyError("malformed chunk")
        for _ in range(MAX_TRAILER_LINES):
            line = self.rfile.readline(MAX_SIZE_LINE_BYTES)
            if line == b"\r\n":
                return
            if not line.endswith(b"\r\n"):
                break
        raise BodyError("malformed trailers")

    def chunk_size(self):
        """Return the size of the next chunk."""
        match = CHUNK_SIZE.fullmatch(self.rfile.readline(MAX_SIZE_LINE_BYTES))
        if not match:
            raise BodyError("malformed chunk")
        return int(match[1], 16)

    def close(self):
        """Give back the bytes taken from the budget."""
        self.budget.give_back(self.taken)
        self.taken = 0
