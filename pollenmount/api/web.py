"""Small HTTP layer over WSGI: requests, replies and a server for one address."""

import contextlib
import functools
import socket
import traceback
from urllib.parse import parse_qs

import eventlet
import eventlet.wsgi

from pollenmount import task
from pollenmount.api.body import (
    BodyError,
    BodyTooLargeError,
    ByteBudgetExceededError,
)
from pollenmount.api.connection import (
    SOCKET_TIMEOUT_S,
    Connection,
    default_limits,
)
from pollenmount.api.endings import RequestEndedError, RequestShedError, find_end
from pollenmount.api.listener import Listener
from pollenmount.api.progress_timeout import ProgressTimeout
from pollenmount.api.reply import (
    Reply,
    json_reply,
    refusal_document,
    refusal_reply,
    status_line,
)
from pollenmount.clock import Clock
from pollenmount.errors import Refusal, RefusalKind, stopping_refusal
from pollenmount.log import get_logger
from pollenmount.memory.budget import MemoryBudget
from pollenmount.memory.holding import Phase
from pollenmount.memory.monitor import queued_bytes

__all__ = [
    "Reply",
    "Request",
    "WebServer",
    "cut_refusal",
    "json_reply",
    "make_app",
    "refusal_document",
    "refusal_reply",
]

MAX_CONNECTIONS = 10_000
# Longer than callers may be idle by default, so that a body may pause for as long.
BODY_TIMEOUT_S = 20
# A slow but steady body sends more in that time, an occasional byte is less.
MIN_BODY_BYTES = 128
SLOT_POLL_MS = 20
BODY_ERRORS = (
    *(RequestEndedError, RequestShedError, ByteBudgetExceededError),
    *(task.Timeout, BodyError, OSError),
)
RETRY_AFTER_MS = 1000
BODYLESS_STATUSES = (204, 304)

logger = get_logger("web")


class Request:
    """One HTTP request; its body is read on demand.

    `environ`
        The WSGI environment.
    `is_refusing`
        Returns whether this VM refuses a request that it has not read whole.
    """

    def __init__(self, environ, is_refusing=lambda: False):
        self.environ = environ
        self.is_refusing = is_refusing
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

    @property
    def holding(self):
        """Return the `Holding` of the connection."""
        return self.environ["pollenmount.connection"].holding

    def has_caller(self):
        """Return whether the caller has not closed the connection, as far as known."""
        return self.environ["pollenmount.connection"].find_disconnect() is None

    def find_end(self):
        """Return the `End` of the response if its writing was interrupted, or None."""
        error = self.environ["pollenmount.connection"].wfile.error
        return find_end(error) if error is not None else None

    def read(self, limit):
        """Return the body, or a `Refusal` if it is malformed, late or over `limit`.

        It is refused as well if this VM stops before all of it has arrived.
        """
        if int(self.header("Content-Length", "0")) > limit:
            return too_large(limit)
        body = self.receive(limit)
        return stopping_refusal() if self.is_refusing() else body

    def receive(self, limit):
        """Return the body, or a `Refusal` if it is malformed, late or over `limit`."""
        listener = self.environ["pollenmount.connection"].listener
        self.holding.enter(Phase.BODY)
        try:
            with (
                ProgressTimeout(BODY_TIMEOUT_S, MIN_BODY_BYTES) as timeout,
                listener.count_reading(),
            ):
                body = self.environ["wsgi.input"].read(limit, timeout.note)
        except BODY_ERRORS as error:
            return body_refusal(error, limit)
        if self.holding.is_ended:
            # It was shed just as its last bytes arrived.
            return memory_refusal()
        self.holding.enter(Phase.RUNNING)
        return body


def cut_refusal():
    """Return the refusal of a request that was running when this VM ended."""
    message = "this VM stopped before the response was complete; it may have run"
    return Refusal(RefusalKind.OUTCOME_UNKNOWN, message, False)


def body_refusal(error, limit):
    """Return the refusal for a body that could not be read."""
    if isinstance(error, RequestEndedError):
        return stopping_refusal()
    if isinstance(error, task.Timeout):
        return slow_refusal()
    if isinstance(error, ByteBudgetExceededError | RequestShedError):
        return memory_refusal()
    if isinstance(error, BodyTooLargeError):
        return too_large(limit)
    message = f"the body is unreadable ({type(error).__name__}); send it all"
    return Refusal(RefusalKind.BAD_REQUEST, message)


