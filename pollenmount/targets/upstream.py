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

from pollenmount.targets.exact import ExactConnection, with_target

__all__ = [
    "ConnectError",
    "LateError",
    "Upstream",
    "UpstreamError",
    "limit_wait",
    "read_body",
]

CONNECT_TIMEOUT_S = 1.0
MS_PER_S = 1000
POOL_CONNECTIONS = 256
POOLS = 512
READ_BYTES = 65_536
NEVER_CONNECTED = (NewConnectionError, ConnectTimeoutError)


class UpstreamError(Exception):
    """A call that brought no whole answer; `not_run` only when that is proved.

    `retry_after_ms` is the pause that the other end asked for, 0 if none.
    """

    def __init__(self, problem, not_run=False, retry_after_ms=0):
        super().__init__(problem)
        self.not_run = not_run
        self.retry_after_ms = retry_after_ms


class ConnectError(UpstreamError):
    """No connection came about, so nothing ran."""

    def __init__(self, problem):
        super().__init__(problem, not_run=True)


class LateError(UpstreamError):
    """The answer, or its next part, didn't come in time."""


class Connection(ExactConnection):
    """A connection whose responses keep its socket, to set timeouts on it."""

    def getresponse(self):
        """Return the response once its head is there."""
        connected = self.sock
        response = super().getresponse()
        response.connected = connected
        return response


class Pool(urllib3.HTTPConnectionPool):
    """Connections to one address."""

    ConnectionCls = Connection


class Upstream:
    """Connections to targets and peers, pooled by address."""

    def __init__(self):
        self.pools = urllib3.PoolManager(
            num_pools=POOLS, maxsize=POOL_CONNECTIONS, block=False, retries=False
        )
        self.pools.pool_classes_by_scheme = {"http": Pool}

    def open(self, address, method, path, headers, body, timeout_ms, fresh=False):
        """Send a request and return the response, its body still unread.

        `fresh` uses a new connection, so that a failure to connect is the only
        ambiguity-free failure and a stale pooled connection can't cause another.
        """
        timeout = urllib3.Timeout(
            connect=CONNECT_TIMEOUT_S, read=max(timeout_ms, 1) / MS_PER_S
        )
        with contextlib.ExitStack() as stack:
            pool = self.pool(address, fresh, stack)
            response = send(pool, method, path, headers, body, timeout)
            # A fresh connection is closed with its pool, when the answer is read.
            response.owned = stack.pop_all()
        return response

    def pool(self, address, fresh, stack):
        """Return the pool to use; `stack` owns one that no other request uses."""
        if not fresh:
            return self.pools.connection_from_url(f"http://{address}")
        host, _, port = address.rpartition(":")
        pool = Pool(host.strip("[]"), int(port), maxsize=1, retries=False)
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
            headers=with_target(headers, path),
            body=body,
            timeout=timeout,
            retries=False,
            preload_content=False,
            decode_content=False,
            redirect=False,
            assert_same_host=False,
        )
    except NEVER_CONNECTED as error:
        raise ConnectError("can't connect") from error
    except ReadTimeoutError as error:
        raise LateError("no answer in time") from error
    except (HTTPError, OSError) as error:
        raise UpstreamError(f"no answer ({type(error).__name__})") from error


def limit_wait(response, ms):
    """Let the wait for each further part of an answer last at most `ms`."""
    response.connected.settimeout(max(ms, 1) / MS_PER_S)


def read_body(response):
    """Yield the body's parts as they arrive; close the connection unless it ended."""
    with contextlib.ExitStack() as stack:
        stack.enter_context(response.owned)
        stack.callback(response.close)
        try:
            yield from response.stream(READ_BYTES, decode_content=False)
        except ReadTimeoutError as error:
            raise LateError("the answer stopped coming") from error
        except (HTTPError, OSError) as error:
            problem = f"answer was cut off ({type(error).__name__})"
            raise UpstreamError(problem) from error
        response.release_conn()
