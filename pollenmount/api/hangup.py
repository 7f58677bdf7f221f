"""Notices a caller's hang-up while its answer is awaited.

The WSGI server notices it only when it writes, which may be long after.
"""

import contextlib
import socket

from pollenmount import task
from pollenmount.api.web import Reply
from pollenmount.routing.request import is_idempotent

__all__ = ["GONE", "CallerGoneError", "Watch", "make_watch", "watched_parts"]

# Nobody reads it.
GONE = Reply(499, (("Connection", "close"),), [])


class CallerGoneError(Exception):
    """The caller has closed its connection; nobody waits for the answer."""


class Watch:
    """Raises `CallerGoneError` in the task that made it, while that is waiting.

    Enter it around each wait; outside, a hang-up is only remembered. A connection
    whose caller sends more before it has its answer isn't watched any longer.
    """

    def __init__(self, connection):
        self.connection = connection
        self.gone = False
        self.waiting = False
        self.owner = task.current()
        self.watcher = task.spawn(self.run)

    def run(self):
        """Wait until the connection has something to read: its end."""
        while True:
            try:
                if self.connection.recv(1, socket.MSG_PEEK):
                    return
            except TimeoutError:
                continue
            except OSError:
                pass
            break
        self.gone = True
        if self.waiting:
            self.waiting = False
            task.interrupt(self.owner, CallerGoneError())

    def __enter__(self):
        if self.gone:
            raise CallerGoneError
        self.waiting = True

    def __exit__(self, *details):
        self.waiting = False

    def close(self):
        """Stop watching."""
        self.watcher.kill()


def make_watch(stack, call, connection):
    """Return the watch over a caller's connection, or none for an action.

    An action that may run once runs on, so that its answer is recorded.
    """
    if connection is None or not is_idempotent(call.route):
        return contextlib.nullcontext()
    return stack.enter_context(contextlib.closing(Watch(connection)))


def watched_parts(parts, watch):
    """Yield the data of an answer's parts, each awaited under the watch."""
    while True:
        with watch:
            part = next(parts, None)
        if part is None:
            return
        yield part.data
