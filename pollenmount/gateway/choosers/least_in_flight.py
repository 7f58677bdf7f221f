"""Baseline `least_in_flight`: the target with the fewest requests."""

from pollenmount.gateway.choose import FAMILY
from pollenmount.gateway.choosers.base import Baseline
from pollenmount.plugin import register

__all__ = ["LeastInFlight"]


@register(FAMILY, "least_in_flight")
class LeastInFlight(Baseline):
    """Picks the target with the fewest requests."""

    def pick(self, options):
        """Return the option with the fewest requests, the first by name of several."""
        return min(options, key=lambda option: (option.requests, option.id))
