"""Baseline `random`: a target drawn uniformly at random."""

import random

from pollenmount.gateway.choose import FAMILY
from pollenmount.gateway.choosers.base import Baseline
from pollenmount.plugin import register

__all__ = ["Random"]


@register(FAMILY, "random")
class Random(Baseline):
    """Picks a target uniformly at random."""

    def pick(self, options):
        """Return one option at random."""
        return random.choice(options)
