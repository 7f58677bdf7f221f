"""What this VM's own requests show of a target or VM: failures and pauses."""

from typing import NamedTuple

__all__ = ["Health"]

FIRST_PAUSE_MS = 300
MAX_PAUSE_MS = 2400
MAX_EXPONENT = 8
FAILURES_TO_PAUSE = 3
GONE_MS = 10_000


class Mark(NamedTuple):
    """Failures in a row, and until when nothing is sent. `stamp` tells the start."""

    failures: int
    until: int
    stamp: object


class Health:
    """Marks by name; a mark holds for one start of a target only."""

    def __init__(self, clock):
        self.clock = clock
        self.marks = {}

    def failed(self, name, stamp=None, at_once=False):
        """Note that a request failed in a way that says something of the target.

        Nothing is sent for a while after some failures in a row; `at_once` after one,
        since no connection came about. Return whether it was in use until now.
        """
        known = self.marks.get(name)
        failures = known.failures + 1 if known and known.stamp == stamp else 1
        if at_once:
            failures = max(failures, FAILURES_TO_PAUSE)
        until = 0
        if failures >= FAILURES_TO_PAUSE:
            exponent = failures - FAILURES_TO_PAUSE
            pause = min(MAX_PAUSE_MS, FIRST_PAUSE_MS << min(exponent, MAX_EXPONENT))
            until = self.clock.now() + pause
        self.marks[name] = Mark(failures, until, stamp)
        return failures == FAILURES_TO_PAUSE

    def gone(self, name, stamp=None):
        """Note that something else answers at the target's address."""
        self.marks[name] = Mark(1, self.clock.now() + GONE_MS, stamp)

    def succeeded(self, name):
        """Note that a request was answered; return whether nothing was sent before."""
        mark = self.marks.pop(name, None)
        return mark is not None and mark.failures >= FAILURES_TO_PAUSE

    def probe(self, name, stamp=None):
        """Note that a request finds out whether it works again; others wait for it."""
        mark = self.marks.get(name)
        if mark is not None and mark.stamp == stamp and mark.until:
            until = self.clock.now() + FIRST_PAUSE_MS
            self.marks[name] = mark._replace(until=until)

    def is_doubtful(self, name, stamp=None):
        """Return whether the last request there failed."""
        mark = self.marks.get(name)
        return mark is not None and mark.stamp == stamp

    def is_paused(self, name, stamp=None):
        """Return whether nothing may be sent there at present."""
        mark = self.marks.get(name)
        paused = mark is not None and mark.stamp == stamp
        return paused and self.clock.now() < mark.until

    def forget(self, id_):
        """Forget a target that has left."""
        self.marks.pop(id_, None)
