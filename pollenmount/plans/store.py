"""The plan in force on this node. Its number never decreases."""

from pollenmount.errors import SheetError
from pollenmount.log import get_logger
from pollenmount.plans.sheet import parse_sheet

__all__ = ["PlanStore"]

logger = get_logger("plans")


class PlanStore:
    """Holds the plan in force and the sheet it was parsed from.

    `on_change` is called with each plan that comes into force.
    """

    def __init__(self, on_change=lambda plan: None):
        self.plan = None
        self.accepted = None
        self.on_change = on_change
        self.unreadable = 0

    @property
    def number(self):
        """Return the number of the plan in force, 0 before the first."""
        return self.plan.number if self.plan else 0

    def put_if_newer(self, accepted):
        """Put an `AcceptedPlan` in force if it is newer; return whether it was."""
        if accepted is None or accepted.number <= self.number:
            return False
        plan = self.parse(accepted)
        if plan is None:
            return False
        self.plan = plan
        self.accepted = accepted
        self.on_change(plan)
        logger.info("plan in force", extra={"plan": accepted.number})
        return True

    def parse(self, accepted):
        """Return the plan in an accepted sheet, or None if this version can't parse it.

        In that case the previous plan stays in force and the node is shown as lagging.
        """
        try:
            return parse_sheet(accepted.sheet)
        except SheetError as error:
            if accepted.number != self.unreadable:
                logger.error(
                    "can't parse an accepted plan; run the same version on all VMs",
                    extra={"plan": accepted.number, "problem": str(error)},
                )
            self.unreadable = accepted.number
            return None
