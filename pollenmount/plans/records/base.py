"""Base class of the record types of a plan sheet."""

from pollenmount.plans import cells

__all__ = ["Record", "check_known"]


class Record:
    """A record type: one kind of row.

    `columns` are the columns that may be filled besides `record`; `parse` turns a row
    into data; `check` raises `CellError` if the data conflicts with other rows.
    """

    columns = ()

    def parse(self, row):
        """Return the data of one row, or raise `CellError`."""
        raise NotImplementedError

    def check(self, parsed, sheet):
        """Check a parsed row against the whole sheet."""


def check_known(column, names, known):
    """Raise `CellError` for the first of `names` that is not in `known`."""
    for name in names:
        if name not in known:
            listed = ", ".join(sorted(known)) or "none"
            raise cells.CellError(column, name, f"use a known one ({listed})")