def slow_refusal():
    """Return the refusal for a body that makes too little progress."""
    message = f"send {MIN_BODY_BYTES} bytes of the body in each {BODY_TIMEOUT_S} s"
    return Refusal(RefusalKind.SLOW_REQUEST, message)


def memory_refusal():
    """Return the refusal for a body that this VM has no memory for."""
    message = "too many request bodies in memory; try again later or use another VM"
    return Refusal(RefusalKind.OVERLOADED, message, True, RETRY_AFTER_MS)


def too_large(limit):
    """Return the refusal for a body over the limit."""
    message = f"the body is larger than {limit} bytes; send a smaller one"
    return Refusal(RefusalKind.TOO_LARGE, message)


def make_app(handle, closing=lambda: False, is_refusing=lambda: False):
    """Return a WSGI application around `handle(Request) -> Reply`.

    While `closing()` is true, each reply closes its connection; while `is_refusing()`
    is true, bodies that arrive are refused.
    """

    def app(environ, start_response):
        reply = run_handler(handle, Request(environ, is_refusing))
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
    except RequestEndedError:
        return refusal_reply(cut_refusal())
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


def end_requests(threads):
    """Raise `RequestEndedError` in the threads of requests; return their number."""
    ended = [*threads]
    for thread in ended:
        eventlet.kill(thread, RequestEndedError())
    return len(ended)


class NullServerLog:
    """Discards the log lines of the WSGI server, which may quote requests."""

    def info(self, message, *args):
        """Discard one line."""

    error = debug = info


class WebServer:
    """Serves a WSGI application on `address` until it is closed.

    `connections` counts open connections, and `unused` those on which no request has
    come yet. `running` has the threads of the running requests, and `reading` those of
    them that read a body. `limits` returns the `ConnectionLimits` for the next request.
    `on_close` is called with the `End` of each connection. `budget` is the
    `MemoryBudget` that the listeners of a VM share, and `holdings` are those of
    accepted connections of which the task has not begun. `spare_slots` is how many
    connections it may have beyond those of the VM.
    """

    def __init__(
        self,
        address,
        app,
        limits=default_limits,
        on_close=lambda end: None,
        budget=None,
        spare_slots=0,
    ):
        self.limits = limits
        self.spare_slots = spare_slots
        self.holdings = {}
        self.on_close = on_close
        self.connections = 0
        self.unused = 0
        self.running = set()
        self.reading = set()
        self.budget = MemoryBudget(Clock()) if budget is None else budget
        self.socket = task.listen(address, self.budget.limits.backlog)
        # Accepted sockets inherit it: small chunks are sent without delay.
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.bound_socket_buffers(self.budget.limits.socket_buffer_bytes)
        self.listener = Listener(self.socket, self.wait_for_slot, self.open_holding)
        self.accept_thread = task.spawn(self.run, app)

    def bound_socket_buffers(self, size):
        """Bound what the kernel buffers for each accepted socket, 0 for no bound."""
        if size:
            for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
                self.socket.setsockopt(socket.SOL_SOCKET, option, size)

    def wait_for_slot(self):
        """Wait until another connection may be accepted.

        As soon as one waits, others are ended if there are too many.
        """
        while self.budget.is_full(self.spare_slots):
            eventlet.hubs.trampoline(self.socket.fileno(), read=True)
            if self.budget.is_full(self.spare_slots) and not self.budget.make_slot():
                task.sleep(SLOT_POLL_MS)

    def open_holding(self, accepted):
        """Account for a connection that has been accepted."""
        connection, address = accepted
        descriptor = connection.fileno()
        self.holdings[connection] = self.budget.open(
            address[0], measure=lambda: queued_bytes(descriptor)
        )

    def take_holding(self, connection):
        """Return the `Holding` of an accepted connection, for its task."""
        return self.holdings.pop(connection)

    @property
    def active(self):
        """Return the number of running requests."""
        return len(self.running)

    @contextlib.contextmanager
    def count_reading(self):
        """Count this thread as one that reads a body."""
        self.reading.add(eventlet.getcurrent())
        try:
            yield
        finally:
            self.reading.discard(eventlet.getcurrent())

    def refuse_unread(self):
        """End the requests of which the body has not arrived; they get a refusal."""
        return end_requests(self.reading)

    def end_running(self):
        """End all running requests; return their number.

        Those without a response so far get one that says that they may have run, others
        are broken off.
        """
        return end_requests(self.running)

    def refuse_connections(self):
        """Accept no further connections; go on serving those that are open."""
        self.listener.stop()

    def run(self, app):
        """Accept and serve connections until `close`."""
        eventlet.wsgi.server(
            self.listener,
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
