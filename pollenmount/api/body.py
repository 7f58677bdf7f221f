"""Strict reader of HTTP/1.1 request bodies, with a Content-Length or chunked.

A body that is truncated or violates the framing rules raises `BodyError`. A
`ByteBudget` bounds the bytes of all bodies held in memory.
"""

import re

from pollenmount import task

__all__ = ["Body", "BodyError", "ByteBudget", "ByteBudgetExceededError"]

CHUNK_SIZE_LINE = re.compile(rb"([0-9A-Fa-f]{1,8})(?:[ \t]*;[\t\x20-\x7e]*)?\r\n")
MAX_CHUNK_LINE_BYTES = 256
MAX_TRAILER_LINES = 16
READ_BLOCK_BYTES = 65_536
# Blocks or chunks that are read before other tasks run.
MAX_BLOCKS_PER_TURN = 64
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"


class BodyError(ValueError):
    """The body is invalid; nothing more can be read from its connection."""


class ByteBudgetExceededError(BodyError):
    """The bodies held in memory leave no room for more."""


class ByteBudget:
    """Limits the memory held by the bodies of running requests.

    `limit`
        Maximum of bytes reserved at a time.
    """

    def __init__(self, limit):
        self.limit = limit
        self.used = 0

    def reserve(self, count):
        """Reserve `count` bytes, or raise `ByteBudgetExceededError`."""
        if self.used + count > self.limit:
            raise ByteBudgetExceededError("the memory for request bodies is used up")
        self.used += count

    def release(self, count):
        """Release reserved bytes."""
        self.used -= count


class Body:
    """The body of one request; replaces eventlet's input object.

    `head` gives the framing; `rfile` and `wfile` belong to the connection.
    `is_complete` is true once the body was read to its end, so that the connection can
    carry another request.
    """

    # Read by eventlet's server; these values tell it that nothing is left to discard.
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
        """Return the body, or a prefix of more than `limit` bytes if it is longer."""
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
        for count, block in enumerate(blocks, start=1):
            data += block
            if len(data) > limit:
                return bytes(data)
            # Reading doesn't wait while the caller sends faster than this VM reads.
            if count % MAX_BLOCKS_PER_TURN == 0:
                task.sleep()
        self.is_complete = True
        return bytes(data)

    def read_blocks(self, length):
        """Yield the next `length` bytes in blocks."""
        while length:
            block = self.rfile.read(min(length, READ_BLOCK_BYTES))
            if not block:
                raise BodyError("the body is truncated")
            self.budget.reserve(len(block))
            self.reserved += len(block)
            length -= len(block)
            yield block

    def read_chunks(self):
        """Yield the data of all chunks, then read and discard the trailers."""
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
        """Read a chunk header and return the size of the chunk."""
        match = CHUNK_SIZE_LINE.fullmatch(self.rfile.readline(MAX_CHUNK_LINE_BYTES))
        if not match:
            raise BodyError("malformed chunk")
        return int(match[1], 16)

    def close(self):
        """Release the bytes reserved in the budget."""
        self.budget.release(self.reserved)
        self.reserved = 0
