"""HTTP/1.1 client connection: sends requests, reads response heads and bodies.

A body that is shorter than its framing says raises `ExchangeError`, as does anything
that isn't HTTP/1.1. Times are in milliseconds of the node's clock.
"""

import contextlib
import re
import socket
from typing import NamedTuple

from pollenmount import task
from pollenmount.wire.answered_ids import AnsweredIds
from pollenmount.wire.errors import (
    ConnectError,
    ConnectRefusedError,
    ExchangeError,
    MalformedResponseError,
    PeerUnreachableError,
    ResponseTimeoutError,
)

__all__ = [
    "MAX_INLINE_SEND_BYTES",
    "STATUS_LINE",
    "Connection",
    "HttpResponseHead",
    "connect",
    "encode_head",
    "encode_request",
]

MS_PER_S = 1000
READ_BYTES = 65_536
MAX_HEAD_BYTES = 65_536
MAX_CHUNK_LINE_BYTES = 256
# A server that reports its progress once a second for a minute sends as many.
MAX_INTERIM_HEADS = 64
# As many as the headers that callers may send.
MAX_TRAILER_LINES = 100
# Chunks of one read that are processed before other tasks run. A stream usually has one
# event in a chunk and a read for each.
MAX_CHUNKS_PER_TURN = 64
MAX_INLINE_SEND_BYTES = 8192
# Data unacknowledged for this long means that the peer or the path to it is down. It is
# also the time-out of a peer that doesn't read. A sound one may be silent for 1.5 s.
TCP_USER_TIMEOUT_MS = 1800
# Well before that time-out can end a connection.
STALL_INTERVAL_MS = 500
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
STATUS_LINE = re.compile(rb"HTTP/1\.([01]) ([1-5][0-9]{2})(?: [^\r\n]*)?")
# Blanks around the value are stripped: matching them here would take cubic time.
HEADER_LINE = re.compile(rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]+):([^\r\n]*)")
BLANKS = b" \t"
CHUNK_LINE = re.compile(rb"([0-9A-Fa-f]{1,8})[ \t]*(?:;[^\r\n]*)?")
FRAMING_HEADERS = ("transfer-encoding", "content-length")
LENGTH = re.compile(r"[0-9]{1,15}")
CONTINUE = 100
MIN_FINAL_STATUS = 200
NO_CONTENT = 204
NOT_MODIFIED = 304


class HttpResponseHead(NamedTuple):
    """Status and headers of a response; `closes` if the connection ends with it."""

    status: int
    headers: tuple[tuple[str, str], ...]
    closes: bool

    def header(self, name):
        """Return the first value of a header by its lower-case name, or ''."""
        values = (value for key, value in self.headers if key.lower() == name)
        return next(values, "")

    @property
    def is_framed(self):
        """Return whether the body's own framing tells where it ends."""
        names = {name.lower() for name, _ in self.headers}
        return not names.isdisjoint(FRAMING_HEADERS)


def connect(address, timeout_ms):
    """Return a `Connection` to `IP:port`, or raise `ConnectError`."""
    host, _, port = address.rpartition(":")
    try:
        connected_socket = socket.create_connection(
            (host, int(port)), timeout_ms / MS_PER_S
        )
        # The time-out above is for connecting; a request may take longer to send.
        connected_socket.settimeout(None)
        set_socket_options(connected_socket)
    except ConnectionRefusedError as error:
        raise ConnectRefusedError(f"can't connect to {address}: {error}") from error
    except (OSError, ValueError, OverflowError) as error:
        raise ConnectError(f"can't connect to {address}: {error}") from error
    return Connection(connected_socket)


def set_socket_options(connected_socket):
    """Disable Nagle's algorithm; detect a peer that is gone without a reset."""
    connected_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    connected_socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp = socket.IPPROTO_TCP
    set_user_timeout(connected_socket, TCP_USER_TIMEOUT_MS)
    connected_socket.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    connected_socket.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    connected_socket.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)


def set_user_timeout(connected_socket, timeout_ms):
    """Let TCP end a connection whose peer acknowledges nothing for `timeout_ms`."""
    connected_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)


def may_abandon_always(stalled_ms):
    """Return that a silent peer may be given up."""
    return True


def encode_request(method, target, headers, body):
    """Return the bytes of a request, with a Content-Length if it may have a body."""
    return encode_head(method, target, headers, len(body)) + body


