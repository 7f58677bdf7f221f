"""Headers forwarded to targets, and validation of chat completion requests."""

import pytest

from pollenmount.api.callers import forwarded_headers, parse_chat
from pollenmount.api.web import Request


def request_with(*headers):
    environ = {"REQUEST_METHOD": "GET", "PATH_INFO": "/", "headers_raw": headers}
    for name, value in headers:
        environ["HTTP_" + name.upper().replace("-", "_")] = value
    return Request(environ)


def test_connection_headers_and_credentials_are_not_forwarded():
    sent = (
        *(("X-A", "1"), ("X-A", "2"), ("x-hop", "3"), ("Accept", "*/*")),
        *(("Connection", "keep-alive, X-Hop"), ("Authorization", "Bearer k")),
        *(("Expect", "100-continue"), ("Host", "h"), ("X-Request-Id", "r")),
        *(("Transfer-Encoding", "chunked"), ("Idempotency-Key", "i")),
    )
    forwarded = forwarded_headers(request_with(*sent))
    assert forwarded == (("X-A", "1"), ("X-A", "2"), ("Accept", "*/*"))


@pytest.mark.parametrize(
    ("body", "is_valid"),
    [
        (b'{"model": "m", "messages": [{"role": "user"}]}', True),
        (b'{"model": "m", "messages": [], "x": {"a": 1}, "y": {"a": 1}}', True),
        (b'{"model": "m", "messages": [], "x": {"a": 1, "a": 2}}', False),
        (b'{"model": "m", "model": "m", "messages": []}', False),
        (b'{"model": "m", "messages": [], "x": -Infinity}', False),
        (b'\xef\xbb\xbf{"model": "m", "messages": []}', False),
        (b"null", False),
    ],
)
def test_chat_documents(body, is_valid):
    assert (parse_chat(body) is not None) == is_valid
