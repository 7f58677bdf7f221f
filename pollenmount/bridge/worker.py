"""A native thread for blocking calls, such as syncing a file.

The calling task waits for the result, while the event loop runs other tasks.
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
        """Run `function` on the thread; return its result or raise its exception."""
        future = self.pool.submit(function, *args)
        done = task.Event()
        future.add_done_callback(lambda _: self.loop_executor.post(done.send, None))
        done.wait()
        return future.result()

    def close(self):
        """Cancel queued calls, wait for the running one and end the thread."""
        self.pool.shutdown(wait=True, cancel_futures=True)
