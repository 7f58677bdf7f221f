"""Reads HTTP answers from a socket, and tells how they end."""

import select
import time

SLOW_READ_BYTES = 1024
READ_BYTES = 65_536
PAUSE_SHARE = 0.04
MAX_PAUSE_S = 1.5
MS_PER_S = 1000
STAMP = "x-pollenmount-response-stamp"


class EndError(Exception):
    """The answer ended early; the text is `closed`, `reset` or `timed out`."""


class Answer:
    """What has arrived of one answer; `closes` if the connection ends with it."""

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = bytearray()
        self.closes = False
        self.unframed = False

    @property
    def stamped(self):
        """Return whether a replica has stamped the answer."""
        return STAMP in self.headers


class Reader:
    """Reads lines and bytes; with `random`, slowly and with pauses.

    `answer` is the newest `Answer`. `closed_at` is when the peer was seen to close the
    connection while this caller paused, None if it wasn't.
    """

    def __init__(self, connection, random=None):
        self.connection = connection
        self.random = random
        self.buffer = bytearray()
        self.answer = Answer()
        self.closed_at = None
        self.poll = select.poll()
        self.poll.register(connection, select.POLLRDHUP)

    def pause(self, seconds):
        """Read nothing for a while, but note when the connection is closed."""
        resume_at = time.monotonic() + seconds
        if self.closed_at is None and self.poll.poll(seconds * MS_PER_S):
            self.closed_at = time.monotonic()
        time.sleep(max(0, resume_at - time.monotonic()))

    def receive(self):
        """Read more bytes into the buffer, or raise `EndError`."""
        if self.random and self.random.random() < PAUSE_SHARE:
            self.pause(self.random.uniform(0, MAX_PAUSE_S))
        try:
            data = self.connection.recv(SLOW_READ_BYTES if self.random else READ_BYTES)
        except TimeoutError:
            raise EndError("timed out") from None
        except OSError:
            raise EndError("reset") from None
        if not data:
            raise EndError("closed")
        self.buffer += data

    def read_line(self):
        """Return the next line without its end."""
        while (end := self.buffer.find(b"\r\n")) < 0:
            self.receive()
        line = bytes(self.buffer[:end])
        del self.buffer[: end + 2]
        return line.decode("latin-1")

    def take_body(self, length):
        """Add the next bytes to the answer's body, up to `length`; return how many."""
        if not self.buffer:
            self.receive()
        part = self.buffer[:length]
        del self.buffer[: len(part)]
        self.answer.body += part
        return len(part)


def read_answer(reader):
    """Read one answer into `reader.answer`; raise `EndError` if it ends early."""
    answer = reader.answer = Answer()
    while answer.status < 200:
        answer.status = int(reader.read_line().split()[1])
        while line := reader.read_line():
            name, _, value = line.partition(":")
            answer.headers[name.lower()] = value.strip()
    answer.closes = answer.headers.get("connection", "").lower() == "close"
    read_body(reader, answer)


def read_body(reader, answer):
    """Read the body as the answer's head frames it."""
    if "transfer-encoding" in answer.headers:
        while length := int(reader.read_line(), 16):
            read_counted(reader, length)
            reader.read_line()
        reader.read_line()
    elif "content-length" in answer.headers:
        read_counted(reader, int(answer.headers["content-length"]))
    else:
        answer.unframed = answer.closes = True
        read_until_closed(reader)


def read_counted(reader, length):
    """Read `length` bytes of a body."""
    while length:
        length -= reader.take_body(length)


def read_until_closed(reader):
    """Read a body that ends with its connection."""
    try:
        while True:
            reader.take_body(READ_BYTES)
    except EndError as error:
        if str(error) != "closed":
            raise
