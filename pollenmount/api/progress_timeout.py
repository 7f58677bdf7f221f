"""Time limit of a transfer that goes on as long as the transfer makes progress."""

from pollenmount import task

__all__ = ["ProgressTimeout"]


class ProgressTimeout:
    """Raises `task.Timeout` in this thread unless enough bytes arrive in time.

    Each time that `min_bytes` have arrived, the transfer has `window_s` more. An
    occasional byte does not extend it.
    """

    def __init__(self, window_s, min_bytes):
        self.window_s = window_s
        self.min_bytes = min_bytes
        self.missing_bytes = min_bytes
        self.timeout = None

    def __enter__(self):
        self.timeout = task.Timeout(self.window_s)
        return self

    def __exit__(self, *exc_info):
        self.timeout.cancel()

    def note(self, count):
        """Note bytes that have arrived."""
        self.missing_bytes -= count
        if self.missing_bytes <= 0:
            self.missing_bytes = self.min_bytes
            self.timeout.cancel()
            self.timeout = task.Timeout(self.window_s)
