"""Runs function calls that native threads submit on the event loop.

A native thread appends a call to a deque and wakes the event loop by writing one byte
to a socket pair. A task reads the byte and runs each queued call in a task of its own.
"""

import collections
import contextlib

from pollenmount import task
from pollenmount.log import get_logger

__all__ = ["LoopExecutor"]

READ_BYTES = 4096
# Queued calls wait for as long if the socket pair fails.
RETRY_MS = 10

logger = get_logger("bridge")


class LoopExecutor:
    """Runs the function calls of native threads on the event loop."""

    def __init__(self):
        self.queue = collections.deque()
        self.wake_reader, self.wake_writer = task.socketpair()
        self.wake_writer.setblocking(False)
        self.is_closed = False
        self.task = task.spawn(self.run)

    def post(self, function, *args):
        """Queue a call; may be used from any thread."""
        self.queue.append((function, args))
        # If the buffer is full, the event loop is about to be woken already.
        with contextlib.suppress(BlockingIOError, OSError):
            self.wake_writer.send(b"\0")

    def run(self):
        """Run queued calls until the executor is closed."""
        while not self.is_closed:
            self.wait_for_wake()
            while self.queue:
                function, args = self.queue.popleft()
                task.spawn(function, *args)

    def wait_for_wake(self):
        """Wait until a call is queued; after an error, for a moment only."""
        problem = "end of file"
        try:
            if self.wake_reader.recv(READ_BYTES):
                return
        except OSError as error:
            problem = str(error)
        logger.error("can't be woken", extra={"problem": problem})
        task.sleep(RETRY_MS)

    def close(self):
        """Stop the task; calls that are still queued are not run."""
        self.is_closed = True
        self.task.kill()
        self.wake_reader.close()
        self.wake_writer.close()
