"""HTTP replies that the gateway generates itself."""

import json

from pollenmount.api.reply import Reply

__all__ = ["document_reply", "empty_reply", "error_reply"]

MS_PER_S = 1000


def error_reply(error_response, headers=()):
    """Return the reply for an `ErrorResponse`; Retry-After may be a fraction."""
    document = json.dumps({"error": error_response.reason}).encode()
    extra = list(headers)
    if error_response.retry_after_ms:
        extra.append(("Retry-After", f"{error_response.retry_after_ms / MS_PER_S:g}"))
    return document_reply(document, error_response.status, extra)


def document_reply(document, status=200, headers=()):
    """Return a reply with an encoded JSON document as its body."""
    length = ("Content-Length", str(len(document)))
    kind = ("Content-Type", "application/json")
    return Reply(status, (kind, length, *headers), [document])


def empty_reply(status):
    """Return a reply without a body."""
    return Reply(status, (("Content-Length", "0"),), [b""])
