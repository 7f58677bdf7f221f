"""HTTP calls to targets and to entry VMs of other failure domains.

A connection carries one request at a time. If the response isn't read to its end, the
connection is closed instead of being returned to the pool.
"""

import contextlib
import functools
import socket

import urllib3
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
    ReadTimeoutError,
)

from pollenmount import task
from pollenmount.clock import Clock
from pollenmount.targets.exact import RawTargetConnection, with_request_target
from pollenmount.targets.live_connections import LiveConnections
from pollenmount.wire.strict import make_pool_manager

__all__ = [
    "ConnectError",
    "ConnectRefusedError",
    "FailedResponseError",
    "UnfitResponseError",
    "UnprovenDenialError",
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
# Parts of a body that are read before other tasks run.
MAX_PARTS_PER_TURN = 64
CONNECT_FAILURES = (NewConnectionError, ConnectTimeoutError)


class UpstreamError(Exception):
    """A call failed before its response was complete.

    `not_run` is true only if it is certain that the request was not executed.
    `retry_after_ms` is the delay that the other end asked for, 0 if none.
    """

    def __init__(self, message, not_run=False, retry_after_ms=0):
        super().__init__(message)
        self.not_run = not_run
        self.retry_after_ms = retry_after_ms


class ConnectError(UpstreamError):
    """The connection could not be established, so the request was not executed."""

    def __init__(self, message):
        super().__init__(message, not_run=True)


class ConnectRefusedError(ConnectError):
    """The target's machine runs, but no process listens at the address."""


class UpstreamTimeoutError(UpstreamError):
    """The response, or the next part of it, did not arrive in time."""


class FailedResponseError(UpstreamError):
    """The target answered with a status for which another one is asked."""


class UnprovenDenialError(FailedResponseError):
    """The status denies a run, and the mark that proves it is missing."""


class UnfitResponseError(UpstreamError):
    """The target sent a response that is none to this attempt, or unreadable."""


class Connection(RawTargetConnection):
    """A connection whose responses keep their timer, for time-outs of the body.

    They also tell whether they are the first on the connection (`is_first`). Of a body
    without a length, their `stream` yields the parts as they arrive.
    """

    responses = 0

    def getresponse(self):
        """Return the response once its headers have arrived."""
        response = super().getresponse()
        response.timer = response._original_response.timer
        response.is_first = not self.responses
        self.responses += 1
        if not response.chunked and response.length_remaining is None:
            response.stream = functools.partial(stream_arrivals, response)
        return response

    def close(self):
        """Close the connection; it may be opened again."""
        self.responses = 0
        super().close()


def stream_arrivals(response, max_bytes, decode_content):
    """Yield the parts of a body as they arrive.

    urllib3 would hold back up to `max_bytes`, and lose them if the connection is reset.
    """
    while part := response.read1(max_bytes, decode_content=decode_content):
        yield part


class Pool(urllib3.HTTPConnectionPool):
    """Connection pool of one address."""

    ConnectionCls = Connection


class Upstream:
    """Connections to targets and peer VMs, pooled by address.

    `live` tells which of them are open. The kernel buffers up to about
    `receive_buffer_bytes` that are not read from one, 0 for its own limit.
    """

    def __init__(self, clock=None, receive_buffer_bytes=0):
        self.live = LiveConnections(clock or Clock())
        self.socket_options = [*Connection.default_socket_options]
        if receive_buffer_bytes:
            self.socket_options.append(
                (socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
            )
        self.pools = make_pool_manager(
            Pool,
            num_pools=MAX_POOLS,
            maxsize=MAX_IDLE_PER_POOL,
            block=False,
            retries=False,
            socket_options=self.socket_options,
        )

    def open(
        self, address, method, path, headers, body, timeout_ms, fresh=False, lease=None
    ):
        """Send a request and return the response with its body unread.

        `fresh` opens a new connection: a stale pooled one could fail after the request
        was written, which leaves open whether it was executed. The only failure that
        rules this out is one to connect. With `lease`, the new connection checks before
        it writes that the lease is still valid.
        """
        timeout = urllib3.Timeout(
            connect=CONNECT_TIMEOUT_S, read=max(timeout_ms, 1) / MS_PER_S
        )
        with contextlib.ExitStack() as stack:
            pool = self.pool(address, fresh, stack, lease)
            response = send(pool, method, path, headers, body, timeout)
            self.live.add(address, response.connection)
            # The pool of a fresh connection is closed a while after the response was
            # read.
            response.owned_resources = stack.pop_all()
        return response

    def pool(self, address, fresh, stack, lease=None):
        """Return the pool to use; `stack` closes the pool of a fresh connection."""
        if not fresh:
            return self.pools.connection_from_url(f"http://{address}")
        host, _, port = address.rpartition(":")
        make_pool = lease.pool if lease else Pool
        pool = make_pool(
            host.strip("[]"),
            int(port),
            maxsize=1,
            retries=False,
            socket_options=self.socket_options,
        )
        stack.push(lambda *error: self.end_fresh(address, pool, *error))
        return pool

    def end_fresh(self, address, pool, error_type, *_):
        """Close the pool of a fresh connection, at once if its request has failed."""
        if error_type is None:
            self.live.hold(address, pool)
        else:
            pool.close()

    def close(self):
        """Close all pooled connections."""
        self.live.close()
        self.pools.clear()


def send(pool, method, path, headers, body, timeout):
    """Send a request; return its response with the body unread."""
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
        if isinstance(error.__cause__, ConnectionRefusedError):
            raise ConnectRefusedError("can't connect") from error
        raise ConnectError("can't connect") from error
    except ReadTimeoutError as error:
        raise UpstreamTimeoutError("no response before the timeout") from error
    except (HTTPError, OSError) as error:
        raise UpstreamError(f"no response ({type(error).__name__})") from error


def set_read_timeout(response, ms):
    """Let the next part of a response take up to `ms` (at least 1), however it comes.

    The time goes on until it is set anew.
    """
    response.timer.allow(ms)


def read_body(response):
    """Yield the parts of the body; close the connection unless the end was read."""
    with contextlib.ExitStack() as stack:
        stack.enter_context(response.owned_resources)
        stack.callback(response.close)
        try:
            parts = response.stream(READ_CHUNK_BYTES, decode_content=False)
            for count, part in enumerate(parts, start=1):
                yield part
                # Reading doesn't wait while the target sends faster than this VM reads.
                if count % MAX_PARTS_PER_TURN == 0:
                    task.sleep()
        except ReadTimeoutError as error:
            raise UpstreamTimeoutError("the response stalled") from error
        except (HTTPError, OSError) as error:
            message = f"response truncated ({type(error).__name__})"
            raise UpstreamError(message) from error
        response.release_conn()
