"""Baseline `random`: any target."""

import random

from pollenmount.gateway.choose import FAMILY
from pollenmount.gateway.choosers.base import Baseline
from pollenmount.plugin import register

__all__ = ["Random"]


@register(FAMILY, "random")
class Random(Baseline):
    """Picks any target."""

    def pick(self, options):
        """Return one option at random."""
        return random.choice(options)
