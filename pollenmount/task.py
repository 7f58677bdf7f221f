"""Green threads: periodic and background tasks, mailboxes, sockets and timeouts.

Other modules import `PeriodicTask`, `Mailbox`, `sleep` and `Event` from here, so that
the event loop library can be replaced in one place.
"""

import contextlib
import os
import traceback

# All addresses are numeric, and eventlet's own resolver is slow to import.
os.environ.setdefault("EVENTLET_NO_GREENDNS", "yes")

import eventlet
import eventlet.event
import eventlet.hubs
import eventlet.queue
import greenlet
from eventlet.green import socket

from pollenmount.errors import ListenError
from pollenmount.log import get_logger

__all__ = [
    "Cancelled",
    "Event",
    "Mailbox",
    "PeriodicTask",
    "SocketReader",
    "Timeout",
    "flush_in_background",
    "listen",
    "monkey_patch",
    "receive_into",
    "run_logged",
    "sleep",
    "socketpair",
    "spawn",
]

MS_PER_S = 1000
FLUSH_INTERVAL_MS = 250

Event = eventlet.event.Event
Mailbox = eventlet.queue.LightQueue
Timeout = eventlet.Timeout
socketpair = socket.socketpair
Cancelled = greenlet.GreenletExit

logger = get_logger("task")


def listen(address, backlog):
    """Return a listening socket on `IP:port`, or raise `ListenError`."""
    host, _, port = address.rpartition(":")
    host_and_port = (host.strip("[]"), int(port))
    try:
        return eventlet.listen(host_and_port, reuse_port=False, backlog=backlog)
    except OSError as error:
        raise ListenError(address, error.strerror) from error


def monkey_patch():
    """Make the standard library cooperative; threads stay native for gRPC."""
    eventlet.monkey_patch(thread=False)
    log_unhandled_exceptions()


def log_unhandled_exceptions():
    """Log the exceptions of tasks, which the event loop prints to standard error.

    If that is closed or full, printing would end the process or block it.
    """
    hub = eventlet.hubs.get_hub()

    def squelch_exception(fileno, exc_info):
        log_unhandled(exc_info)
        with contextlib.suppress(Exception):
            hub.remove_descriptor(fileno)

    hub.squelch_exception = squelch_exception
    hub.squelch_generic_exception = log_unhandled
    hub.squelch_timer_exception = lambda timer, exc_info: log_unhandled(exc_info)


def log_unhandled(exc_info):
    """Log an exception without its message, which may quote a request."""
    kind, _, frames = exc_info
    fields = {"error": kind.__name__, "frames": traceback.format_tb(frames)}
    logger.error("task failed", extra=fields)


def sleep(ms=0):
    """Let other tasks run for at least `ms` milliseconds."""
    eventlet.sleep(ms / MS_PER_S)


def receive_into(green_socket, buffer):
    """Wait for bytes; return how many were received, 0 at the end of the stream.

    A reset raises `ConnectionResetError`, which a green socket's own `recv_into` would
    return as the end of the stream. The socket's time-out raises `TimeoutError`.
    """
    while True:
        with contextlib.suppress(BlockingIOError):
            return green_socket.fd.recv_into(buffer)
        eventlet.hubs.trampoline(
            green_socket.fd,
            read=True,
            timeout=green_socket.gettimeout(),
            timeout_exc=TimeoutError("timed out"),
        )


