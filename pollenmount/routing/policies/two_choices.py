"""Policy `two_choices`: the less loaded of two random places, by their reports."""

from pollenmount.plugin import register
from pollenmount.routing.policies.base import FAMILY, Policy, list_destinations

SAMPLE_SIZE = 2


@register(FAMILY, "two_choices")
class TwoChoices(Policy):
    """Looks at load reports and at this node's own requests."""

    def choose(self, call, options):
        """Return the less loaded of two random places."""
        destinations = list_destinations(options, self.random.choice)
        sampled = self.random.sample(destinations, min(SAMPLE_SIZE, len(destinations)))
        return min(sampled, key=self.load_per_slot).candidate if sampled else None

    def load_per_slot(self, destination):
        """Return the load a slot."""
        return max(
            self.own_load_per_slot(destination),
            destination.load / max(destination.slots, 1),
        )
