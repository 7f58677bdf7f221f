"""Policy `least_in_flight`: where this node has the fewest requests a slot."""

from pollenmount.plugin import register
from pollenmount.routing.policies.base import FAMILY, Policy, list_destinations


@register(FAMILY, "least_in_flight")
class LeastInFlight(Policy):
    """Looks at this node's own requests only."""

    def choose(self, call, options):
        """Return the place with the fewest requests a slot."""
        destinations = list_destinations(options, self.random.choice)
        self.random.shuffle(destinations)
        return (
            min(destinations, key=self.own_load_per_slot).candidate
            if destinations
            else None
        )
