"""Baseline `two_choices`: the less loaded of two targets drawn at random."""

import random

from pollenmount.gateway.choose import FAMILY
from pollenmount.gateway.choosers.base import Baseline
from pollenmount.plugin import register

__all__ = ["TwoChoices"]


@register(FAMILY, "two_choices")
class TwoChoices(Baseline):
    """Picks the less loaded of two targets drawn at random."""

    def pick(self, options):
        """Return the option with fewer requests of two drawn at random."""
        drawn = random.sample(options, min(2, len(options)))
        return min(drawn, key=lambda option: option.requests)
