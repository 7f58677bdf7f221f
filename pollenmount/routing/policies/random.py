"""Policy `random`: any place, by the number of its slots."""

from pollenmount.plugin import register
from pollenmount.routing.policies.base import FAMILY, Policy, places


@register(FAMILY, "random")
class Random(Policy):
    """Picks at random among the targets and the other failure domains."""

    def choose(self, call, options):
        """Return a random place."""
        found = places(options, self.random.choice)
        if not found:
            return None
        weights = [max(place.slots, 1) for place in found]
        return self.random.choices(found, weights)[0].candidate
