"""A native thread for calls that block, such as syncing a file.

The calling task waits while the event loop goes on.
"""

from concurrent import futures

from pollenmount import task

__all__ = ["NativeWorker"]


class NativeWorker:
    """Runs functions on one native thread, in the order of their calls."""

    def __init__(self, loop_executor):
        self.loop_executor = loop_executor
        self.pool = futures.ThreadPoolExecutor(1)

    def run(self, function, *args):
        """Return what `function` returns, or raise what it raises."""
        future = self.pool.submit(function, *args)
        done = task.Event()
        future.add_done_callback(lambda _: self.loop_executor.post(done.send, None))
        done.wait()
        return future.result()

    def close(self):
        """End the thread after what it runs now."""
        self.pool.shutdown(wait=True, cancel_futures=True)
