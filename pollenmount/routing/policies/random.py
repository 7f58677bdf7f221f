"""Policy `random`: a random destination, weighted by its number of slots."""

from pollenmount.plugin import register
from pollenmount.routing.policies.base import FAMILY, Policy, list_destinations


@register(FAMILY, "random")
class Random(Policy):
    """Picks at random among the local targets and the other failure domains."""

    def choose(self, call, options):
        """Return a random destination."""
        destinations = list_destinations(options, self.random.choice)
        if not destinations:
            return None
        weights = [max(destination.slots, 1) for destination in destinations]
        return self.random.choices(destinations, weights)[0].candidate
