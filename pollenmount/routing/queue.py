"""Calls that wait for room at the targets: interactive first, then by deadline.

Deferred calls leave some slots free for interactive ones, and go without waiting for
room once their deadline comes near. A call that would wait too long is refused at once.
"""

import bisect

from pollenmount.errors import Refusal, RefusalKind
from pollenmount.plans.plan import CLASSES, INTERACTIVE
from pollenmount.routing.request import offer_name

__all__ = ["CallQueue"]

MAX_WAITING = 512
MAX_WAITING_BYTES = 64 << 20
URGENT_MS = 15_000
MIN_RETRY_AFTER_MS = 1000


class QueuedCall:
    """One call that waits. `signal` wakes it to look for room."""

    def __init__(self, call, signal):
        self.call = call
        self.signal = signal


class CallQueue:
    """Waiting calls of each model or service, by class.

    `make_signal`
        Returns something with `send` and `wait`.
    `max_waiting`
        Calls of one class that wait for one model or service (default 512).
    `max_bytes`
        Bytes of all waiting bodies (default 64 MiB).
    """

    def __init__(
        self,
        clock,
        make_signal,
        max_waiting=MAX_WAITING,
        max_bytes=MAX_WAITING_BYTES,
    ):
        self.clock = clock
        self.make_signal = make_signal
        self.max_waiting = max_waiting
        self.max_bytes = max_bytes
        self.by_offer = {}
        self.queued_bytes = 0

    def wait(self, call, has_capacity, wait_ms):
        """Wait until `has_room()`; return a `Refusal` if that is in vain.

        `wait_ms(ahead)` estimates how long a call with `ahead` others before it waits.
        """
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
        return None

    def check_wait(self, call, classes, wait_ms):
        """Return a `Refusal` if there is no use in waiting."""
        same_class = len(classes[call.class_]) if classes else 0
        interactive = len(classes[INTERACTIVE]) if classes else 0
        ahead = same_class if call.class_ == INTERACTIVE else same_class + interactive
        expected_ms = int(wait_ms(ahead))
        is_full = (
            same_class >= self.max_waiting
            or self.queued_bytes + len(call.body) > self.max_bytes
        )
        if not is_full and self.clock.now() + expected_ms < call.deadline:
            return None
        message = "too many requests wait already; come back later"
        retry_after_ms = max(expected_ms, MIN_RETRY_AFTER_MS)
        return Refusal(RefusalKind.OVERLOADED, message, retry_after_ms=retry_after_ms)

    def may_start(self, queued, classes, has_capacity):
        """Return whether a call's turn has come."""
        call = queued.call
        if self.is_urgent(call):
            return True
        if classes[call.class_][0] is not queued:
            return False
        if call.class_ != INTERACTIVE and classes[INTERACTIVE]:
            return False
        return has_capacity()

    def is_urgent(self, call):
        """Return whether a call has no more time to wait for room."""
        return self.clock.now() >= call.deadline - URGENT_MS

    def remove(self, queued, offer, classes):
        """Take a call out and wake the next ones."""
        classes[queued.call.class_].remove(queued)
        self.queued_bytes -= len(queued.call.body)
        if not any(classes.values()):
            del self.by_offer[offer]
        self.wake()

    def wake(self):
        """Let the first call of each class look for room."""
        for classes in self.by_offer.values():
            for calls in classes.values():
                if calls:
                    calls[0].signal.send()
