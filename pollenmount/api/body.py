"""Strict reader of the body of an HTTP/1.1 request, with a length or in chunks.

A body that ends early or isn't framed as the standard says raises `BodyError`. The
bytes of all bodies held at a time are bounded by a `ByteBudget`.
"""

import re

__all__ = ["Body", "BodyError", "ByteBudget", "ByteBudgetExceededError"]

CHUNK_SIZE_LINE = re.compile(rb"([0-9A-Fa-f]{1,8})(?:[ \t]*;[\t\x20-\x7e]*)?\r\n")
MAX_CHUNK_LINE_BYTES = 256
MAX_TRAILER_LINES = 16
READ_BLOCK_BYTES = 65_536
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"


class BodyError(ValueError):
    """The body can't be read; nothing more is read from its connection."""


class ByteBudgetExceededError(BodyError):
    """The bodies held at this moment leave no room for another."""


class ByteBudget:
    """Bytes that the bodies of running requests may hold.

    `limit`
        Bytes at a time.
    """

    def __init__(self, limit):
        self.limit = limit
        self.used = 0

    def reserve(self, count):
        """Reserve `count` bytes, or raise `ByteBudgetExceededError`."""
        if self.used + count > self.limit:
            raise ByteBudgetExceededError("no room for another body")
        self.used += count

    def release(self, count):
        """Release reserved bytes."""
        self.used -= count


class Body:
    """The body of one request, in the place of eventlet's input.

    `head` tells its framing; `rfile` and `wfile` are the connection's. `is_complete` is
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
        self.reserved = 0
        self.is_complete = not head.chunked and head.length == 0

    def read(self, limit):
        """Return the whole body, or its first bytes if it is longer than `limit`."""
        if self.is_complete:
            return b""
        if self.head.header("expect") is not None:
            self.wfile.write(CONTINUE_RESPONSE)
            self.wfile.flush()
        blocks = (
            self.read_chunks()
            if self.head.chunked
            else self.read_blocks(self.head.length)
        )
        data = bytearray()
        for block in blocks:
            data += block
            if len(data) > limit:
                return bytes(data)
        self.is_complete = True
        return bytes(data)

    def read_blocks(self, length):
        """Yield `length` bytes in blocks."""
        while length:
            block = self.rfile.read(min(length, READ_BLOCK_BYTES))
            if not block:
                raise BodyError("the body ended early")
            self.budget.reserve(len(block))
            self.reserved += len(block)
            length -= len(block)
            yield block

    def read_chunks(self):
        """Yield the data of all chunks, then read the trailers."""
        while size := self.read_chunk_size():
            yield from self.read_blocks(size)
            if self.rfile.read(2) != b"\r\n":
                raise BodyError("malformed chunk")
        for _ in range(MAX_TRAILER_LINES):
            line = self.rfile.readline(MAX_CHUNK_LINE_BYTES)
            if line == b"\r\n":
                return
            if not line.endswith(b"\r\n"):
                break
        raise BodyError("malformed trailers")

    def read_chunk_size(self):
        """Return the size of the next chunk."""
        match = CHUNK_SIZE_LINE.fullmatch(self.rfile.readline(MAX_CHUNK_LINE_BYTES))
        if not match:
            raise BodyError("malformed chunk")
        return int(match[1], 16)

    def close(self):
        """Release the bytes reserved in the budget."""
        self.budget.release(self.reserved)
        self.reserved = 0
