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
        self.queue = []
        self.order = itertools.count()
        self.hub = greenlet.getcurrent()

    def now(self):
        """Return whole milliseconds."""
        return int(self.value)

    def at(self, time, function, *args):
        """Call `function` at a time."""
        heapq.heappush(self.queue, (time, next(self.order), function, args))

    def after(self, ms, function, *args):
        """Call `function` after some milliseconds."""
        self.at(self.value + ms, function, *args)

    def spawn(self, function, *args):
        """Run `function` as a task, now."""
        self.after(0, lambda: greenlet.greenlet(function, self.hub).switch(*args))

    def sleep(self, ms):
        """Let the current task wait."""
        self.after(ms, greenlet.getcurrent().switch)
        self.hub.switch()

    def run(self, until):
        """Run until the time is reached or nothing is left to do."""
        while self.queue and self.queue[0][0] <= until:
            self.value, _, function, args = heapq.heappop(self.queue)
            function(*args)


class Signal:
    """Something that one task waits for; `send` may come before `wait`."""

    def __init__(self, time):
        self.time = time
        self.sent = False
        self.waiter = None

    def send(self):
        """Wake the task that waits."""
        self.sent = True
        if self.waiter:
            self.time.after(0, self.waiter.switch)
            self.waiter = None

    def wait(self):
        """Wait until it is sent."""
        if not self.sent:
            self.waiter = greenlet.getcurrent()
            self.time.hub.switch()
