"""Runs function calls that native threads submit on the event loop.

A native thread appends a call to a deque and wakes the event loop by writing one byte
to a socket pair. A task reads the byte and runs each queued call in a task of its own.
"""

import collections
import contextlib

from pollenmount import task

__all__ = ["LoopExecutor"]

READ_BYTES = 4096


class LoopExecutor:
    """Runs the function calls of native threads on the event loop."""

    def __init__(self):
        self.queue = collections.deque()
        self.wake_reader, self.wake_writer = task.socketpair()
        self.wake_writer.setblocking(False)
        self.task = task.spawn(self.run)

    def post(self, function, *args):
        """Queue a call; may be used from any thread."""
        self.queue.append((function, args))
        # If the buffer is full, the event loop is about to be woken already.
        with contextlib.suppress(BlockingIOError, OSError):
            self.wake_writer.send(b"\0")

    def run(self):
        """Run queued calls until the executor is closed."""
        while self.wake_reader.recv(READ_BYTES):
            while self.queue:
                function, args = self.queue.popleft()
                task.spawn(function, *args)

    def close(self):
        """Stop the task; calls that are still queued are not run."""
        self.task.kill()
        self.wake_reader.close()
        self.wake_writer.close()
