"""What can go wrong while a request is sent and its answer is read."""

__all__ = [
    "ConnectError",
    "PeerUnreachableError",
    "ExchangeError",
    "ResponseTimeoutError",
    "MalformedResponseError",
]


class ExchangeError(Exception):
    """No whole answer came; `not_run` only when it is proved that nothing ran."""

    not_run = False


class ConnectError(ExchangeError):
    """No connection came about, so nothing was sent."""

    not_run = True


class PeerUnreachableError(ExchangeError):
    """The other end acknowledges nothing any more; what was sent may have run."""


class ResponseTimeoutError(ExchangeError):
    """The answer, or its next part, didn't come before the limit."""


class MalformedResponseError(ExchangeError):
    """What came isn't an answer in HTTP/1.1."""
