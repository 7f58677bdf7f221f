"""Rows that define one kind of request to a plain service."""

from pollenmount.plans import cells
from pollenmount.plans.plan import CLASSES, INTERACTIVE, REPEAT_MODES, Service
from pollenmount.plans.records.base import Record, check_known
from pollenmount.plugin import register

METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE")
PATH_PATTERN = r"/[A-Za-z0-9._~/-]*"


@register("pollenmount.plans.records", "service")
class ServiceRecord(Record):
    """A service: name, methods, paths, regions, repeat, class.

    `repeat`
        `idempotent`, `once` or `deduplicated` (the service itself ignores repeats of
        an idempotency key).
    """

    columns = ("name", "methods", "paths", "regions", "repeat", "class")

    def parse(self, row):
        """Return a `Service`."""
        methods = cells.get_list(row, "methods")
        check_known("methods", methods, METHODS)
        paths = cells.get_list(row, "paths")
        for path in paths:
            check_path(path)
        return Service(
            name=cells.get_name(row),
            methods=methods,
            paths=paths,
            regions=cells.get_names(row, "regions"),
            repeat=cells.get_choice(row, "repeat", REPEAT_MODES),
            class_=cells.get_choice(row, "class", CLASSES, INTERACTIVE),
        )

    def check(self, parsed, sheet):
        """Check that the regions are in the sheet."""
        check_known("regions", parsed.regions, sheet.regions)


def check_path(path):
    """Raise `CellError` unless `path` is a plain path outside `/v1`."""
    row = {"paths": path}
    cells.get_pattern(row, "paths", PATH_PATTERN, "use plain paths such as /filings")
    if path == "/v1" or path.startswith("/v1/"):
        raise cells.CellError("paths", path, "choose a path outside /v1")
