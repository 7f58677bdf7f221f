"""Rows that define the regions and their failure domains."""

from pollenmount.plans import cells
from pollenmount.plans.plan import Region
from pollenmount.plans.records.base import Record
from pollenmount.plugin import register


@register("pollenmount.plans.records", "region")
class RegionRecord(Record):
    """A region: name, failure_domains."""

    columns = ("name", "failure_domains")

    def parse(self, row):
        """Return a `Region`."""
        return Region(cells.get_name(row), cells.get_names(row, "failure_domains"))
