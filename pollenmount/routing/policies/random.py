"""Policy `random`: any place, by the number of its slots."""

from pollenmount.plugin import register
from pollenmount.routing.policies.base import FAMILY, Policy, list_destinations


@register(FAMILY, "random")
class Random(Policy):
    """Picks at random among the targets and the other failure domains."""

    def choose(self, call, options):
        """Return a random place."""
        destinations = list_destinations(options, self.random.choice)
        if not destinations:
            return None
        weights = [max(destination.slots, 1) for destination in destinations]
        return self.random.choices(destinations, weights)[0].candidate
