"""Responses of `http.client` that take no end of file for the end of a line.

The standard library, and urllib3 on it, read a head or a trailer that is cut off as if
it were complete, and ignore a framing that they can't read: the body is then empty,
short, or ends with the connection.
"""

import http.client

from urllib3 import HTTPConnectionPool, PoolManager
from urllib3.connection import HTTPConnection
from urllib3.exceptions import HeaderParsingError
from urllib3.util.response import assert_header_parsing

from pollenmount.wire.numbers import parse_decimal

__all__ = ["StrictConnection", "make_pool_manager"]


class WholeLines:
    """A binary file whose `readline` returns whole lines only."""

    def __init__(self, file):
        self.file = file

    def __getattr__(self, name):
        """Return an attribute of the file."""
        return getattr(self.file, name)

    def readline(self, limit=-1):
        """Return a line, or `limit` bytes of it; raise an error at the end of file."""
        line = self.file.readline(limit)
        if line.endswith(b"\n") or len(line) == limit:
            return line
        raise http.client.RemoteDisconnected("the connection was closed inside a line")


class StrictResponse(http.client.HTTPResponse):
    """A response whose head and framing are complete and unambiguous."""

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self.fp = WholeLines(self.fp)

    def begin(self):
        """Read the head; raise `HTTPException` if it is malformed."""
        super().begin()
        try:
            assert_header_parsing(self.msg)
        except HeaderParsingError as error:
            raise http.client.HTTPException("malformed header") from error
        problem = find_problem(self.msg)
        if problem:
            raise http.client.HTTPException(problem)


class StrictConnection(HTTPConnection):
    """A connection of urllib3 with strict responses."""

    response_class = StrictResponse


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
