"""Strict reader of HTTP/1.1 request bodies, with a Content-Length or chunked.

A body that is truncated or violates the framing rules raises `BodyError`, one over the
limit `BodyTooLargeError` as soon as its size is announced. A budget bounds the bytes of
all bodies held in memory.
"""

import re

from pollenmount import task
from pollenmount.memory.budget import ByteBudget, ByteBudgetExceededError

__all__ = [
    "Body",
    "BodyError",
    "BodyTooLargeError",
    "ByteBudget",
    "ByteBudgetExceededError",
]

CHUNK_SIZE_LINE = re.compile(rb"([0-9A-Fa-f]{1,8})(?:[ \t]*;[\t\x20-\x7e]*)?\r\n")
MAX_CHUNK_LINE_BYTES = 256
MAX_TRAILER_LINES = 16
# A connection that waits for its body holds as much for the next block.
READ_BLOCK_BYTES = 16_384
# Blocks or chunks that are read before other tasks run.
MAX_BLOCKS_PER_TURN = 64
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"


class BodyError(ValueError):
    """The body is invalid; nothing more can be read from its connection."""


class BodyTooLargeError(BodyError):
    """The body is larger than the limit, or says that it will be."""


class Body:
    """The body of one request; replaces eventlet's input object.

    `head` gives the framing; `rfile` and `wfile` belong to the connection. `budget` is
    the `Holding` of the connection, or a `ByteBudget`. `is_complete` is true once
    the body was read to its end, so that the connection can carry another request.
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
        self.on_progress = ignore_progress
        self.is_complete = not head.chunked and head.length == 0

    def read(self, limit, on_progress=None):
        """Return the body; raise `BodyTooLargeError` if it is over `limit`.

        `on_progress` is called with each number of bytes that has arrived.
        """
        if self.is_complete:
            return b""
        self.on_progress = on_progress or ignore_progress
        if self.head.header("expect") is not None:
            self.wfile.write(CONTINUE_RESPONSE)
            self.wfile.flush()
        try:
            data = self.collect(limit)
        except BaseException:
            # It will never be used; others may need the memory.
            self.close()
            raise
        self.is_complete = True
        return data

    def collect(self, limit):
        """Return the bytes of the body."""
        blocks = (
            self.read_chunks(limit)
            if self.head.chunked
            else self.read_blocks(self.head.length, limit)
        )
        data = bytearray()
        for count, block in enumerate(blocks, start=1):
            data += block
            # Reading doesn't wait while the caller sends faster than this VM reads.
            if count % MAX_BLOCKS_PER_TURN == 0:
                task.sleep()
        return bytes(data)

    def read_blocks(self, length, limit):
        """Yield the next `length` bytes as they arrive; check first against `limit`."""
        if self.reserved + length > limit:
            raise BodyTooLargeError("the body is over the limit")
        while length:
            # What `read` collects until a block is full would not be accounted for.
            block = self.rfile.read1(min(length, READ_BLOCK_BYTES))
            if not block:
                raise BodyError("the body is truncated")
            self.on_progress(len(block))
            self.budget.reserve(len(block))
            self.reserved += len(block)
            length -= len(block)
            yield block

    def read_chunks(self, limit):
        """Yield the data of all chunks, then read and discard the trailers."""
        while size := self.read_chunk_size():
            yield from self.read_blocks(size, limit)
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


def ignore_progress(count):
    """Do nothing with a number of bytes."""