def encode_head(method, target, headers, body_bytes):
    """Return the head of a request with a body of `body_bytes`."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers]
    if body_bytes or method not in ("GET", "HEAD", "DELETE"):
        lines.append(f"Content-Length: {body_bytes}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1")


class Connection:
    """A connection that carries one request at a time.

    `reusable` is whether another request may follow the previous one. `requests_sent`
    counts the requests sent. `may_abandon` is called with the time for which nothing
    has arrived; while it returns false, TCP does not give up a silent peer. `ids` are
    those of requests that must not be sent over it again.

    The kernel reports the failure of a connection once, to whoever uses it next. If
    that is not the reader, it sees an end of file, so `lost_error` keeps the failure
    for it.
    """

    def __init__(self, connected_socket):
        self.socket = connected_socket
        self.reader = task.SocketReader(connected_socket)
        self.buffer = bytearray()
        self.reusable = True
        self.eof_received = False
        self.requests_sent = 0
        self.ids = AnsweredIds()
        self.chunks_in_turn = 0
        self.unsent_bytes = 0
        self.sender_task = None
        self.lost_error = None
        self.may_abandon = may_abandon_always
        self.has_long_timeout = False

    def bound_receive_buffer(self, size):
        """Let the kernel buffer up to about `size` bytes that are not read."""
        with contextlib.suppress(OSError):
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)

    def send(self, head, body=b""):
        """Send a request; a large one is sent in a task while the response is read."""
        self.requests_sent += 1
        self.reusable = False
        self.unsent_bytes = len(head) + len(body)
        if self.unsent_bytes <= MAX_INLINE_SEND_BYTES:
            self.send_all(head + body)
        else:
            self.sender_task = task.spawn(self.send_in_background, head, body)

    def send_in_background(self, head, body):
        """Send without raising; a target may respond before it has read everything."""
        try:
            self.send_all(head, body)
        except ExchangeError as error:
            self.lost_error = error

    def send_all(self, *parts):
        """Send every byte, or raise `ExchangeError`."""
        try:
            for part in filter(None, parts):
                # Of a view, what is still to be sent is no copy.
                self.socket.sendall(memoryview(part))
        except OSError as error:
            raise classify_error(error) from error
        self.unsent_bytes = 0

    def receive_more(self, remaining_ms):
        """Read more bytes into the buffer; return False at end of file."""
        if remaining_ms <= 0:
            raise ResponseTimeoutError("no response before the deadline")
        try:
            data = self.receive_in_steps(remaining_ms)
        except OSError as error:
            raise classify_error(error) from error
        self.chunks_in_turn = 0
        self.buffer += data
        self.eof_received = not data
        if not data and self.lost_error is not None:
            raise self.lost_error
        return bool(data)

    def receive_in_steps(self, remaining_ms):
        """Return received bytes; decide at each step whether TCP may give up."""
        stalled_ms = 0
        while True:
            step_ms = min(STALL_INTERVAL_MS, remaining_ms - stalled_ms)
            try:
                return self.reader.receive(READ_BYTES, step_ms)
            except TimeoutError as error:
                stalled_ms += step_ms
                if error.errno or stalled_ms >= remaining_ms:
                    raise
            self.extend_timeout(not self.may_abandon(stalled_ms), remaining_ms)

    def extend_timeout(self, is_long, remaining_ms=0):
        """Let TCP wait for a silent peer beyond the deadline, or not any longer."""
        if is_long == self.has_long_timeout:
            return
        self.has_long_timeout = is_long
        extra_ms = remaining_ms if is_long else 0
        # On a broken connection it fails, as the next read or send will.
        with contextlib.suppress(OSError):
            set_user_timeout(self.socket, TCP_USER_TIMEOUT_MS + extra_ms)

    def end_exchange(self):
        """Restore the short time-out of an idle connection."""
        self.may_abandon = may_abandon_always
        self.extend_timeout(False)

    def read_head(self, remaining_ms):
        """Return the next `HttpResponseHead` that isn't interim (1xx).

        `remaining_ms()` returns the time until the deadline.
        """
        for _ in range(MAX_INTERIM_HEADS + 1):
            head = self.read_one_head(remaining_ms)
            if head.status >= MIN_FINAL_STATUS:
                return head
        raise MalformedResponseError("too many interim responses")

    def read_one_head(self, remaining_ms):
        """Return the next head, interim or final."""
        while (end := self.buffer.find(b"\r\n\r\n")) < 0:
            if len(self.buffer) > MAX_HEAD_BYTES:
                raise MalformedResponseError("response head too long")
            if not self.could_be_head():
                raise MalformedResponseError("response isn't HTTP/1.x")
            if not self.receive_more(remaining_ms()):
                raise ExchangeError("the connection was closed before a response")
        data = bytes(self.buffer[:end])
        del self.buffer[: end + 4]
        return parse_head(data)

    def could_be_head(self):
        """Return whether the bytes so far can be the start of a response."""
        start = b"HTTP/1."
        return start.startswith(self.buffer[: len(start)])

    def read_body(self, head, method, remaining_ms):
        """Yield the body that follows `head` in parts, as they arrive."""
        if method == "HEAD" or head.status in (NO_CONTENT, NOT_MODIFIED):
            parts = ()
        elif not head.is_framed:
            parts = self.read_until_close(remaining_ms)
        elif head.header("transfer-encoding"):
            parts = self.read_chunked(head, remaining_ms)
        else:
            parts = self.read_counted(parse_length(head), remaining_ms)
        yield from parts
        self.reusable = not (head.closes or self.eof_received or self.unsent_bytes)

    def read_counted(self, length, remaining_ms):
        """Yield exactly `length` bytes."""
        while length:
            if not self.buffer and not self.receive_more(remaining_ms()):
                raise ExchangeError("the answer ended early")
            part = bytes(self.buffer[:length])
            del self.buffer[:length]
            length -= len(part)
            yield part

    def read_chunked(self, head, remaining_ms):
        """Yield the data of a body in chunked encoding; skip its trailer."""
        if head.header("transfer-encoding").lower() != "chunked":
            raise MalformedResponseError("unknown transfer encoding")
        while size := self.read_chunk_size(remaining_ms):
            yield from self.read_counted(size, remaining_ms)
            if self.read_line(remaining_ms):
                raise MalformedResponseError("no line end after the data of a chunk")
        self.skip_trailers(remaining_ms)

    def skip_trailers(self, remaining_ms):
        """Read the lines after the last chunk, up to and including the empty one."""
        for _ in range(MAX_TRAILER_LINES + 1):
            if not self.read_line(remaining_ms):
                return
        raise MalformedResponseError("too many trailers")

    def read_chunk_size(self, remaining_ms):
        """Return the size of the next chunk; after many, let other tasks run first."""
        self.chunks_in_turn += 1
        if self.chunks_in_turn > MAX_CHUNKS_PER_TURN:
            self.chunks_in_turn = 1
            task.sleep()
        match = CHUNK_LINE.fullmatch(self.read_line(remaining_ms))
        if not match:
            raise MalformedResponseError("malformed chunk size")
        return int(match[1], 16)

    def read_line(self, remaining_ms):
        """Return one line of chunked encoding, without its line end."""
        while (end := self.buffer.find(b"\r\n")) < 0:
            if len(self.buffer) > MAX_CHUNK_LINE_BYTES:
                raise MalformedResponseError("line of chunked encoding too long")
            if not self.receive_more(remaining_ms()):
                raise ExchangeError("the answer ended early")
        line = bytes(self.buffer[:end])
        del self.buffer[: end + 2]
        return line

    def read_until_close(self, remaining_ms):
        """Yield all bytes until the peer closes the connection without a reset."""
        while True:
            if self.buffer:
                part = bytes(self.buffer)
                self.buffer.clear()
                yield part
            if not self.receive_more(remaining_ms()):
                return

    def is_alive(self):
        """Return whether the connection is open and has no unread data."""
        if self.buffer:
            return False
        raw_socket = getattr(self.socket, "fd", self.socket)
        try:
            raw_socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError as error:
            self.lost_error = classify_error(error)
        return False

    def close(self):
        """Close the connection; the peer may cancel a running request."""
        self.reusable = False
        try:
            # Lets other tasks run, which may cancel this one.
            self.end_sender_task()
        finally:
            self.reader.close()
            with contextlib.suppress(OSError):
                self.socket.close()

    def end_sender_task(self):
        """Stop sending a request, if that is still going on."""
        sender_task, self.sender_task = self.sender_task, None
        if sender_task is not None:
            sender_task.kill()


def classify_error(error):
    """Return the `ExchangeError` for an `OSError` of a send or a read.

    A time-out of TCP has an error number, one of the read has none.
    """
    if not isinstance(error, TimeoutError):
        return ExchangeError(f"the connection broke: {error}")
    if error.errno:
        return PeerUnreachableError(f"the other end is silent: {error}")
    return ResponseTimeoutError("no response before the deadline")


def parse_head(data):
    """Return the `HttpResponseHead` in the bytes that precede the empty line."""
    first, *rest = data.split(b"\r\n")
    status_line = STATUS_LINE.fullmatch(first)
    matches = [HEADER_LINE.fullmatch(line) for line in rest]
    if not status_line or not all(matches):
        raise MalformedResponseError("malformed response head")
    headers = tuple(
        (m[1].decode("ascii"), m[2].strip(BLANKS).decode("latin-1")) for m in matches
    )
    head = HttpResponseHead(int(status_line[2]), headers, False)
    options = head.header("connection").lower()
    closes = "close" in options or (
        status_line[1] == b"0" and "keep-alive" not in options
    )
    return head._replace(closes=closes)


def parse_length(head):
    """Return the Content-Length of a response."""
    lengths = {v for k, v in head.headers if k.lower() == "content-length"}
    if len(lengths) != 1 or not LENGTH.fullmatch(length := lengths.pop()):
        raise MalformedResponseError("malformed Content-Length")
    return int(length)
