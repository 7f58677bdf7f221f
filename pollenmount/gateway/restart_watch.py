"""Tells that a target has crashed from its restart soon after a broken attempt."""

import collections
from collections.abc import Callable
from typing import NamedTuple

from pollenmount.fleet.messages import TargetGone, TargetLeaving, TargetSeen
from pollenmount.gateway.attempt import AttemptDestination

__all__ = ["RestartWatch"]

# A supervisor starts a target again within seconds; its first heartbeat may be late.
RESTART_MS = 10_000
MAX_BROKEN = 1024


class BrokenAttempt(NamedTuple):
    """An attempt that its target broke off at `at`; `on_crash` is to be called."""

    destination: AttemptDestination
    at: int
    on_crash: Callable[[], None]

    def is_at(self, id_, born):
        """Return whether it was at this start of a target."""
        return (self.destination.target_id, self.destination.incarnation) == (id_, born)

    def is_before(self, record):
        """Return whether another start of the target, or at its place, is recorded."""
        id_, born = self.destination.target_id, self.destination.incarnation
        if record.id == id_:
            return record.born > born
        return record.address == self.destination.address


class RestartWatch:
    """Attempts that were broken off lately, in `broken`, the oldest first.

    A target may take connections while it is down, if its port is another process's,
    or be back before anyone asks. One that leaves has survived these attempts.
    """

    def __init__(self, fleet, clock):
        self.clock = clock
        self.broken = collections.deque(maxlen=MAX_BROKEN)
        fleet.listeners.append(self.handle_change)

    def add(self, destination, on_crash):
        """Call `on_crash` if the target turns out to have started again soon."""
        self.drop_old()
        self.broken.append(BrokenAttempt(destination, self.clock.now(), on_crash))

    def handle_change(self, message, source):
        """Tell of the attempts at a target that has started again."""
        self.drop_old()
        if isinstance(message, TargetLeaving | TargetGone):
            self.drop_survived(message.id, message.born)
        elif isinstance(message, TargetSeen):
            record = message.target
            if record.draining:
                self.drop_survived(record.id, record.born)
            for attempt in self.take(lambda broken: broken.is_before(record)):
                attempt.on_crash()

    def drop_survived(self, id_, born):
        """Drop the attempts at a start of a target, which ends in good order."""
        self.take(lambda broken: broken.is_at(id_, born))

    def take(self, is_meant):
        """Remove and return the attempts of which `is_meant` is true, newest first.

        The newest ones are the likeliest cause, and reports are bounded.
        """
        taken = [broken for broken in reversed(self.broken) if is_meant(broken)]
        for broken in taken:
            self.broken.remove(broken)
        return taken

    def drop_old(self):
        """Drop the attempts that say nothing any more."""
        oldest = self.clock.now() - RESTART_MS
        while self.broken and self.broken[0].at < oldest:
            self.broken.popleft()
