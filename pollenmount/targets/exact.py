"""HTTP connections that send the target of a request exactly as it was given.

urllib3 writes percent encodings anew and resolves dot segments. The target goes around
it in a header that is taken out before anything is sent.
"""

from urllib3 import HTTPHeaderDict
from urllib3.connection import HTTPConnection

__all__ = ["ExactConnection", "with_target"]

TARGET = ":target"


class ExactConnection(HTTPConnection):
    """A connection that sends the target given by `with_target`."""

    def request(self, method, url, body=None, headers=None, **options):
        """Send a request."""
        sent = HTTPHeaderDict(headers)
        target = sent.pop(TARGET, url)
        super().request(method, target, body=body, headers=sent, **options)


def with_target(headers, target):
    """Return the headers of a request to `target`."""
    return HTTPHeaderDict(headers, **{TARGET: target})
