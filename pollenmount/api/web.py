"""Small HTTP layer over WSGI: requests, replies and a server for one address."""

import functools
import socket
import traceback
from urllib.parse import parse_qs

import eventlet
import eventlet.wsgi

from pollenmount import task
from pollenmount.api.body import BodyError, ByteBudget, ByteBudgetExceededError
from pollenmount.api.connection import (
    SOCKET_TIMEOUT_S,
    Connection,
    default_limits,
)
from pollenmount.api.endings import find_end
from pollenmount.api.listener import Listener
from pollenmount.api.reply import (
    Reply,
    json_reply,
    refusal_document,
    refusal_reply,
    status_line,
)
from pollenmount.errors import Refusal, RefusalKind
from pollenmount.log import get_logger

__all__ = [
    "Reply",
    "Request",
    "WebServer",
    "json_reply",
    "make_app",
    "refusal_document",
    "refusal_reply",
]

MAX_CONNECTIONS = 10_000
MAX_BUFFERED_BODY_BYTES = 128 << 20
LISTEN_BACKLOG = 1024
BODY_TIMEOUT_S = 60
RETRY_AFTER_MS = 1000
BODYLESS_STATUSES = (204, 304)

logger = get_logger("web")


class Request:
    """One HTTP request; its body is read on demand.

    `environ`
        The WSGI environment.
    """

    def __init__(self, environ):
        self.environ = environ
        self.method = environ["REQUEST_METHOD"]
        self.path = environ["PATH_INFO"]
        self.query = environ.get("QUERY_STRING", "")

    @property
    def head(self):
        """Return the `Head` of the request, as it was sent."""
        return self.environ["wsgi.input"].head

    @property
    def target(self):
        """Return path and query as they were sent."""
        return self.environ["RAW_TARGET"]

    def query_parameter(self, name):
        """Return the first value of a query parameter, or ''."""
        return parse_qs(self.query).get(name, [""])[0]

    def header(self, name, default=""):
        """Return one header's value."""
        key = name.upper().replace("-", "_")
        if key not in ("CONTENT_TYPE", "CONTENT_LENGTH"):
            key = f"HTTP_{key}"
        return self.environ.get(key, default)

    def headers(self):
        """Return all headers as pairs, in the order they were sent."""
        return tuple(self.environ.get("headers_raw", ()))

    def bearer_token(self):
        """Return the bearer token of the Authorization header, or ''."""
        scheme, _, key = self.header("Authorization").partition(" ")
        return key.strip() if scheme.lower() == "bearer" else ""

    def cancel_on_disconnect(self):
        """Cancel the request as soon as its caller closes the connection."""
        self.environ["pollenmount.connection"].cancel_on_disconnect()

    def has_caller(self):
        """Return whether the caller has not closed the connection, as far as known."""
        return self.environ["pollenmount.connection"].find_disconnect() is None

    def find_end(self):
        """Return the `End` of the response if its writing was interrupted, or None."""
        error = self.environ["pollenmount.connection"].wfile.error
        return find_end(error) if error is not None else None

    def read(self, limit):
        """Return the body, or a `Refusal` if it is malformed, late or over `limit`."""
        if int(self.header("Content-Length", "0")) > limit:
            return too_large(limit)
        try:
            with task.Timeout(BODY_TIMEOUT_S):
                body = self.environ["wsgi.input"].read(limit)
        except task.Timeout:
            message = f"send the body within {BODY_TIMEOUT_S} s"
            return Refusal(RefusalKind.SLOW_REQUEST, message)
        except ByteBudgetExceededError:
            message = (
                "too many request bodies in memory; try again later or use another VM"
            )
            return Refusal(RefusalKind.OVERLOADED, message, True, RETRY_AFTER_MS)
        except (OSError, BodyError) as error:
            message = f"the body is unreadable ({type(error).__name__}); send it all"
            return Refusal(RefusalKind.BAD_REQUEST, message)
        return too_large(limit) if len(body) > limit else body


def too_large(limit):
    """Return the refusal for a body over the limit."""
    message = f"the body is larger than {limit} bytes; send a smaller one"
    return Refusal(RefusalKind.TOO_LARGE, message)


def make_app(handle, closing=lambda: False):
    """Return a WSGI application around `handle(Request) -> Reply`.

    While `closing()` is true, each reply closes its connection.
    """

    def app(environ, start_response):
        reply = run_handler(handle, Request(environ))
        if closing() or not environ["wsgi.input"].is_complete:
            environ["pollenmount.connection"].close_after_reply()
        start_response(status_line(reply.status), list(reply.headers))
        if environ["REQUEST_METHOD"] == "HEAD" or reply.status in BODYLESS_STATUSES:
            return consume(reply.body)
        return reply.body

    return app


def run_handler(handle, request):
    """Return the reply of `handle`; log an exception without its message.

    The message may quote the request.
    """
    try:
        return handle(request)
    except Exception as error:
        frames = traceback.format_tb(error.__traceback__)
        detail = {"error": type(error).__name__, "frames": frames}
        logger.error("unhandled exception in a request handler", extra=detail)
    message = "internal error; report it, and ask whether the request took effect"
    return refusal_reply(Refusal(RefusalKind.INTERNAL, message, not_run=False))


def consume(body):
    """Generate a response to its end, discarding it, for a reply without a body."""
    for _ in body:
        pass
    return []


class NullServerLog:
    """Discards the log lines of the WSGI server, which may quote requests."""

    def info(self, message, *args):
        """Discard one line."""

    error = debug = info


class WebServer:
    """Serves a WSGI application on `address` until it is closed.

    `connections` counts open connections and `active` running requests. `limits`
    returns the `ConnectionLimits` for the next request. `on_close` is called with the
    `End` of each connection.
    """

    def __init__(self, address, app, limits=default_limits, on_close=lambda end: None):
        self.limits = limits
        self.on_close = on_close
        self.connections = 0
        self.active = 0
        self.budget = ByteBudget(MAX_BUFFERED_BODY_BYTES)
        self.socket = task.listen(address, LISTEN_BACKLOG)
        # Accepted sockets inherit it: small chunks are sent without delay.
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.accept_thread = task.spawn(self.run, app)

    def run(self, app):
        """Accept and serve connections until `close`."""
        eventlet.wsgi.server(
            Listener(self.socket),
            app,
            protocol=functools.partial(Connection, self),
            log=NullServerLog(),
            log_output=False,
            debug=False,
            max_size=MAX_CONNECTIONS,
            socket_timeout=SOCKET_TIMEOUT_S,
            capitalize_response_headers=False,
        )

    def close(self):
        """Stop accepting connections."""
        self.accept_thread.kill()
        self.socket.close()
