"""Policy `two_choices`: the less loaded of two random places, by their reports."""

from pollenmount.plugin import register
from pollenmount.routing.policies.base import FAMILY, Policy, places

CHOICES = 2


@register(FAMILY, "two_choices")
class TwoChoices(Policy):
    """Looks at load reports and at this node's own requests."""

    def choose(self, call, options):
        """Return the less loaded of two random places."""
        found = places(options, self.random.choice)
        drawn = self.random.sample(found, min(CHOICES, len(found)))
        return min(drawn, key=self.load).candidate if drawn else None

    def load(self, place):
        """Return the load a slot."""
        return max(self.in_flight(place), place.load / max(place.slots, 1))
