"""Simulates time for routing code: tasks sleep without real delays."""

import heapq
import itertools

import greenlet

from pollenmount.clock import ManualClock

__all__ = ["Signal", "VirtualTime"]


class VirtualTime(ManualClock):
    """A simulated clock with a scheduler of greenlet tasks."""

    def __init__(self):
        super().__init__()
        self.scheduled = []
        self.sequence = itertools.count()
        self.scheduler = greenlet.getcurrent()

    def now(self):
        """Return the simulated time in whole milliseconds."""
        return int(self.value)

    def call_at(self, time, function, *args):
        """Schedule a call of `function` at `time`, in milliseconds."""
        heapq.heappush(self.scheduled, (time, next(self.sequence), function, args))

    def call_later(self, ms, function, *args):
        """Schedule a call of `function` in `ms` milliseconds."""
        self.call_at(self.value + ms, function, *args)

    def spawn(self, function, *args):
        """Start `function` as a task at the current time."""
        self.call_later(
            0, lambda: greenlet.greenlet(function, self.scheduler).switch(*args)
        )

    def sleep(self, ms):
        """Suspend the current task for `ms` simulated milliseconds."""
        self.call_later(ms, greenlet.getcurrent().switch)
        self.scheduler.switch()

    def run(self, end_ms):
        """Run scheduled calls up to `end_ms`, or until none is left."""
        while self.scheduled and self.scheduled[0][0] <= end_ms:
            self.value, _, function, args = heapq.heappop(self.scheduled)
            function(*args)


class Signal:
    """An event that one task waits for; it may be sent before the wait."""

    def __init__(self, time):
        self.time = time
        self.is_sent = False
        self.waiter = None

    def send(self):
        """Set the event and resume the waiting task, if any."""
        self.is_sent = True
        if self.waiter:
            self.time.call_later(0, self.waiter.switch)
            self.waiter = None

    def wait(self):
        """Suspend the current task until the event is sent."""
        if not self.is_sent:
            self.waiter = greenlet.getcurrent()
            self.time.scheduler.switch()
