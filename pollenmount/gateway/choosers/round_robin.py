"""Baseline `round_robin`: the targets in turn."""

from pollenmount.gateway.choose import FAMILY
from pollenmount.gateway.choosers.base import Baseline
from pollenmount.plugin import register

__all__ = ["RoundRobin"]


@register(FAMILY, "round_robin")
class RoundRobin(Baseline):
    """Picks the targets in turn."""

    def __init__(self):
        self.turns = 0

    def pick(self, options):
        """Return the next option in the order of ids."""
        self.turns += 1
        ordered = sorted(options, key=lambda option: option.id)
        return ordered[self.turns % len(ordered)]
