"""Takes the immutable view that one routing decision looks at."""

from pollenmount.routing.request import View

__all__ = ["Viewer"]


class Viewer:
    """Joins plan, targets and members of this node into a `View`."""

    def __init__(self, settings, clock, plans, targets, members):
        self.settings = settings
        self.clock = clock
        self.plans = plans
        self.targets = targets
        self.members = members

    def take(self):
        """Return the view of this moment."""
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
