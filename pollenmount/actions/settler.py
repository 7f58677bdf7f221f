"""Records ends of attempts that could not be recorded at once, in the background."""

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
    """Proposes `Settle` commands again until each is recorded.

    A full queue drops its oldest entry: that action ends as `unknown` in the log, which
    is true of every action, and the loss is counted in `dropped`.
    """

    def __init__(self, groups):
        self.groups = groups
        self.pending = collections.OrderedDict()
        self.dropped = 0

    def add(self, group, settlement):
        """Record a settlement some time later."""
        self.pending[settlement.attempt] = (group, settlement)
        if len(self.pending) > MAX_PENDING:
            self.pending.popitem(last=False)
            self.dropped += 1
            logger.error("an action's end was lost; its outcome stays unknown")

    def step(self):
        """Try everything that waits once; groups out of reach are tried in one task."""
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
        """Return the task that records what waits."""
        return task.Task(self.step, RETRY_INTERVAL_MS)
