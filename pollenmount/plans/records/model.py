"""Rows that define a version of a model and where it runs."""

from pollenmount.plans import cells
from pollenmount.plans.plan import CLASSES, INTERACTIVE, Model
from pollenmount.plans.records.base import Record, check_known
from pollenmount.plugin import register

YES_NO = ("yes", "no")


@register("pollenmount.plans.records", "model")
class ModelRecord(Record):
    """A model: name, version, adapters, regions, class, fencing.

    `class`
        `interactive` (default) or `deferred`, for requests that name none.
    `fencing`
        Whether its engines refuse orders with an old fencing number (default no).
    """

    columns = ("name", "version", "adapters", "regions", "class", "fencing")

    def parse(self, row):
        """Return a `Model`."""
        return Model(
            name=cells.get_name(row),
            version=cells.get_name(row, "version"),
            adapters=cells.get_names(row, "adapters", ""),
            regions=cells.get_names(row, "regions"),
            class_=cells.get_choice(row, "class", CLASSES, INTERACTIVE),
            fencing=cells.get_choice(row, "fencing", YES_NO, "no") == "yes",
        )

    def check(self, parsed, sheet):
        """Check that the regions are in the sheet."""
        check_known("regions", parsed.regions, sheet.regions)
