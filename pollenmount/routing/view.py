"""Takes snapshots of the state that a routing decision reads."""

from pollenmount.routing.request import View

__all__ = ["Viewer"]


class Viewer:
    """Combines the plan, targets and members of this node into a `View`."""

    def __init__(self, settings, clock, plans, targets, members):
        self.settings = settings
        self.clock = clock
        self.plans = plans
        self.targets = targets
        self.members = members

    def take(self):
        """Return a `View` of the current state."""
        return View(
            self.plans.plan,
            self.settings.region,
            self.settings.failure_domain,
            self.targets.live(),
            self.members.live(),
            self.members.fresh_summaries(),
            self.clock.now(),
            self.settings.name,
        )
