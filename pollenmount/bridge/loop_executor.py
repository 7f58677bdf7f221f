"""Hands closures from native threads to the event loop.

A native thread appends to a deque and writes one byte to a socket pair; a task on the
event loop reads it and runs what waits, each in a task of its own.
"""

import collections
import contextlib

from pollenmount import task

__all__ = ["LoopExecutor"]

READ_BYTES = 4096


class LoopExecutor:
    """Runs closures of native threads on the event loop."""

    def __init__(self):
        self.queue = collections.deque()
        self.wake_reader, self.wake_writer = task.socketpair()
        self.wake_writer.setblocking(False)
        self.task = task.spawn(self.run)

    def post(self, function, *args):
        """Queue a call; safe from every thread."""
        self.queue.append((function, args))
        # A full buffer means that a wake-up is on its way already.
        with contextlib.suppress(BlockingIOError, OSError):
            self.wake_writer.send(b"\0")

    def run(self):
        """Run what is queued, for ever."""
        while self.wake_reader.recv(READ_BYTES):
            while self.queue:
                function, args = self.queue.popleft()
                task.spawn(function, *args)

    def close(self):
        """Stop taking closures."""
        self.task.kill()
        self.wake_reader.close()
        self.wake_writer.close()
