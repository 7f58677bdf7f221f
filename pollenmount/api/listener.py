"""Listening socket that goes on accepting after errors that pass.

It accepts no more connections than the VM may have.

eventlet's server ends at the first error, closes its idle connections and never accepts
another one.
"""

import collections
import contextlib
import ctypes
import errno
import socket
import struct
import time

from eventlet.greenio import GreenSocket
from eventlet.hubs import IOClosed, notify_opened

from pollenmount import task
from pollenmount.log import get_logger

__all__ = ["Listener"]

RETRY_MS = 50
# At most one line in this time.
REPORT_INTERVAL_S = 1
# The socket is closed, or was never one that listens. All other errors pass: there are
# no descriptors or memory for now, or a single connection failed; accept(2).
LASTING_ERRORS = {errno.EBADF, errno.ENOTSOCK, errno.EINVAL}

# From the kernel's headers; `socket` has no name for it.
SO_ATTACH_FILTER = 26
# A socket filter, as (code, jump if true, jump if false, operand) of each instruction:
# drops segments that ask for a new connection (SYN without ACK), and passes all others.
DROP_NEW_CONNECTIONS = (
    (0x30, 0, 0, 13),  # load the flags
    (0x54, 0, 0, 0x12),  # keep SYN and ACK
    (0x15, 0, 1, 0x02),  # skip the next instruction unless only SYN is set
    (0x06, 0, 0, 0),  # drop
    (0x06, 0, 0, 0xFFFFFFFF),  # pass
)

logger = get_logger("web")


class Listener:
    """Wraps a listening socket.

    `wait_for_slot` returns once another connection may be accepted, and `on_accept` is
    called with each one.
    """

    def __init__(
        self,
        listening_socket,
        wait_for_slot=lambda: None,
        on_accept=lambda accepted: None,
    ):
        self.socket = listening_socket
        self.wait_for_slot = wait_for_slot
        self.on_accept = on_accept
        self.reported_at = None
        self.is_stopped = False
        self.accepted = collections.deque()

    def __getattr__(self, name):
        """Return an attribute of the socket."""
        return getattr(self.socket, name)

    def accept(self):
        """Return (connection, address); retry after an error that passes.

        After `stop` it does not return, so that open connections are still served.
        """
        while True:
            if self.accepted:
                return self.accepted.popleft()
            if self.is_stopped:
                self.wait_after_stop()
                continue
            try:
                self.wait_for_slot()
                accepted = self.socket.accept()
                self.on_accept(accepted)
                return accepted
            except OSError as error:
                if self.is_stopped:
                    continue
                if error.errno in LASTING_ERRORS or isinstance(error, IOClosed):
                    raise
                self.report(errno.errorcode.get(error.errno, str(error)))
            except Exception as error:
                self.report(type(error).__name__)
            task.sleep(RETRY_MS)

    def stop(self):
        """Accept the connections that wait, and refuse further ones.

        The kernel would reset those that wait, and so any that it established after
        the last accept. It drops the requests for new ones from before that on; their
        senders repeat them after a second, and are refused then.
        """
        self.is_stopped = True
        drop_new_connections(self.socket)
        with contextlib.suppress(OSError):
            while True:
                connection, address = self.socket.fd.accept()
                notify_opened(connection.fileno())
                accepted = GreenSocket(connection), address
                self.on_accept(accepted)
                self.accepted.append(accepted)
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_RDWR)

    def wait_after_stop(self):
        """Wait for good, once the connections that waited at the stop are served."""
        if not self.accepted:
            task.Event().wait()

    def report(self, problem):
        """Log a problem, unless one was logged a moment ago."""
        now = time.monotonic()
        if self.reported_at is None or now - self.reported_at >= REPORT_INTERVAL_S:
            self.reported_at = now
            logger.warning("can't accept", extra={"problem": problem})


def drop_new_connections(listening_socket):
    """Let the kernel drop requests for new connections, where it supports that."""
    packed = b"".join(struct.pack("HBBI", *line) for line in DROP_NEW_CONNECTIONS)
    program = ctypes.create_string_buffer(packed)
    option = struct.pack("HL", len(DROP_NEW_CONNECTIONS), ctypes.addressof(program))
    with contextlib.suppress(OSError):
        listening_socket.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, option)
