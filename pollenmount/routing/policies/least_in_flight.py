"""Policy `least_in_flight`: where this node has the fewest requests per slot."""

from pollenmount.plugin import register
from pollenmount.routing.policies.base import FAMILY, Policy, list_destinations


@register(FAMILY, "least_in_flight")
class LeastInFlight(Policy):
    """Compares only this node's own requests in flight; load reports are not used."""

    def choose(self, call, options):
        """Return the destination with the fewest requests per slot; ties at random."""
        destinations = list_destinations(options, self.random.choice)
        self.random.shuffle(destinations)
        return (
            min(destinations, key=self.own_load_per_slot).candidate
            if destinations
            else None
        )
