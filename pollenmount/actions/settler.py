"""Retries settlements that could not be recorded at once, in the background."""

import collections

from result import Ok

from pollenmount import task
from pollenmount.actions.messages import Reservation
from pollenmount.log import get_logger

__all__ = ["RETRY_INTERVAL_MS", "Settler"]

RETRY_INTERVAL_MS = 500
MAX_PENDING = 10_000

logger = get_logger("actions")


class Settler:
    """Proposes `Settle` commands repeatedly until each is recorded.

    A full queue drops its oldest entry and counts it in `dropped`. The action then ends
    as `unknown` in the log, which is never wrong.
    """

    def __init__(self, groups):
        self.groups = groups
        self.pending = collections.OrderedDict()
        self.dropped = 0

    def add(self, group, settlement):
        """Queue a settlement to be recorded later."""
        self.pending[settlement.attempt] = (group, settlement)
        if len(self.pending) > MAX_PENDING:
            self.pending.popitem(last=False)
            self.dropped += 1
            logger.error(
                "queue of settlements is full: dropped one, its outcome stays unknown"
            )

    def step(self):
        """Propose each queued settlement once, group by group in this task."""
        by_group = {}
        for group, settlement in self.pending.values():
            by_group.setdefault(group, []).append(settlement)
        for group, settlements in by_group.items():
            self.record(group, settlements)

    def record(self, group, settlements):
        """Record the settlements of one group until one of them fails."""
        for settlement in settlements:
            reply = self.groups.propose(group, settlement, Reservation)
            if not isinstance(reply, Ok):
                return
            self.pending.pop(settlement.attempt, None)

    def start(self):
        """Start and return the task that records queued settlements."""
        return task.PeriodicTask(self.step, RETRY_INTERVAL_MS)
