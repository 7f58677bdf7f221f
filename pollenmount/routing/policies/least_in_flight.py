"""Policy `least_in_flight`: where this node has the fewest requests a slot."""

from pollenmount.plugin import register
from pollenmount.routing.policies.base import FAMILY, Policy, places


@register(FAMILY, "least_in_flight")
class LeastInFlight(Policy):
    """Looks at this node's own requests only."""

    def choose(self, call, options):
        """Return the place with the fewest requests a slot."""
        found = places(options, self.random.choice)
        self.random.shuffle(found)
        return min(found, key=self.in_flight).candidate if found else None
