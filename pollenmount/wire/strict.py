"""Responses of `http.client` that end where they end, and in time.

The standard library, and urllib3 on it, read a head or a trailer that is cut off as if
it were complete, and ignore a framing that they can't read: the body is then empty,
short, or ends with the connection. They read lines without end, a time-out of theirs
begins anew with each byte, and an interim response is the response to them. A reset may
be the end of a body to them.
"""

import http.client
import io

from urllib3 import HTTPConnectionPool, PoolManager
from urllib3.connection import HTTPConnection
from urllib3.exceptions import HeaderParsingError
from urllib3.util.response import assert_header_parsing

from pollenmount import task
from pollenmount.clock import Clock
from pollenmount.wire.connection import STATUS_LINE
from pollenmount.wire.numbers import parse_decimal

__all__ = ["StrictConnection", "make_pool_manager"]

MS_PER_S = 1000
# Reads that return at once before other tasks run.
MAX_READS_PER_TURN = 4
# What may come before, between or after the parts of a body.
MAX_LINES_IN_ROW = 300
MAX_LINE_BYTES_IN_ROW = 65_536
# A server that reports its progress once a second for a minute sends as many.
MAX_INTERIM_HEADS = 64
MIN_FINAL_STATUS = 200


class SendFailure:
    """The `error` with which sending on a connection has failed, or None.

    The kernel reports the failure of a connection once. If the sender got the report,
    the reader sees an end of file.
    """

    def __init__(self):
        self.error = None


class TimedReader(io.RawIOBase):
    """A raw file of a socket, of which all reads together end in time.

    `ends_at` is when they do, None if the socket has no time-out. Other tasks run
    between reads, also if the peer sends faster than this process reads. A connection
    that has failed, also in sending (`failure`), has no end of file, but an error.
    """

    def __init__(self, file, connected_socket, clock, failure):
        super().__init__()
        self.file = file
        self.socket = connected_socket
        self.clock = clock
        self.failure = failure
        self.has_failed = False
        self.reads = 0
        self.ends_at = None
        timeout_s = connected_socket.gettimeout()
        if timeout_s is not None:
            self.allow(timeout_s * MS_PER_S)

    def allow(self, ms):
        """Let further reads take up to `ms`, and at least 1, together."""
        self.ends_at = self.clock.now() + max(ms, 1)

    def readable(self):
        """Return that the file can be read."""
        return True

    def readinto(self, buffer):
        """Read into a buffer; raise `TimeoutError` if the time is up.

        After an error, which may have been reported for the only time, none is read.
        """
        if self.has_failed:
            raise OSError("cannot read after an error")
        self.reads += 1
        if self.reads % MAX_READS_PER_TURN == 0:
            task.sleep()
        if self.ends_at is not None:
            remaining_ms = self.ends_at - self.clock.now()
            if remaining_ms <= 0:
                raise TimeoutError("timed out")
            self.socket.settimeout(remaining_ms / MS_PER_S)
        try:
            return self.receive_into(buffer)
        except OSError:
            self.has_failed = True
            raise

    def receive_into(self, buffer):
        """Return how many bytes were received, 0 at an orderly end only."""
        if hasattr(self.socket, "fd"):
            count = task.receive_into(self.socket, buffer)
        else:
            count = self.file.readinto(buffer)
        if not count and self.failure.error is not None:
            raise ConnectionResetError("sending has failed") from self.failure.error
        return count

    def close(self):
        """Close the file."""
        self.file.close()
        super().close()


class WholeLines:
    """A binary file whose `readline` returns whole lines only, and not too many.

    `lines` and `line_bytes` count those since a part of a body was read. `line` is the
    last one.
    """

    def __init__(self, file):
        self.file = file
        self.lines = self.line_bytes = 0
        self.line = b""

    def __getattr__(self, name):
        """Return an attribute of the file."""
        return getattr(self.file, name)

    def readline(self, limit=-1):
        """Return a line, or `limit` bytes of it; raise an error at the end of file."""
        line = self.file.readline(limit)
        self.lines += 1
        self.line_bytes += len(line)
        if self.lines > MAX_LINES_IN_ROW or self.line_bytes > MAX_LINE_BYTES_IN_ROW:
            raise http.client.HTTPException("too many lines that are no body")
        if line.endswith(b"\n") or len(line) == limit:
            self.line = line
            return line
        raise http.client.RemoteDisconnected("the connection was closed inside a line")

    def read(self, *args):
        """Return bytes of a body."""
        self.lines = self.line_bytes = 0
        return self.file.read(*args)


class StrictResponse(http.client.HTTPResponse):
    """A response whose head and framing are complete and unambiguous.

    `timer` is the `TimedReader` that it is read by.
    """

    def __init__(self, sock, failure, **options):
        super().__init__(sock, **options)
        self.timer = TimedReader(self.fp.detach(), sock, Clock(), failure)
        self.fp = WholeLines(io.BufferedReader(self.timer))

    def begin(self):
        """Read the head of the final response; raise `HTTPException` if malformed."""
        for _ in range(MAX_INTERIM_HEADS + 1):
            self.read_head()
            if self.status >= MIN_FINAL_STATUS:
                return
            # What has headers is not read again.
            self.headers = None
        raise http.client.HTTPException("too many interim responses")

    def _read_status(self):
        """Return version, status (100 to 599) and reason of a head."""
        status_line = super()._read_status()
        if not STATUS_LINE.fullmatch(self.fp.line.rstrip(b"\r\n")):
            raise http.client.BadStatusLine("malformed status line")
        return status_line

    def read_head(self):
        """Read one head, interim or final; raise `HTTPException` if malformed."""
        super().begin()
        try:
            assert_header_parsing(self.msg)
        except HeaderParsingError as error:
            raise http.client.HTTPException("malformed header") from error
        problem = find_problem(self.msg)
        if problem:
            raise http.client.HTTPException(problem)


class StrictConnection(HTTPConnection):
    """A connection of urllib3 with strict responses.

    `failure` is that of sending on its present socket.
    """

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self.failure = SendFailure()

    def connect(self):
        """Connect, also if an earlier socket has failed."""
        self.failure = SendFailure()
        super().connect()

    def response_class(self, sock, **options):
        """Return the response on a socket of this connection."""
        return StrictResponse(sock, self.failure, **options)

    def request(self, method, url, **options):
        """Send a request, with the time-out for sending also on a used connection."""
        if self.sock is not None:
            self.sock.settimeout(self.timeout)
        super().request(method, url, **options)

    def send(self, data):
        """Send data; of a view, what is still to be sent is no copy.

        urllib3 reads the response also after some of the errors.
        """
        try:
            super().send(memoryview(data) if isinstance(data, bytes) else data)
        except OSError as error:
            self.failure.error = error
            raise


class StrictPool(HTTPConnectionPool):
    """Connections of urllib3 to one address, with strict responses."""

    ConnectionCls = StrictConnection


def find_problem(headers):
    """Return why the headers of a response may be read in several ways, or ''."""
    if any("\n" in value for value in headers.values()):
        return "a header on several lines"
    transfer_encoding = headers.get("transfer-encoding")
    if transfer_encoding is not None and transfer_encoding.lower() != "chunked":
        return "unknown transfer encoding"
    lengths = {*headers.get_all("content-length", ())}
    if any(parse_decimal(length) is None for length in lengths) or len(lengths) > 1:
        return "malformed Content-Length"
    return ""


def make_pool_manager(pool_class=StrictPool, **options):
    """Return a `PoolManager` for HTTP that uses the pools of a class."""
    manager = PoolManager(**options)
    manager.pool_classes_by_scheme = {"http": pool_class}
    return manager
