"""HTTP connections that send the request target (path and query) unmodified.

urllib3 normalizes percent encodings and resolves dot segments in a URL. To bypass it,
the request target is passed in a pseudo-header, which is removed before the request is
sent.
"""

from urllib3 import HTTPHeaderDict

from pollenmount.wire.strict import StrictConnection

__all__ = ["RawTargetConnection", "with_request_target"]

REQUEST_TARGET = ":target"


class RawTargetConnection(StrictConnection):
    """A connection that sends the request target set by `with_request_target`."""

    def request(self, method, url, body=None, headers=None, **options):
        """Send a request; the pseudo-header, if set, replaces `url`."""
        sent = HTTPHeaderDict(headers)
        request_target = sent.pop(REQUEST_TARGET, url)
        super().request(method, request_target, body=body, headers=sent, **options)


def with_request_target(headers, request_target):
    """Return the headers with a pseudo-header that holds the request target."""
    return HTTPHeaderDict(headers, **{REQUEST_TARGET: request_target})
