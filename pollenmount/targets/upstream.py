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
)

from pollenmount.targets.exact import ExactPool, with_target

__all__ = ["Upstream", "UpstreamError"]

CONNECT_TIMEOUT_S = 1.0
MS_PER_S = 1000
POOL_CONNECTIONS = 256
POOLS = 512
READ_BYTES = 65_536
POOL_CLASSES = {"http": ExactPool}
NEVER_CONNECTED = (NewConnectionError, ConnectTimeoutError)


class UpstreamError(Exception):
    """A call that brought no whole answer; `not_run` only when that is proved."""

    def __init__(self, problem, not_run=False):
        super().__init__(problem)
        self.not_run = not_run


class Upstream:
    """Connections to targets and peers, pooled by address."""

    def __init__(self):
        self.pools = urllib3.PoolManager(
            num_pools=POOLS, maxsize=POOL_CONNECTIONS, block=False, retries=False
        )
        self.pools.pool_classes_by_scheme = POOL_CLASSES

    def open(self, address, method, path, headers, body, timeout_ms, fresh=False):
        """Send a request and return the response, its body still unread.

        `fresh` uses a new connection, so that a failure to connect is the only
        ambiguity-free failure and a stale pooled connection can't cause another.
        """
        pools = self.fresh_pools() if fresh else self.pools
        timeout = urllib3.Timeout(
            connect=CONNECT_TIMEOUT_S, read=max(timeout_ms, 1) / MS_PER_S
        )
        try:
            return pools.urlopen(
                method,
                f"http://{address}/",
                headers=with_target(headers, path),
                body=body,
                timeout=timeout,
                preload_content=False,
                decode_content=False,
                redirect=False,
                assert_same_host=False,
            )
        except NEVER_CONNECTED as error:
            raise UpstreamError("can't connect", not_run=True) from error
        except (HTTPError, OSError) as error:
            raise UpstreamError(f"no answer ({type(error).__name__})") from error

    def fresh_pools(self):
        """Return a pool of connections that no request has used."""
        pools = urllib3.PoolManager(num_pools=1, maxsize=1, retries=False)
        pools.pool_classes_by_scheme = POOL_CLASSES
        return pools

    def close(self):
        """Close all pooled connections."""
        self.pools.clear()


def read_body(response):
    """Yield the body's parts as they arrive; close the connection unless it ended."""
    with contextlib.ExitStack() as stack:
        stack.callback(response.close)
        try:
            yield from response.stream(READ_BYTES, decode_content=False)
        except (HTTPError, OSError) as error:
            problem = f"answer was cut off ({type(error).__name__})"
            raise UpstreamError(problem) from error
        stack.pop_all()
        response.release_conn()
