"""Parser of plan sheets: CSV files as exported by planners' office tools.

It accepts a byte-order mark, CRLF, quoted cells and `;` or `,` as separator. A sheet is
one complete plan; all faults are reported together, each with row and column.
"""

import csv
import functools
import hashlib
import io
import json
from typing import NamedTuple

from pollenmount.errors import Fault, SheetError
from pollenmount.plans import cells
from pollenmount.plans.plan import Plan
from pollenmount.plugin import load_family

__all__ = ["MAX_SHEET_BYTES", "parse_sheet"]

RECORD_FAMILY = "pollenmount.plans.records"
PLAN_RECORD = "plan"
MAX_SHEET_BYTES = 8 << 20


class Row(NamedTuple):
    """A non-empty row: its line in the file and its non-empty cells by column."""

    line: int
    cells: dict[str, str]


class ParsedSheet(NamedTuple):
    """The parsed rows of a sheet, by kind and name."""

    numbers: list[int]
    regions: dict
    models: dict
    services: dict
    callers: dict


def parse_sheet(data):
    """Return the `Plan` in the bytes of a sheet, or raise `SheetError`."""
    rows = read_rows(data)
    sheet = ParsedSheet([], {}, {}, {}, {})
    parsed_rows = []
    faults = []
    for row in rows:
        try:
            parsed_rows.append((row, *parse_row(row, sheet)))
        except cells.CellError as error:
            faults.append(to_fault(row, error))
    for row, record, parsed in parsed_rows:
        try:
            record.check(parsed, sheet)
        except cells.CellError as error:
            faults.append(to_fault(row, error))
    if len(sheet.numbers) != 1 and not faults:
        problem = f"has {len(sheet.numbers)} rows of record 'plan'"
        faults.append(Fault("sheet", problem, "give one, with the plan's number"))
    if faults:
        raise SheetError(sorted(faults, key=line_of_fault))
    return Plan(sheet.numbers[0], digest_rows(rows), *sheet[1:])


def read_rows(data):
    """Return the rows of a sheet; raise `SheetError` if it is not a valid table."""
    if len(data) > MAX_SHEET_BYTES:
        remedy = f"keep it under {MAX_SHEET_BYTES} bytes"
        raise SheetError([Fault("sheet", "is too large", remedy)])
    try:
        text = data.decode("utf-8-sig")
        lines = list(
            csv.reader(io.StringIO(text, newline=""), delimiter=detect_separator(text))
        )
    except (UnicodeDecodeError, csv.Error) as error:
        remedy = "export it as CSV in UTF-8"
        raise SheetError([Fault("sheet", str(error), remedy)]) from error
    header = [name.strip().lower() for name in lines[0]] if lines else []
    if "record" not in header or len(set(header)) < len(header):
        remedy = "name each column once, 'record' among them"
        raise SheetError([Fault("row 1", "is not a header row", remedy)])
    return [*to_rows(header, lines)]


def detect_separator(text):
    """Return the cell separator of the header line."""
    header = text.partition("\n")[0]
    return ";" if header.count(";") >= header.count(",") else ","


def to_rows(header, lines):
    """Yield a `Row` for each non-empty line."""
    for line, values in enumerate(lines[1:], start=2):
        if not any(value.strip() for value in values):
            continue
        if len(values) > len(header) and any(values[len(header) :]):
            problem = f"has {len(values)} cells under {len(header)} columns"
            raise SheetError([Fault(f"row {line}", problem, "remove the extra cells")])
        named_values = zip(header, values, strict=False)
        yield Row(line, {name: v.strip() for name, v in named_values if v.strip()})


def parse_row(row, sheet):
    """Parse one row and add it to `sheet`; return its record type and data."""
    kind = cells.get_text(row.cells, "record")
    if kind == PLAN_RECORD:
        sheet.numbers.append(cells.get_int(row.cells, "name", low=1, high=2**53))
        return record_types()["region"], None
    if kind not in record_types():
        known = ", ".join([PLAN_RECORD, *sorted(record_types())])
        raise cells.CellError("record", kind, f"use one of: {known}")
    record = record_types()[kind]
    for column, value in row.cells.items():
        if column != "record" and column not in record.columns:
            raise cells.CellError(column, value, f"leave it empty for a {kind}")
    parsed = record.parse(row.cells)
    add_parsed_row(kind, parsed, sheet)
    return record, parsed


@functools.cache
def record_types():
    """Return an instance of each record class, by name."""
    return {name: record() for name, record in load_family(RECORD_FAMILY).items()}


def add_parsed_row(kind, parsed, sheet):
    """Add one parsed row to `sheet`, or raise `CellError` if it is a duplicate."""
    if kind == "model":
        versions = sheet.models.get(parsed.name, ())
        if any(model.version == parsed.version for model in versions):
            raise cells.CellError("version", parsed.version, "list each version once")
        sheet.models[parsed.name] = (*versions, parsed)
        return
    table = getattr(sheet, f"{kind}s")
    if kind == "caller":
        if parsed.name in {caller.name for caller in table.values()}:
            raise cells.CellError("name", parsed.name, "list each caller once")
        if parsed.key_digest in table:
            raise cells.CellError(
                "key_sha256", parsed.key_digest, "give each caller its own key"
            )
        table[parsed.key_digest] = parsed
        return
    if parsed.name in table:
        raise cells.CellError("name", parsed.name, f"list each {kind} once")
    table[parsed.name] = parsed


def digest_rows(rows):
    """Return the digest of the rows, whatever the separators, quoting or line ends."""
    canonical = json.dumps([sorted(row.cells.items()) for row in rows])
    return hashlib.sha256(canonical.encode()).hexdigest()


def to_fault(row, error):
    """Return the `Fault` of an invalid cell."""
    where = f"row {row.line}, column {error.column}"
    return Fault(where, error.problem, error.remedy)


def line_of_fault(fault):
    """Return the line of a fault, for sorting."""
    digits = fault.where.split(",")[0].removeprefix("row ")
    return int(digits) if digits.isdigit() else 0
