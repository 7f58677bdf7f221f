"""Queue of calls that wait for capacity: interactive calls first, then by deadline.

Deferred calls leave some slots free for interactive ones. A call whose deadline is
near starts without waiting for capacity. A call that is expected to wait past its
deadline is refused at once.
"""

import bisect

from pollenmount.errors import Refusal, RefusalKind, stopping_refusal
from pollenmount.plans.plan import CLASSES, INTERACTIVE
from pollenmount.routing.request import offer_name

__all__ = ["CallQueue"]

MAX_QUEUED = 512
MAX_QUEUED_BYTES = 64 << 20
# A call this close to its deadline no longer waits for capacity.
URGENT_MS = 15_000
MIN_RETRY_AFTER_MS = 1000


class QueuedCall:
    """A call in the queue. `signal` wakes it to check for capacity."""

    def __init__(self, call, signal):
        self.call = call
        self.signal = signal


class CallQueue:
    """Queued calls of each model or service, by class and ordered by deadline.

    `make_signal`
        Returns a new signal with the methods `send` and `wait`.
    `max_queued`
        Maximum number of queued calls of one class and one model or service (default
        512).
    `max_bytes`
        Maximum total size of the bodies of queued calls (default 64 MiB).
    """

    def __init__(
        self,
        clock,
        make_signal,
        max_queued=MAX_QUEUED,
        max_bytes=MAX_QUEUED_BYTES,
    ):
        self.clock = clock
        self.make_signal = make_signal
        self.max_queued = max_queued
        self.max_bytes = max_bytes
        self.by_offer = {}
        self.queued_bytes = 0
        self.is_closed = False

    def wait(self, call, has_capacity, wait_ms):
        """Wait until the call may start; return a `Refusal` if it can't wait.

        `has_capacity()` tells whether it can start now. `wait_ms(ahead)` estimates how
        long it waits with `ahead` others before it.
        """
        if self.is_closed:
            return stopping_refusal()
        offer = offer_name(call.route)
        if offer not in self.by_offer and has_capacity():
            return None
        refusal = self.check_wait(call, self.by_offer.get(offer), wait_ms)
        if refusal:
            return refusal
        classes = self.by_offer.setdefault(offer, {name: [] for name in CLASSES})
        queued = QueuedCall(call, self.make_signal())
        bisect.insort(classes[call.class_], queued, key=lambda q: q.call.deadline)
        self.queued_bytes += len(call.body)
        try:
            while not self.may_start(queued, classes, has_capacity):
                queued.signal.wait()
                queued.signal = self.make_signal()
        finally:
            self.remove(queued, offer, classes)
        return stopping_refusal() if self.is_closed else None

    def check_wait(self, call, classes, wait_ms):
        """Return a `Refusal` if the queue is full or the wait exceeds the deadline."""
        same_class = len(classes[call.class_]) if classes else 0
        interactive = len(classes[INTERACTIVE]) if classes else 0
        ahead = same_class if call.class_ == INTERACTIVE else same_class + interactive
        expected_ms = int(wait_ms(ahead))
        is_full = (
            same_class >= self.max_queued
            or self.queued_bytes + len(call.body) > self.max_bytes
        )
        if not is_full and self.clock.now() + expected_ms < call.deadline:
            return None
        message = "too many requests are queued; try again later"
        retry_after_ms = max(expected_ms, MIN_RETRY_AFTER_MS)
        return Refusal(RefusalKind.OVERLOADED, message, retry_after_ms=retry_after_ms)

    def may_start(self, queued, classes, has_capacity):
        """Return whether a call may start: it is urgent, or first and has capacity."""
        call = queued.call
        if self.is_closed or self.is_urgent(call):
            return True
        if classes[call.class_][0] is not queued:
            return False
        if call.class_ != INTERACTIVE and classes[INTERACTIVE]:
            return False
        return has_capacity()

    def is_urgent(self, call):
        """Return whether a call is too close to its deadline to wait for capacity."""
        return self.clock.now() >= call.deadline - URGENT_MS

    def remove(self, queued, offer, classes):
        """Remove a call from the queue and wake the next ones."""
        classes[queued.call.class_].remove(queued)
        self.queued_bytes -= len(queued.call.body)
        if not any(classes.values()):
            del self.by_offer[offer]
        self.wake()

    def close(self):
        """Refuse all calls, those in the queue and those to come."""
        self.is_closed = True
        for classes in [*self.by_offer.values()]:
            for queued in [q for calls in classes.values() for q in calls]:
                queued.signal.send()

    def wake(self):
        """Wake the first call of each class to check for capacity."""
        for classes in self.by_offer.values():
            for calls in classes.values():
                if calls:
                    calls[0].signal.send()
