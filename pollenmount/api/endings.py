"""How responses to callers and their connections end, for logs and metrics."""

from enum import StrEnum

from pollenmount import task
from pollenmount.memory.holding import Phase

__all__ = [
    "CallerDisconnectedError",
    "End",
    "RequestEndedError",
    "RequestShedError",
    "ResponseWriter",
    "find_end",
]


WRITE_BLOCK_BYTES = 65_536
# As much fits into the buffer of the output, which is empty before each write.
SMALL_WRITE_BYTES = 8192


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
    SHED = "shed"


class CallerDisconnectedError(task.Cancelled):
    """Cancels a request whose caller disconnected; `end` tells how."""

    def __init__(self, end):
        super().__init__(end)
        self.end = end


class RequestEndedError(Exception):
    """Ends a running request because this VM stops."""

    end = End.CUT_AT_STOP


class RequestShedError(Exception):
    """Ends a request of which the body has not arrived, as this VM needs its memory."""

    end = End.SHED


def find_end(error):
    """Return the `End` of a response that `error` interrupted."""
    if isinstance(
        error, CallerDisconnectedError | RequestEndedError | RequestShedError
    ):
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
    """Buffered output of a connection, which is the `holding`.

    Large data is written in blocks, so that progress is noted. `size` counts the
    bytes written, and `error` is the exception that interrupted a write, or None.
    """

    def __init__(self, file, holding=None):
        self.file = file
        self.holding = holding
        self.size = 0
        self.error = None

    @property
    def closed(self):
        """Return whether the output is closed."""
        return self.file.closed

    def write(self, data):
        """Write bytes."""
        if len(data) <= SMALL_WRITE_BYTES:
            self.call(self.file.write, data)
            self.size += len(data)
            return
        view = memoryview(data)
        for start in range(0, len(data), WRITE_BLOCK_BYTES):
            block = view[start : start + WRITE_BLOCK_BYTES]
            self.send(self.file.write, block)
            self.size += len(block)

    def writelines(self, parts):
        """Write several byte strings."""
        for part in parts:
            self.write(part)

    def flush(self):
        """Send the bytes in the buffer."""
        self.send(self.file.flush)

    def close(self):
        """Send the bytes in the buffer and close the output."""
        self.file.close()

    def send(self, function, *args):
        """Call a function that may wait for the reader; note its progress."""
        holding = self.holding
        if holding is None:
            self.call(function, *args)
            return
        phase = holding.phase
        holding.enter(Phase.RESPONSE)
        # After an error the phase stays: nothing more is sent.
        self.call(function, *args)
        holding.enter(phase)

    def call(self, function, *args):
        """Call a function of the file; record the exception that interrupts it."""
        try:
            function(*args)
        except BaseException as error:
            self.error = error
            raise
