"""Green tasks and their mailboxes; the only module that starts green threads.

Everything else names `Task`, `Mailbox`, `sleep` and `Event`, so the hub underneath can
change in one place.
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
    "Task",
    "Timeout",
    "listen",
    "patch",
    "receive",
    "sleep",
    "socketpair",
    "spawn",
    "writing",
]

MS_PER_S = 1000
WRITE_MS = 100

Event = eventlet.event.Event
Mailbox = eventlet.queue.LightQueue
Timeout = eventlet.Timeout
socketpair = socket.socketpair
Cancelled = greenlet.GreenletExit

logger = get_logger("task")


def listen(address, backlog):
    """Return a listening socket on `IP:port`, or raise `ListenError`."""
    host, _, port = address.rpartition(":")
    place = (host.strip("[]"), int(port))
    try:
        return eventlet.listen(place, reuse_port=False, backlog=backlog)
    except OSError as error:
        raise ListenError(address, error.strerror) from error


def patch():
    """Make the standard library cooperative; native threads stay native for gRPC."""
    eventlet.monkey_patch(thread=False)


def sleep(ms=0):
    """Let other tasks run for at least `ms` milliseconds."""
    eventlet.sleep(ms / MS_PER_S)


def receive(opened, size, timeout_ms):
    """Return bytes of a connection, b'' at its orderly end; wait `timeout_ms` at most.

    A reset raises `ConnectionResetError`, which a green socket's own `recv` would
    return as an orderly end; a wait that ends raises `TimeoutError`.
    """
    plain = getattr(opened, "fd", None)
    if plain is None:
        opened.settimeout(timeout_ms / MS_PER_S)
        return opened.recv(size)
    while True:
        try:
            return plain.recv(size)
        except BlockingIOError:
            eventlet.hubs.trampoline(
                plain.fileno(),
                read=True,
                timeout=timeout_ms / MS_PER_S,
                timeout_exc=TimeoutError,
            )


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
def writing(writer):
    """Let a `LineWriter` write from a task while the context lasts."""
    loop = Task(writer.write_some, WRITE_MS)
    try:
        yield
    finally:
        loop.close()
        writer.close()


class Task:
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
