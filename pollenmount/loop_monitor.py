"""Measures how late the event loop runs its tasks.

A loop is late if a task keeps it busy, if a system call blocks it, or if the machine
does not run the process. CPU time and context switches tell these apart.
"""

import resource

from pollenmount import task
from pollenmount.log import get_logger

__all__ = ["LoopMonitor"]

TICK_MS = 100
REPORTED_DELAY_MS = 250
# At most one line in this time.
REPORT_INTERVAL_MS = 1000
MS_PER_S = 1000

logger = get_logger("loop")


class LoopMonitor:
    """Runs a tick every `TICK_MS` and observes how late it is.

    `observe` gets each delay in seconds. A delay over `REPORTED_DELAY_MS` is logged.
    `unreported` counts those that were not, since the last line.
    """

    def __init__(self, clock, observe):
        self.clock = clock
        self.observe = observe
        self.ticked_at = clock.now()
        self.usage = resource.getrusage(resource.RUSAGE_SELF)
        self.reported_at = None
        self.unreported = 0
        self.task = task.PeriodicTask(self.tick, TICK_MS)

    def tick(self):
        """Observe how late this tick is."""
        now, before = self.clock.now(), self.usage
        delay_ms = max(0, now - self.ticked_at - TICK_MS)
        self.ticked_at = now
        self.usage = resource.getrusage(resource.RUSAGE_SELF)
        self.observe(delay_ms / MS_PER_S)
        if delay_ms > REPORTED_DELAY_MS:
            self.report(now, delay_ms, before)

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