class SocketReader:
    """Reads one connection with a lasting registration in the event loop.

    A stream arrives in many small chunks. Registering once, not for each chunk, and
    waiting first after a read that drained the socket saves most system calls. A peer
    that sends faster than this process reads never drains the socket; other tasks run
    before each further read then.
    """

    def __init__(self, connection):
        self.connection = connection
        self.raw_socket = getattr(connection, "fd", None)
        self.hub_listener = None
        self.waiter = None
        self.drained = False
        self.has_unread_data = False

    def receive(self, size, timeout_ms):
        """Return received bytes, or b'' at the end of the stream.

        A reset raises `ConnectionResetError`, which a green socket's own `recv` would
        return as the end of the stream. `TimeoutError` is raised after `timeout_ms`.
        """
        if self.raw_socket is None:
            self.connection.settimeout(timeout_ms / MS_PER_S)
            return self.connection.recv(size)
        while True:
            timeout_error = self.let_others_run(timeout_ms)
            try:
                data = self.raw_socket.recv(size)
            except BlockingIOError:
                if timeout_error is not None:
                    raise timeout_error from None
                self.drained = True
            else:
                self.drained = len(data) < size
                self.has_unread_data = not self.drained
                return data

    def let_others_run(self, timeout_ms):
        """Wait for data if the socket was drained; else only let other tasks run.

        Return the error of a time-out, or None. After a stall the event loop runs
        timers before it polls sockets, so data may have arrived all the same.
        """
        if self.drained:
            try:
                self.wait_readable(timeout_ms)
            except TimeoutError as error:
                return error
        elif self.has_unread_data:
            sleep()
        return None

    def wait_readable(self, timeout_ms):
        """Wait until the socket may be readable."""
        hub = eventlet.hubs.get_hub()
        if self.hub_listener is None:
            fd = self.raw_socket.fileno()
            self.hub_listener = hub.add(
                hub.READ, fd, self.on_readable, self.on_error, None
            )
        self.waiter = greenlet.getcurrent()
        timeout_error = TimeoutError("timed out")
        timer = hub.schedule_call_global(
            timeout_ms / MS_PER_S, self.waiter.throw, timeout_error
        )
        try:
            hub.switch()
        finally:
            self.waiter = None
            timer.cancel()

    def on_readable(self, fd):
        """Resume the waiting task; if none waits, end the registration.

        Otherwise the event loop would wake again and again for unread bytes.
        """
        if self.waiter is None:
            self.unregister()
        else:
            self.waiter.switch()

    def on_error(self, *error):
        """Raise the error of the event loop in the waiting task."""
        if self.waiter is not None:
            self.waiter.throw(*error)

    def unregister(self):
        """End the registration until the next wait."""
        if self.hub_listener is not None:
            eventlet.hubs.get_hub().remove(self.hub_listener)
            self.hub_listener = None

    def close(self):
        """End the registration and any wait; call this before closing the connection.

        Another task that waits gets a `ConnectionAbortedError`.
        """
        self.unregister()
        if self.waiter is not None:
            hub = eventlet.hubs.get_hub()
            hub.schedule_call_global(0, self.end_wait, self.waiter)

    def end_wait(self, waiter):
        """Raise an error in a task, unless its wait has ended meanwhile."""
        if self.waiter is waiter:
            waiter.throw(ConnectionAbortedError("connection closed locally"))


def spawn(function, *args):
    """Run `function` once in the background; log an exception in it."""
    return eventlet.spawn(run_logged, function, *args)


def run_logged(function, *args):
    """Call `function`; log an exception and return None.

    A time-out that no other code has caught is one, too, though not by its type.
    """
    try:
        return function(*args)
    except (Exception, Timeout):
        name = getattr(function, "__name__", type(function).__name__)
        logger.exception("background task failed", extra={"task": name})
        return None


@contextlib.contextmanager
def flush_in_background(writer):
    """Flush a `LineWriter` periodically while the context lasts."""
    flush_task = PeriodicTask(writer.write_available, FLUSH_INTERVAL_MS)
    try:
        yield
    finally:
        flush_task.close()
        writer.close()


class PeriodicTask:
    """A loop that calls `step`, then waits `interval_ms`, until it is closed.

    An exception in a step is logged and the loop continues.
    """

    def __init__(self, step, interval_ms):
        self.step = step
        self.interval_ms = interval_ms
        self.thread = eventlet.spawn(self._run)

    def _run(self):
        while True:
            run_logged(self.step)
            sleep(self.interval_ms)

    def close(self):
        """Stop the loop."""
        self.thread.kill()
