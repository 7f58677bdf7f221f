"""Replies of all listeners: JSON documents and typed refusals."""

import http
import json
from typing import Any, NamedTuple

__all__ = [
    "Reply",
    "json_reply",
    "refusal_document",
    "refusal_reply",
    "status_line",
]

JSON_TYPE = ("Content-Type", "application/json")
MS_PER_S = 1000
UNAUTHORIZED = 401
TOO_MANY_REQUESTS = 429
SERVER_ERROR = 500


class Reply(NamedTuple):
    """An HTTP response: status, headers, and a list or generator of bytes."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: Any


def json_reply(document, status=200, headers=()):
    """Return a reply with a JSON document."""
    data = json.dumps(document).encode()
    length = ("Content-Length", str(len(data)))
    return Reply(status, (JSON_TYPE, length, *headers), [data])


def refusal_document(refusal):
    """Return the JSON document of a refusal."""
    return {
        "error": {
            "type": error_type(refusal.status),
            "code": str(refusal.kind),
            "message": refusal.message,
            "not_run": refusal.not_run,
            "retry_after_ms": refusal.retry_after_ms,
        }
    }


def error_type(status):
    """Return the error type by which clients of chat completion APIs classify it."""
    if status == TOO_MANY_REQUESTS:
        return "rate_limit_error"
    return "server_error" if status >= SERVER_ERROR else "invalid_request_error"


def refusal_reply(refusal, headers=()):
    """Return the reply for a refusal, with its document and headers."""
    extra = list(headers)
    if refusal.retry_after_ms:
        seconds = -(-refusal.retry_after_ms // MS_PER_S)
        extra.append(("Retry-After", str(seconds)))
    if refusal.status == UNAUTHORIZED:
        extra.append(("WWW-Authenticate", "Bearer"))
    return json_reply(refusal_document(refusal), refusal.status, extra)


def status_line(status):
    """Return the status code with its reason phrase."""
    try:
        return f"{status} {http.HTTPStatus(status).phrase}"
    except ValueError:
        return f"{status} Unknown"
