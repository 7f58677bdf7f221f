"""The plan in force on this node. It only ever moves forward."""

from pollenmount.log import get_logger
from pollenmount.plans.sheet import parse_sheet

__all__ = ["PlanStore"]

logger = get_logger("plans")


class PlanStore:
    """Holds the plan in force and the sheet it came from.

    `on_change` is called with each plan that comes into force.
    """

    def __init__(self, on_change=lambda plan: None):
        self.plan = None
        self.accepted = None
        self.on_change = on_change

    @property
    def number(self):
        """Return the number of the plan in force, 0 before the first."""
        return self.plan.number if self.plan else 0

    def offer(self, accepted):
        """Put an `AcceptedPlan` in force if it is newer; return whether it was."""
        if accepted is None or accepted.number <= self.number:
            return False
        self.plan = parse_sheet(accepted.sheet)
        self.accepted = accepted
        self.on_change(self.plan)
        logger.info("plan in force", extra={"plan": accepted.number})
        return True
