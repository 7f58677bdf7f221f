"""Selection of the headers that are forwarded between callers and targets."""

from urllib3 import HTTPHeaderDict

__all__ = ["HOP_BY_HOP_HEADERS", "request_headers", "response_headers", "strip_headers"]

HOP_BY_HOP_HEADERS = frozenset(
    {
        *("connection", "keep-alive", "proxy-authenticate", "proxy-authorization"),
        *("te", "trailer", "transfer-encoding", "upgrade", "content-length", "host"),
    }
)
GATEWAY_HEADERS = HOP_BY_HOP_HEADERS | {
    "x-request-id",
    "date",
    "server",
    "idempotency-key",
}
GATEWAY_PREFIX = "pollenmount-"
NO_COMPRESSION = "identity"


def strip_headers(headers, dropped=HOP_BY_HOP_HEADERS):
    """Return the headers without `dropped` and those listed in Connection."""
    headers = tuple(headers)
    connection_headers = {
        name.strip().lower()
        for key, value in headers
        if key.lower() == "connection"
        for name in value.split(",")
    }
    removed = dropped | connection_headers
    return tuple((key, value) for key, value in headers if key.lower() not in removed)


def response_headers(headers):
    """Return the headers of a target's response that are sent to the caller."""
    return tuple(
        (key, value)
        for key, value in strip_headers(headers, GATEWAY_HEADERS)
        if not key.lower().startswith(GATEWAY_PREFIX)
    )


def request_headers(call, attempt_id):
    """Return the headers of a request to a target."""
    headers = HTTPHeaderDict()
    for key, value in call.headers:
        headers.add(key, value)
    headers["X-Request-Id"] = attempt_id
    headers["Pollenmount-Class"] = call.class_
    headers.discard("Pollenmount-Resume-From")
    if call.key:
        headers["Idempotency-Key"] = call.key
    if call.stream:
        # The end mark can't be recognized in a compressed stream.
        headers["Accept-Encoding"] = NO_COMPRESSION
    if call.resume_from:
        headers["Pollenmount-Resume-From"] = str(call.resume_from)
    return headers
