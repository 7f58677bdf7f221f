"""Plan updates: a sheet as edits of an older one, or in full and compressed."""

import difflib
import zlib
from typing import NamedTuple

from pollenmount.members.digest import digest_of

__all__ = ["Edit", "PlanUpdate", "apply_update", "make_update"]


class Edit(NamedTuple):
    """Replaces lines `start` (included) to `end` (excluded) by `lines`."""

    start: int
    end: int
    lines: bytes


class PlanUpdate(NamedTuple):
    """An accepted plan as sent to a node.

    `base` is the number of the plan whose sheet the edits apply to; 0 means that
    `compressed_sheet` holds the full sheet. `sheet_digest` is the digest of the
    resulting sheet.
    """

    number: int
    digest: str
    sheet_digest: int
    base_number: int
    edits: tuple[Edit, ...]
    compressed_sheet: bytes


def make_update(accepted, base=None):
    """Return an update to be applied to the accepted plan `base`.

    It holds edits, or the full sheet if that is smaller or there is no base.
    """
    sheet = accepted.sheet
    compressed_sheet = zlib.compress(sheet)
    edits = tuple(make_edits(base.sheet, sheet)) if base else ()
    sheet_digest = digest_of(sheet)
    size = sum(len(edit.lines) for edit in edits)
    if base is None or size >= len(compressed_sheet):
        return PlanUpdate(
            accepted.number, accepted.digest, sheet_digest, 0, (), compressed_sheet
        )
    return PlanUpdate(
        accepted.number, accepted.digest, sheet_digest, base.number, edits, b""
    )


def make_edits(old, new):
    """Yield the edits that turn the old sheet into the new one."""
    old_lines = old.splitlines(keepends=True)
    new_lines = new.splitlines(keepends=True)
    matcher = difflib.SequenceMatcher(None, old_lines, new_lines, autojunk=False)
    for tag, start, end, new_start, new_end in matcher.get_opcodes():
        if tag != "equal":
            yield Edit(start, end, b"".join(new_lines[new_start:new_end]))


def apply_update(update, base):
    """Return the updated sheet, or None if `base` is not the base of the update.

    `base` is the accepted plan in force, or None.
    """
    if update.base_number == 0:
        sheet = zlib.decompress(update.compressed_sheet)
    elif base is None or base.number != update.base_number:
        return None
    else:
        sheet = apply_edits(base.sheet, update.edits)
    return sheet if digest_of(sheet) == update.sheet_digest else None


def apply_edits(sheet, edits):
    """Return the sheet with all edits applied."""
    lines = sheet.splitlines(keepends=True)
    for start, end, new in reversed(edits):
        lines[start:end] = [new]
    return b"".join(lines)
