"""Policy `two_choices`: the less loaded of two random destinations."""

from pollenmount.plugin import register
from pollenmount.routing.policies.base import FAMILY, Policy, list_destinations

SAMPLE_SIZE = 2


@register(FAMILY, "two_choices")
class TwoChoices(Policy):
    """Compares load reports and this node's own requests in flight."""

    def choose(self, call, options):
        """Return the less loaded of two random destinations."""
        destinations = list_destinations(options, self.random.choice)
        sampled = self.random.sample(destinations, min(SAMPLE_SIZE, len(destinations)))
        return min(sampled, key=self.load_per_slot).candidate if sampled else None

    def load_per_slot(self, destination):
        """Return the load per slot, reported or of this node, whichever is higher."""
        return max(
            self.own_load_per_slot(destination),
            destination.load / max(destination.slots, 1),
        )
