"""Chooser `spread_regions`: as `expected_time`, but spreads requests over regions."""

from pollenmount.gateway.choose import FAMILY
from pollenmount.gateway.choosers.expected_time import ExpectedTime
from pollenmount.gateway.region_choice import SPREADING_CHOOSER
from pollenmount.plugin import register

__all__ = ["SpreadRegions"]


@register(FAMILY, SPREADING_CHOOSER)
class SpreadRegions(ExpectedTime):
    """Draws the region of a request that need not stay in this one, by the room."""
