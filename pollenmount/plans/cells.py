"""Validators of the cells of a plan sheet.

Each takes a row (text by column) and a column, and raises `CellError` with the column,
its value and a remedy.
"""

import re

from pollenmount.errors import PollenmountError

__all__ = [
    "CellError",
    "get_choice",
    "get_int",
    "get_list",
    "get_name",
    "get_names",
    "get_pattern",
]

NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9.-]{0,62}")
SHOWN_VALUE_CHARS = 40


class CellError(PollenmountError):
    """The value of a cell is invalid."""

    def __init__(self, column, value, remedy):
        shown = value[:SHOWN_VALUE_CHARS]
        super().__init__(f"{column} is {shown!r}; {remedy}")
        self.column = column
        self.problem = f"is {shown!r}"
        self.remedy = remedy


def get_text(row, column, default=None):
    """Return the text of a cell, or the default; an error if it has neither."""
    value = row.get(column, "")
    if value:
        return value
    if default is None:
        raise CellError(column, value, "fill in this cell")
    return default


def get_pattern(row, column, pattern, remedy):
    """Return the text of a cell that must match the whole of `pattern`."""
    value = get_text(row, column)
    if not re.fullmatch(pattern, value):
        raise CellError(column, value, remedy)
    return value


def get_name(row, column="name"):
    """Return a name: lower-case letters, digits, dots and hyphens."""
    remedy = "use lower-case letters, digits, dots and hyphens"
    return get_pattern(row, column, NAME_PATTERN, remedy)


def get_int(row, column, default=None, low=0, high=10**12):
    """Return a whole number from `low` to `high`."""
    value = get_text(row, column, None if default is None else str(default))
    if not re.fullmatch(r"[0-9]{1,15}", value) or not low <= int(value) <= high:
        raise CellError(column, value, f"use a whole number from {low} to {high}")
    return int(value)


def get_choice(row, column, choices, default=None):
    """Return one of `choices`."""
    value = get_text(row, column, default)
    if value not in choices:
        raise CellError(column, value, f"use one of: {', '.join(choices)}")
    return value


def get_list(row, column, default=None):
    """Return the words of a cell, separated by spaces, as a tuple."""
    words = get_text(row, column, default).split()
    if len(set(words)) < len(words):
        raise CellError(column, row[column], "list each word once")
    return tuple(words)


def get_names(row, column, default=None):
    """Return the names in a cell, separated by spaces, as a tuple."""
    names = get_list(row, column, default)
    for name in names:
        if not NAME_PATTERN.fullmatch(name):
            remedy = "use names of lower-case letters, digits, dots and hyphens"
            raise CellError(column, name, remedy)
    return names
