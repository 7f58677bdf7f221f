"""Measures the memory of this process and its sockets for the budget of its VM."""

import array
import contextlib
import ctypes
import fcntl
import gc
import os
import termios

from pollenmount import task

__all__ = ["MemoryMonitor", "queued_bytes", "return_freed_memory"]

INTERVAL_MS = 200
COLLECT_INTERVAL_MS = 2000
STATM_PATH = "/proc/self/statm"
RESIDENT_FIELD = 1
# Options of mallopt(3), and the size from which memory is returned when it is freed.
M_TRIM_THRESHOLD, M_MMAP_THRESHOLD = -1, -3
MMAP_THRESHOLD_BYTES = 131_072


class MemoryMonitor:
    """Updates a `MemoryBudget` periodically and sheds what is over it."""

    def __init__(self, budget):
        self.budget = budget
        self.collected_at = budget.clock.now()
        self.task = task.PeriodicTask(self.measure, INTERVAL_MS)

    def measure(self):
        """Measure once."""
        self.budget.update(resident_bytes())
        self.budget.relieve()
        if self.budget.is_known and self.budget.excess() > 0:
            self.collect_garbage()

    def collect_garbage(self):
        """Free cycles of references that may hold bodies, unless just done."""
        now = self.budget.clock.now()
        if now - self.collected_at >= COLLECT_INTERVAL_MS:
            self.collected_at = now
            gc.collect()

    def close(self):
        """Stop measuring."""
        self.task.close()


def resident_bytes():
    """Return the resident memory of this process."""
    with open(STATM_PATH, "rb") as file:
        pages = int(file.read().split()[RESIDENT_FIELD])
    return pages * os.sysconf("SC_PAGE_SIZE")


def queued_bytes(descriptor):
    """Return the bytes that wait in the kernel's buffers of a socket, both ways."""
    total = 0
    for request in (termios.FIONREAD, termios.TIOCOUTQ):
        count = array.array("i", [0])
        # It may have been closed.
        with contextlib.suppress(OSError):
            fcntl.ioctl(descriptor, request, count)
        total += count[0]
    return total


def return_freed_memory():
    """Let the allocator return large blocks to the kernel when they are freed.

    By default glibc raises its threshold with the size of the blocks, and keeps the
    memory of bodies for later ones.
    """
    with contextlib.suppress(OSError, AttributeError):
        mallopt = ctypes.CDLL(None).mallopt
        mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES)
        mallopt(M_TRIM_THRESHOLD, MMAP_THRESHOLD_BYTES)
