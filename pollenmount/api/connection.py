"""One connection of the WSGI server, with strict parsing and time limits.

eventlet's own handler parses heads leniently and answers malformed ones without a JSON
document. This one parses them with `head` and `body`, refuses them with a typed
document, and detects callers that disconnect.
"""

import contextlib
import os
import socket
import struct
import traceback
from typing import NamedTuple
from urllib.parse import unquote

import eventlet
import eventlet.hubs
import eventlet.wsgi
from result import Err

from pollenmount import task
from pollenmount.api.body import Body
from pollenmount.api.endings import (
    WRITE_BLOCK_BYTES,
    CallerDisconnectedError,
    End,
    RequestShedError,
    ResponseWriter,
    find_end,
)
from pollenmount.api.head import (
    MAX_HEAD_BYTES,
    MAX_LINE_BYTES,
    parse_head,
    read_lines,
)
from pollenmount.api.reply import refusal_reply, status_line
from pollenmount.errors import Refusal, RefusalKind
from pollenmount.log import get_logger
from pollenmount.memory.holding import Phase

__all__ = ["Connection", "ConnectionLimits", "default_limits"]

IDLE_TIMEOUT_S = 75
HEAD_TIMEOUT_S = 10
SOCKET_TIMEOUT_S = 30
RESPONSE_LIMIT_S = 3700
LINGER_TIMEOUT_S = 2
MAX_LINGER_BYTES = 16 << 20
READ_BLOCK_BYTES = 65_536
# SO_LINGER that lets a close send a reset.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
HTTP_10 = "HTTP/1.0"
# Requests of one connection that are answered before other tasks run.
MAX_REQUESTS_PER_TURN = 8

logger = get_logger("web")


class ConnectionLimits(NamedTuple):
    """Limits of a connection: idle time, time and bytes for a head, bytes per line."""

    idle_s: float
    head_s: float
    head_bytes: int
    line_bytes: int


def default_limits():
    """Return the limits for listeners that set none of their own."""
    return ConnectionLimits(
        IDLE_TIMEOUT_S, HEAD_TIMEOUT_S, MAX_HEAD_BYTES, MAX_LINE_BYTES
    )


