"""Policy `round_robin`: each destination in turn, local or remote."""

from pollenmount.plugin import register
from pollenmount.routing.policies.base import FAMILY, Policy, list_destinations


@register(FAMILY, "round_robin")
class RoundRobin(Policy):
    """Cycles through the local targets and the other failure domains."""

    def __init__(self, tracker, cache, seed=None):
        super().__init__(tracker, cache, seed)
        self.turn = 0

    def choose(self, call, options):
        """Return the next destination."""
        destinations = list_destinations(options, self.random.choice)
        self.turn += 1
        return (
            destinations[self.turn % len(destinations)].candidate
            if destinations
            else None
        )
