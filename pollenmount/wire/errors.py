"""Errors of sending a request and reading its response."""

__all__ = [
    "ConnectError",
    "ConnectRefusedError",
    "PeerUnreachableError",
    "ExchangeError",
    "ResponseTimeoutError",
    "MalformedResponseError",
]


class ExchangeError(Exception):
    """No complete response; `not_run` only if the request surely didn't run."""

    not_run = False


class ConnectError(ExchangeError):
    """The connection couldn't be established, so nothing was sent."""

    not_run = True


class ConnectRefusedError(ConnectError):
    """The peer's machine runs, but no process listens at the address."""


class PeerUnreachableError(ExchangeError):
    """The peer stopped acknowledging data; what was sent may have run."""


class ResponseTimeoutError(ExchangeError):
    """The response, or its next part, didn't arrive before the deadline."""


class MalformedResponseError(ExchangeError):
    """The received data isn't a valid HTTP/1.1 response."""