class Connection(eventlet.wsgi.HttpProtocol):
    """A connection to `listener`, which knows connections and running requests.

    `holding` is what it holds of the VM's memory. `requests` counts its requests;
    `failure` is the exception that interrupted the newest response, and `end` why the
    connection is closed.
    """

    def __init__(self, listener, conn_state, server):
        self.listener = listener
        self.requests = 0
        self.failure = None
        self.end = End.AFTER_REPLY
        self.body = None
        self.disconnect_watcher = None
        self.lingers_on_close = False
        self.thread = eventlet.getcurrent()
        self.holding = listener.take_holding(conn_state[1])
        self.holding.end = self.shed
        listener.connections += 1
        listener.unused += 1
        try:
            super().__init__(conn_state, server)
        finally:
            listener.connections -= 1
            self.holding.close()
            listener.unused -= not self.requests
            self.record_end()
            self.forget_errors()

    def setup(self):
        """Set up input and output; the latter records why a write failed."""
        super().setup()
        self.wfile = ResponseWriter(self.wfile, self.holding)

    def record_end(self):
        """Count why the connection was closed; log it if that cut a response."""
        if self.failure is None:
            self.listener.on_close(self.end)
            return
        end = End.SHED if self.holding.is_ended else find_end(self.failure)
        self.listener.on_close(end)
        fields = {
            "end": end,
            "peer": "{}:{}".format(*self.client_address),
            "requests": self.requests,
            "sent_bytes": self.wfile.size,
            "error": type(self.failure).__name__,
        }
        logger.info("connection closed", extra=fields)

    def forget_errors(self):
        """Free what the frames of a failure hold, such as the response.

        The references form a cycle, which only the garbage collector would find.
        """
        if self.failure is not None:
            traceback.clear_frames(self.failure.__traceback__)
        self.failure = self.thread = self.holding.end = None

    def handle_one_request(self):
        """Read one request and send the reply; after some, let other tasks run first.

        Nothing waits while the caller sends requests ahead that are answered at once.
        """
        if self.requests % MAX_REQUESTS_PER_TURN == MAX_REQUESTS_PER_TURN - 1:
            task.sleep()
        self.close_connection = 1
        head_result = self.read_head()
        if head_result is None:
            return
        self.listener.unused -= not self.requests
        self.requests += 1
        self.conn_state[2] = eventlet.wsgi.STATE_REQUEST
        request_thread = eventlet.getcurrent()
        self.listener.running.add(request_thread)
        try:
            if isinstance(head_result, Err):
                self.send_refusal(head_result.err_value)
            else:
                self.run_request(head_result.ok_value)
        finally:
            self.listener.running.discard(request_thread)

    def read_head(self):
        """Return Ok(Head), Err(Refusal), or None if no request arrived."""
        limits = self.listener.limits()
        self.connection.settimeout(limits.idle_s)
        self.end = End.IDLE
        self.holding.enter(Phase.IDLE)
        try:
            if not self.wait_for_request():
                is_shed = self.holding.is_ended
                self.end = End.SHED if is_shed else End.CALLER_CLOSED
                return None
            self.holding.enter(Phase.HEAD)
            self.end = End.HEAD_UNREADABLE
            self.connection.settimeout(SOCKET_TIMEOUT_S)
            with task.Timeout(limits.head_s):
                request_line = self.rfile.readline(limits.line_bytes + 1)
                lines = read_lines(
                    request_line,
                    self.rfile.readline,
                    limits.head_bytes,
                    limits.line_bytes,
                )
                return lines.and_then(parse_head)
        except OSError:
            return None
        except task.Timeout:
            message = f"send the request head within {limits.head_s:g} s"
            return Err(Refusal(RefusalKind.SLOW_REQUEST, message))

    def wait_for_request(self):
        """Return whether a request begins within the idle time; False at the end.

        After a stall the event loop may run timers before it polls sockets, so that a
        request may have arrived although the time-out was raised.
        """
        try:
            return bool(self.rfile.peek(1))
        except TimeoutError:
            if not self.has_unread_data():
                raise
        # The file can't be read any more after a time-out; its buffer is empty.
        self.rfile = self.connection.makefile("rb", self.rbufsize)
        return bool(self.rfile.peek(1))

    def has_unread_data(self):
        """Return whether received bytes wait in the socket."""
        with contextlib.suppress(OSError):
            return bool(self.connection.fd.recv(1, socket.MSG_PEEK))
        return False

    def send_refusal(self, refusal):
        """Reply to a head that cannot be served, and close the connection."""
        self.end = End.REFUSED
        reply = refusal_reply(refusal, [("Connection", "close")])
        lines = [f"HTTP/1.1 {status_line(reply.status)}"]
        lines += [f"{name}: {value}" for name, value in reply.headers]
        head = "\r\n".join([*lines, "", ""]).encode("latin-1")
        with contextlib.suppress(OSError):
            self.wfile.write(head + b"".join(reply.body))
            self.wfile.flush()
            self.lingers_on_close = True

    def run_request(self, head):
        """Run the application on one request and send its response."""
        self.command = head.method
        self.request_version = head.version
        self.requestline = f"{head.method} {head.target} {head.version}"
        self.headers = {"Connection": "close" if head.closes_connection else ""}
        self.close_connection = int(head.closes_connection)
        self.application = self.run_application
        self.body = Body(head, self.rfile, self.wfile, self.holding)
        self.holding.enter(Phase.RUNNING)
        self.environ = self.make_environ(head)
        self.end = End.AFTER_REPLY
        try:
            with task.Timeout(RESPONSE_LIMIT_S):
                self.handle_one_response()
            self.lingers_on_close = not self.body.is_complete
        except OSError as error:
            self.failure = self.failure or error
            self.close_connection = 1
        except BaseException as error:
            self.failure = self.failure or error
            raise
        finally:
            self.failure = self.failure or self.wfile.error
            self.stop_disconnect_watcher()
            self.body.close()
            self.holding.release(self.holding.held)

    def run_application(self, environ, start_response):
        """Run the application; return its response."""
        parts = self.server.app(environ, start_response)
        return parts if hasattr(parts, "__len__") else self.watch_parts(parts)

    def watch_parts(self, parts):
        """Yield the parts of a response; record an exception that interrupts them.

        Large parts are split, since eventlet's server copies each one with its framing.
        """
        try:
            with contextlib.ExitStack() as stack:
                if hasattr(parts, "close"):
                    stack.callback(parts.close)
                for part in parts:
                    yield from split_part(part)
        except Exception as error:
            self.failure = error
            raise

    def make_environ(self, head):
        """Return the WSGI environment of one request."""
        path, _, query = head.target.partition("?")
        environ = {
            "REQUEST_METHOD": head.method,
            "SCRIPT_NAME": "",
            "PATH_INFO": unquote(path, encoding="latin-1"),
            "RAW_TARGET": head.target,
            "QUERY_STRING": query,
            "SERVER_PROTOCOL": head.version,
            "headers_raw": head.headers,
            "wsgi.input": self.body,
            "eventlet.input": self.body,
            "eventlet.posthooks": [],
            # Send each chunk of a stream at once, whatever its size.
            "eventlet.minimum_write_chunk_size": 1,
            "pollenmount.connection": self,
        }
        for name, value in head.headers:
            key = name.upper().replace("-", "_")
            if key not in ("CONTENT_TYPE", "CONTENT_LENGTH"):
                key = f"HTTP_{key}"
            environ[key] = f"{environ[key]},{value}" if key in environ else value
        return environ

    def close_after_reply(self):
        """Close the connection after this reply, as announced in its headers."""
        self.close_connection = 1

    def cancel_on_disconnect(self):
        """Cancel the running request when its caller closes the connection."""
        request_thread = eventlet.getcurrent()
        self.disconnect_watcher = eventlet.spawn(
            self.watch_for_disconnect, request_thread
        )

    def watch_for_disconnect(self, request_thread):
        """Wait for the caller to disconnect, then cancel the request."""
        with contextlib.suppress(eventlet.hubs.IOClosed):
            eventlet.hubs.trampoline(self.connection.fileno(), read=True)
            end = self.find_disconnect()
            if end is not None:
                self.disconnect_watcher = None
                eventlet.kill(request_thread, CallerDisconnectedError(end))

    def find_disconnect(self):
        """Return how the caller closed its side of the connection, or None."""
        try:
            received = self.connection.fd.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return None
        except OSError:
            return End.CALLER_RESET
        return None if received else End.CALLER_CLOSED

    def stop_disconnect_watcher(self):
        """Stop waiting for the caller to disconnect."""
        if self.disconnect_watcher is not None:
            self.disconnect_watcher.kill()
            self.disconnect_watcher = None

    def finish(self):
        """Close the connection, after lingering if input may be unread."""
        if self.failure is not None and self.request_version == HTTP_10:
            self.reset()
            return
        if self.lingers_on_close:
            self.linger()
        super().finish()

    def shed(self):
        """End the connection, for the VM needs what it holds.

        A request of which the body has not arrived gets a refusal. An idle connection
        stays if a request has arrived meanwhile.
        """
        if self.holding.phase is Phase.BODY:
            eventlet.hubs.get_hub().schedule_call_global(0, self.refuse_body)
        elif self.holding.phase is not Phase.IDLE:
            with contextlib.suppress(OSError):
                # What waits in the kernel's buffers is discarded.
                self.connection.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
                )
                self.connection.shutdown(socket.SHUT_RDWR)
        elif not self.has_unread_data():
            # The caller may still have to read the last response.
            with contextlib.suppress(OSError):
                self.connection.shutdown(socket.SHUT_RDWR)

    def refuse_body(self):
        """Raise `RequestShedError` in the task that reads the body, if one does."""
        if self.holding.phase is Phase.BODY and self.thread in self.listener.reading:
            self.thread.throw(RequestShedError())

    def reset(self):
        """Reset the connection: its regular end would be the end of a whole body."""
        with contextlib.suppress(OSError):
            self.connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
            )
            eventlet.hubs.notify_close(self.connection.fileno())
            os.close(self.connection.fd.detach())

    def linger(self):
        """Discard input for a bounded time; closing at once would reset the reply."""
        remaining_bytes = MAX_LINGER_BYTES
        self.holding.enter(Phase.LINGERING)
        with contextlib.suppress(OSError), task.Timeout(LINGER_TIMEOUT_S, False):
            self.connection.shutdown(socket.SHUT_WR)
            while remaining_bytes > 0 and (
                data := self.connection.recv(READ_BLOCK_BYTES)
            ):
                remaining_bytes -= len(data)


def split_part(part):
    """Yield a part of a response in blocks."""
    if len(part) <= WRITE_BLOCK_BYTES:
        yield part
        return
    for start in range(0, len(part), WRITE_BLOCK_BYTES):
        yield part[start : start + WRITE_BLOCK_BYTES]
