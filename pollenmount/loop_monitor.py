"""Measures how late the event loop runs its tasks.

A loop is late if a task keeps it busy, if a system call blocks it, or if the machine
does not run the process. CPU time and context switches tell these apart. What is read
after a stall may have waited in its socket for as long.
"""

import resource
from typing import NamedTuple

from pollenmount import task
from pollenmount.log import get_logger

__all__ = ["NO_STALL", "LoopMonitor", "Stall"]

TICK_MS = 100
REPORTED_DELAY_MS = 250
# The time for all that came during a stall to be accepted and read.
READ_AFTER_STALL_MS = 300
# Other VMs have given up this one's links, and it has missed what they would tell.
LONG_STALL_MS = 1500
# At most one line in this time.
REPORT_INTERVAL_MS = 1000
MS_PER_S = 1000

logger = get_logger("loop")


class Stall(NamedTuple):
    """When the event loop stood still, in milliseconds of the node's clock."""

    began_at: int
    ended_at: int


NO_STALL = Stall(0, 0)


class LoopMonitor:
    """Runs a tick every `TICK_MS` and observes how late it is.

    `observe` gets each delay in seconds. A delay over `REPORTED_DELAY_MS` is logged.
    `unreported` counts those that were not, since the last line. `stall` has the times
    at which the last such delay began and ended, and `long_stall_ended_at` when the
    last one over `LONG_STALL_MS` did.
    """

    def __init__(self, clock, observe):
        self.clock = clock
        self.observe = observe
        self.ticked_at = clock.now()
        self.usage = resource.getrusage(resource.RUSAGE_SELF)
        self.reported_at = None
        self.unreported = 0
        self.stall = NO_STALL
        self.long_stall_ended_at = None
        self.task = task.PeriodicTask(self.tick, TICK_MS)

    def tick(self):
        """Observe how late this tick is."""
        now, before = self.clock.now(), self.usage
        self.note_stall(now)
        delay_ms = max(0, now - self.ticked_at - TICK_MS)
        self.ticked_at = now
        self.usage = resource.getrusage(resource.RUSAGE_SELF)
        self.observe(delay_ms / MS_PER_S)
        if delay_ms > REPORTED_DELAY_MS:
            self.report(now, delay_ms, before)

    def note_stall(self, now):
        """Note a stall that ends now, before a tick or instead of one."""
        began_at = self.ticked_at + TICK_MS
        if now - began_at <= REPORTED_DELAY_MS:
            return
        if now - began_at > LONG_STALL_MS:
            self.long_stall_ended_at = now
        if began_at > self.stall.ended_at + READ_AFTER_STALL_MS:
            self.stall = Stall(began_at, now)
        else:
            self.stall = self.stall._replace(ended_at=now)

    def read_delay_ms(self):
        """Return how long what is read now may have waited to be read, 0 for not long.

        Tasks that read may run before the tick that is late.
        """
        now = self.clock.now()
        self.note_stall(now)
        is_over = now > self.stall.ended_at + READ_AFTER_STALL_MS
        return 0 if is_over else now - self.stall.began_at

    def last_stall(self):
        """Return the last `Stall`.

        Tasks may ask before the tick that is late.
        """
        self.note_stall(self.clock.now())
        return self.stall

    def since_long_stall_ms(self):
        """Return the time since the last stall of over `LONG_STALL_MS`, None for none.

        Tasks may ask before the tick that is late.
        """
        now = self.clock.now()
        self.note_stall(now)
        ended_at = self.long_stall_ended_at
        return None if ended_at is None else now - ended_at

    def report(self, now, delay_ms, before):
        """Log a delay, unless one was logged a moment ago."""
        if self.reported_at is not None and now - self.reported_at < REPORT_INTERVAL_MS:
            self.unreported += 1
            return
        self.reported_at = now
        fields = {
            "delay_ms": delay_ms,
            "cpu_ms": round((cpu_s(self.usage) - cpu_s(before)) * MS_PER_S),
            "preempted": self.usage.ru_nivcsw - before.ru_nivcsw,
            "page_faults": self.usage.ru_majflt - before.ru_majflt,
            "unreported": self.unreported,
        }
        self.unreported = 0
        logger.warning("event loop delayed", extra=fields)

    def close(self):
        """Stop the ticks."""
        self.task.close()


def cpu_s(usage):
    """Return the seconds of CPU time in a resource usage."""
    return usage.ru_utime + usage.ru_stime
