"""HTTP calls to targets and to entry VMs of other failure domains.

A connection carries one request at a time; one whose answer wasn't read to its end is
closed and never used again.
"""

import contextlib

import urllib3
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
    ReadTimeoutError,
)

from pollenmount.targets.exact import RawTargetConnection, with_request_target

__all__ = [
    "ConnectError",
    "Upstream",
    "UpstreamError",
    "UpstreamTimeoutError",
    "read_body",
    "set_read_timeout",
]

CONNECT_TIMEOUT_S = 1.0
MS_PER_S = 1000
MAX_IDLE_PER_POOL = 256
MAX_POOLS = 512
READ_CHUNK_BYTES = 65_536
CONNECT_FAILURES = (NewConnectionError, ConnectTimeoutError)


class UpstreamError(Exception):
    """A call that brought no whole answer; `not_run` only when that is proved.

    `retry_after_ms` is the pause that the other end asked for, 0 if none.
    """

    def __init__(self, message, not_run=False, retry_after_ms=0):
        super().__init__(message)
        self.not_run = not_run
        self.retry_after_ms = retry_after_ms


class ConnectError(UpstreamError):
    """No connection came about, so nothing ran."""

    def __init__(self, message):
        super().__init__(message, not_run=True)


class UpstreamTimeoutError(UpstreamError):
    """The answer, or its next part, didn't come in time."""


class Connection(RawTargetConnection):
    """A connection whose responses keep its socket, to set timeouts on it."""

    def getresponse(self):
        """Return the response once its head is there."""
        connection_socket = self.sock
        response = super().getresponse()
        response.connection_socket = connection_socket
        return response


class Pool(urllib3.HTTPConnectionPool):
    """Connections to one address."""

    ConnectionCls = Connection


class Upstream:
    """Connections to targets and peers, pooled by address."""

    def __init__(self):
        self.pools = urllib3.PoolManager(
            num_pools=MAX_POOLS, maxsize=MAX_IDLE_PER_POOL, block=False, retries=False
        )
        self.pools.pool_classes_by_scheme = {"http": Pool}

    def open(
        self, address, method, path, headers, body, timeout_ms, fresh=False, lease=None
    ):
        """Send a request and return the response, its body still unread.

        `fresh` uses a new connection, so that a failure to connect is the only
        ambiguity-free failure and a stale pooled connection can't cause another.
        `lease` gives a new connection that is written only under its lease.
        """
        timeout = urllib3.Timeout(
            connect=CONNECT_TIMEOUT_S, read=max(timeout_ms, 1) / MS_PER_S
        )
        with contextlib.ExitStack() as stack:
            pool = self.pool(address, fresh, stack, lease)
            response = send(pool, method, path, headers, body, timeout)
            # A fresh connection is closed with its pool, when the answer is read.
            response.owned_resources = stack.pop_all()
        return response

    def pool(self, address, fresh, stack, lease=None):
        """Return the pool to use; `stack` owns one that no other request uses."""
        if not fresh:
            return self.pools.connection_from_url(f"http://{address}")
        host, _, port = address.rpartition(":")
        make_pool = lease.pool if lease else Pool
        pool = make_pool(host.strip("[]"), int(port), maxsize=1, retries=False)
        stack.callback(pool.close)
        return pool

    def close(self):
        """Close all pooled connections."""
        self.pools.clear()


def send(pool, method, path, headers, body, timeout):
    """Send a request; return its response, the body unread."""
    try:
        return pool.urlopen(
            method,
            "/",
            headers=with_request_target(headers, path),
            body=body,
            timeout=timeout,
            retries=False,
            preload_content=False,
            decode_content=False,
            redirect=False,
            assert_same_host=False,
        )
    except CONNECT_FAILURES as error:
        raise ConnectError("can't connect") from error
    except ReadTimeoutError as error:
        raise UpstreamTimeoutError("no answer in time") from error
    except (HTTPError, OSError) as error:
        raise UpstreamError(f"no answer ({type(error).__name__})") from error


def set_read_timeout(response, ms):
    """Let the wait for each further part of an answer last at most `ms`."""
    response.connection_socket.settimeout(max(ms, 1) / MS_PER_S)


def read_body(response):
    """Yield the body's parts as they arrive; close the connection unless it ended."""
    with contextlib.ExitStack() as stack:
        stack.enter_context(response.owned_resources)
        stack.callback(response.close)
        try:
            yield from response.stream(READ_CHUNK_BYTES, decode_content=False)
        except ReadTimeoutError as error:
            raise UpstreamTimeoutError("the answer stopped coming") from error
        except (HTTPError, OSError) as error:
            message = f"answer was cut off ({type(error).__name__})"
            raise UpstreamError(message) from error
        response.release_conn()
