"""Baseline `least_in_flight`: the target with the fewest requests in flight."""

from pollenmount.gateway.choose import FAMILY
from pollenmount.gateway.choosers.base import Baseline
from pollenmount.plugin import register

__all__ = ["LeastInFlight"]


@register(FAMILY, "least_in_flight")
class LeastInFlight(Baseline):
    """Picks the target with the fewest requests in flight."""

    def pick(self, options):
        """Return the option with the fewest requests; ties go to the lowest id."""
        return min(options, key=lambda option: (option.requests, option.id))
