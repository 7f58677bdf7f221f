"""Virtual time for the decision code: tasks that sleep without waiting."""

import heapq
import itertools

import greenlet

from pollenmount.clock import ManualClock

__all__ = ["Signal", "VirtualTime"]


class VirtualTime(ManualClock):
    """A clock and the tasks that wait for it; `now` is in whole milliseconds."""

    def __init__(self):
        super().__init__()
        self.scheduled = []
        self.sequence = itertools.count()
        self.scheduler = greenlet.getcurrent()

    def now(self):
        """Return whole milliseconds."""
        return int(self.value)

    def call_at(self, time, function, *args):
        """Call `function` at a time."""
        heapq.heappush(self.scheduled, (time, next(self.sequence), function, args))

    def call_later(self, ms, function, *args):
        """Call `function` after some milliseconds."""
        self.call_at(self.value + ms, function, *args)

    def spawn(self, function, *args):
        """Run `function` as a task, now."""
        self.call_later(
            0, lambda: greenlet.greenlet(function, self.scheduler).switch(*args)
        )

    def sleep(self, ms):
        """Let the current task wait."""
        self.call_later(ms, greenlet.getcurrent().switch)
        self.scheduler.switch()

    def run(self, end_ms):
        """Run until the time is reached or nothing is left to do."""
        while self.scheduled and self.scheduled[0][0] <= end_ms:
            self.value, _, function, args = heapq.heappop(self.scheduled)
            function(*args)


class Signal:
    """Something that one task waits for; `send` may come before `wait`."""

    def __init__(self, time):
        self.time = time
        self.is_sent = False
        self.waiter = None

    def send(self):
        """Wake the task that waits."""
        self.is_sent = True
        if self.waiter:
            self.time.call_later(0, self.waiter.switch)
            self.waiter = None

    def wait(self):
        """Wait until it is sent."""
        if not self.is_sent:
            self.waiter = greenlet.getcurrent()
            self.time.scheduler.switch()
