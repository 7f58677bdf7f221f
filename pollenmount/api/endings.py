"""How responses to callers and their connections end, for logs and metrics."""

from enum import StrEnum

from pollenmount import task

__all__ = [
    "CallerDisconnectedError",
    "End",
    "RequestEndedError",
    "ResponseWriter",
    "find_end",
]


class End(StrEnum):
    """Why a connection was closed, or why a response ended without being complete."""

    CALLER_CLOSED = "caller_closed"
    CALLER_RESET = "caller_reset"
    WRITE_FAILED = "write_failed"
    WRITE_TIMED_OUT = "write_timed_out"
    RESPONSE_LIMIT = "response_limit"
    RESPONSE_BROKEN = "response_broken"
    CANCELLED = "cancelled"
    CUT_AT_STOP = "cut_at_stop"
    IDLE = "idle"
    HEAD_UNREADABLE = "head_unreadable"
    REFUSED = "refused"
    AFTER_REPLY = "after_reply"


class CallerDisconnectedError(task.Cancelled):
    """Cancels a request whose caller disconnected; `end` tells how."""

    def __init__(self, end):
        super().__init__(end)
        self.end = end


class RequestEndedError(Exception):
    """Ends a running request because this VM stops."""

    end = End.CUT_AT_STOP


def find_end(error):
    """Return the `End` of a response that `error` interrupted."""
    if isinstance(error, CallerDisconnectedError | RequestEndedError):
        return error.end
    if isinstance(error, task.Timeout):
        return End.RESPONSE_LIMIT
    if isinstance(error, TimeoutError) and not error.errno:
        return End.WRITE_TIMED_OUT
    if isinstance(error, OSError):
        return End.WRITE_FAILED
    if isinstance(error, Exception):
        return End.RESPONSE_BROKEN
    return End.CANCELLED


class ResponseWriter:
    """Buffered output of a connection.

    `size` counts the bytes written, and `error` is the exception that interrupted a
    write, or None.
    """

    def __init__(self, file):
        self.file = file
        self.size = 0
        self.error = None

    @property
    def closed(self):
        """Return whether the output is closed."""
        return self.file.closed

    def write(self, data):
        """Write bytes."""
        self.call(self.file.write, data)
        self.size += len(data)

    def writelines(self, parts):
        """Write several byte strings."""
        self.call(self.file.writelines, parts)
        self.size += sum(map(len, parts))

    def flush(self):
        """Send the bytes in the buffer."""
        self.call(self.file.flush)

    def close(self):
        """Send the bytes in the buffer and close the output."""
        self.file.close()

    def call(self, function, *args):
        """Call a function of the file; record the exception that interrupts it."""
        try:
            function(*args)
        except BaseException as error:
            self.error = error
            raise
