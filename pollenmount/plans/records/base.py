"""Base class of the kinds of rows of a plan sheet."""

from pollenmount.plans import cells

__all__ = ["Record", "check_known"]


class Record:
    """One kind of row.

    `columns` are the columns that may be filled besides `record`; `parse` turns a row
    into data; `check` raises `CellError` when the data doesn't fit the others.
    """

    columns = ()

    def parse(self, row):
        """Return the data of one row, or raise `CellError`."""
        raise NotImplementedError

    def check(self, parsed, sheet):
        """Check one parsed row against the rest of the sheet."""


def check_known(column, names, known):
    """Raise `CellError` for the first of `names` that is not in `known`."""
    for name in names:
        if name not in known:
            listed = ", ".join(sorted(known)) or "none"
            raise cells.CellError(column, name, f"use a known one ({listed})")
