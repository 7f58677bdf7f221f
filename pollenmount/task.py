"""Green tasks and their mailboxes; the only module that starts green threads.

Other modules import `PeriodicTask`, `Mailbox`, `sleep` and `Event` from here, so that
the event loop library can be replaced in one place.
"""

import contextlib

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
    """Make the standard library cooperative; native threads stay native for gRPC."""
    eventlet.monkey_patch(thread=False)


def sleep(ms=0):
    """Let other tasks run for at least `ms` milliseconds."""
    eventlet.sleep(ms / MS_PER_S)


class SocketReader:
    """Reads one connection; its registration with the event loop lasts.

    A stream comes in many small parts. Registering once, not for each of them, and
    waiting first where the last read took all there was, saves most system calls.
    """

    def __init__(self, connection):
        self.connection = connection
        self.raw_socket = getattr(connection, "fd", None)
        self.hub_listener = None
        self.waiter = None
        self.drained = False

    def receive(self, size, timeout_ms):
        """Return bytes, b'' at the orderly end; wait `timeout_ms` at most.

        A reset raises `ConnectionResetError`, which a green socket's own `recv` would
        return as an orderly end; a wait that ends raises `TimeoutError`.
        """
        if self.raw_socket is None:
            self.connection.settimeout(timeout_ms / MS_PER_S)
            return self.connection.recv(size)
        while True:
            if self.drained:
                self.wait_readable(timeout_ms)
            try:
                data = self.raw_socket.recv(size)
            except BlockingIOError:
                self.drained = True
            else:
                self.drained = len(data) < size
                return data

    def wait_readable(self, timeout_ms):
        """Wait until there may be bytes to read."""
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
        """Let the waiting task go on; without one, nothing more is wanted for now."""
        if self.waiter is None:
            self.unregister()
        else:
            self.waiter.switch()

    def on_error(self, *error):
        """Raise in the waiting task what the event loop found."""
        if self.waiter is not None:
            self.waiter.throw(*error)

    def unregister(self):
        """End the registration until the next wait."""
        if self.hub_listener is not None:
            eventlet.hubs.get_hub().remove(self.hub_listener)
            self.hub_listener = None

    def close(self):
        """End the registration, and a wait of another task, before the connection."""
        self.unregister()
        if self.waiter is not None:
            error = ConnectionAbortedError("closed on this side")
            hub = eventlet.hubs.get_hub()
            hub.schedule_call_global(0, self.waiter.throw, error)


def spawn(function, *args):
    """Run `function` once in the background; a fault in it is logged."""
    return eventlet.spawn(run_logged, function, *args)


def run_logged(function, *args):
    """Call `function` and log the exception that ends it, if any."""
    try:
        return function(*args)
    except Exception:
        logger.exception("background task failed", extra={"task": function.__name__})
        return None


@contextlib.contextmanager
def flush_in_background(writer):
    """Let a `LineWriter` write from a task while the context lasts."""
    flush_task = PeriodicTask(writer.write_available, FLUSH_INTERVAL_MS)
    try:
        yield
    finally:
        flush_task.close()
        writer.close()


class PeriodicTask:
    """A loop that calls `step` every `interval_ms` until it is closed.

    A fault in one step is logged and the loop goes on.
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
