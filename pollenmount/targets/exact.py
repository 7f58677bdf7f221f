"""HTTP connections that send the target of a request exactly as it was given.

urllib3 writes percent encodings anew and resolves dot segments. The target goes around
it in a header that is taken out before anything is sent.
"""

from urllib3 import HTTPHeaderDict
from urllib3.connection import HTTPConnection

__all__ = ["RawTargetConnection", "with_request_target"]

REQUEST_TARGET = ":target"


class RawTargetConnection(HTTPConnection):
    """A connection that sends the target given by `with_request_target`."""

    def request(self, method, url, body=None, headers=None, **options):
        """Send a request."""
        sent = HTTPHeaderDict(headers)
        request_target = sent.pop(REQUEST_TARGET, url)
        super().request(method, request_target, body=body, headers=sent, **options)


def with_request_target(headers, request_target):
    """Return the headers of a request to `request_target`."""
    return HTTPHeaderDict(headers, **{REQUEST_TARGET: request_target})
