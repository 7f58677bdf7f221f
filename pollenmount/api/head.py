"""Strict parser of the head of an HTTP/1.1 request.

Input that another parser might interpret differently is refused: bare CR or LF, folded
lines, repeated or malformed lengths, targets in absolute form, invalid percent
encodings.
"""

import re
from typing import NamedTuple
from urllib.parse import unquote

from result import Err, Ok

from pollenmount.errors import Refusal, RefusalKind

__all__ = ["Head", "parse_head", "read_lines"]

MAX_LINE_BYTES = 8192
MAX_HEAD_BYTES = 65_536
MAX_HEADERS = 100

TOKEN = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+"
REQUEST_LINE = re.compile(rb"(" + TOKEN + rb") ([\x21-\x7e]+) HTTP/1\.([01])\r\n")
# Blanks around the value are stripped: matching them here would take cubic time.
HEADER_LINE = re.compile(rb"(" + TOKEN + rb"):([\t\x20-\x7e\x80-\xff]*)\r\n")
BLANKS = b" \t"
REQUEST_TARGET = re.compile(
    r"/(?:[^%#?]|%[0-9A-Fa-f]{2})*(?:\?(?:[^%#]|%[0-9A-Fa-f]{2})*)?"
)
CONTENT_LENGTH = re.compile(r"[0-9]{1,15}")
CONTROL_CHARACTER = re.compile(r"[\x00-\x1f\x7f]")
# Parsers differ in which value they use if one of these is repeated.
SINGLE_HEADERS = frozenset(
    {
        *("host", "content-length", "transfer-encoding", "content-type", "expect"),
        *("authorization", "idempotency-key", "x-request-id", "pollenmount-class"),
        *("pollenmount-deadline-ms", "pollenmount-call", "pollenmount-key"),
    }
)


class Head(NamedTuple):
    """The validated head of a request. `version` is `HTTP/1.0` or `HTTP/1.1`."""

    method: str
    target: str
    version: str
    headers: tuple[tuple[str, str], ...]

    def header(self, name):
        """Return the first value of a header by its lower-case name, or None."""
        values = (value for key, value in self.headers if key.lower() == name)
        return next(values, None)

    @property
    def closes_connection(self):
        """Return whether the connection is to be closed after this request."""
        words = (self.header("connection") or "").lower().split(",")
        options = {word.strip() for word in words}
        return "close" in options or self.version == "HTTP/1.0"

    @property
    def chunked(self):
        """Return whether the body is chunked."""
        return self.header("transfer-encoding") is not None

    @property
    def length(self):
        """Return the length of a body that is not chunked."""
        return int(self.header("content-length") or 0)


def read_lines(
    request_line, readline, max_bytes=MAX_HEAD_BYTES, max_line_bytes=MAX_LINE_BYTES
):
    """Return Ok(lines of a head without the final empty one) or Err(Refusal).

    A head of more than `max_bytes`, a line of more than `max_line_bytes` and more than
    `MAX_HEADERS` lines are refused.
    """
    lines = [request_line]
    size = len(request_line)
    while True:
        line = readline(max_line_bytes + 1)
        if line == b"\r\n":
            return Ok(lines)
        size += len(line)
        if len(line) > max_line_bytes or size > max_bytes:
            message = f"send at most {max_bytes} bytes of headers"
            return Err(Refusal(RefusalKind.HEADERS_TOO_LARGE, message))
        if not line.endswith(b"\n"):
            return bad_request("the request head is truncated; send all of it")
        lines.append(line)
        if len(lines) > MAX_HEADERS:
            message = f"send at most {MAX_HEADERS} headers"
            return Err(Refusal(RefusalKind.HEADERS_TOO_LARGE, message))


def parse_head(lines):
    """Return Ok(Head) or Err(Refusal) for the lines of a head."""
    request = REQUEST_LINE.fullmatch(lines[0])
    if not request:
        return bad_request("malformed request line; send 'METHOD /path HTTP/1.1'")
    matches = [HEADER_LINE.fullmatch(line) for line in lines[1:]]
    if not all(matches):
        return bad_request(
            "malformed header; send 'Name: value' on one line ended by CRLF"
        )
    method, target, minor = (part.decode("ascii") for part in request.groups())
    headers = tuple(
        (match[1].decode("ascii"), match[2].strip(BLANKS).decode("latin-1"))
        for match in matches
    )
    head = Head(method, target, f"HTTP/1.{minor}", headers)
    problem = find_problem(head)
    return bad_request(problem) if problem else Ok(head)


def find_problem(head):
    """Return the problem of a head with its remedy, or None."""
    names = [name.lower() for name, _ in head.headers]
    repeated = sorted({n for n in names if names.count(n) > 1} & SINGLE_HEADERS)
    if repeated:
        return f"{repeated[0]} is sent more than once; send it once"
    if head.version == "HTTP/1.1" and "host" not in names:
        return "the Host header is missing; send one"
    return check_target(head.target) or check_framing(head)


def check_target(target):
    """Return the problem of a request target with its remedy, or None."""
    if not REQUEST_TARGET.fullmatch(target):
        return "malformed target; send a path with valid percent encodings"
    path = unquote(target.partition("?")[0], encoding="latin-1")
    if CONTROL_CHARACTER.search(path):
        return "control characters in the path; remove them"
    if {".", ".."} & set(path.replace("\\", "/").split("/")):
        return "dot segments in the path; resolve them before sending"
    return None


def check_framing(head):
    """Return the problem of the body's framing with its remedy, or None."""
    length = head.header("content-length")
    transfer_coding = head.header("transfer-encoding")
    if length is not None and not CONTENT_LENGTH.fullmatch(length):
        return "malformed Content-Length; send a decimal integer"
    if transfer_coding is None:
        return check_expect(head)
    if transfer_coding.lower() != "chunked" or head.version != "HTTP/1.1":
        return "unsupported Transfer-Encoding; send 'chunked' or a Content-Length"
    if length is not None:
        return "Content-Length with Transfer-Encoding; send one of them"
    return check_expect(head)


def check_expect(head):
    """Return the problem of the Expect header with its remedy, or None."""
    expected = head.header("expect")
    if expected is not None and expected.lower() != "100-continue":
        return "unsupported Expect header; omit it"
    return None


def bad_request(problem):
    """Return Err(Refusal) for a malformed request."""
    return Err(Refusal(RefusalKind.BAD_REQUEST, problem))
