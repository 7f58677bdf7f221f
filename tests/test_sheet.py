"""Plan sheets: a snapshot holds the plan or the faults of each file in sheets/."""

from pathlib import Path

import pytest

from pollenmount.errors import SheetError
from pollenmount.plans.sheet import parse_sheet

SHEETS = sorted((Path(__file__).parent / "sheets").glob("*.csv"))
EXAMPLE = Path(__file__).parent.parent / "examples/inzira/plan.csv"


@pytest.mark.parametrize("path", SHEETS, ids=lambda path: path.stem)
def test_sheet(path, snapshot):
    try:
        outcome = parse_sheet(path.read_bytes())._asdict()
    except SheetError as error:
        outcome = [str(fault) for fault in error.faults]
    assert outcome == snapshot


def test_digest_ignores_separators_and_line_ends():
    data = EXAMPLE.read_bytes()
    other = b"\xef\xbb\xbf" + data.replace(b",", b";").replace(b"\r\n", b"\n")
    assert parse_sheet(other).digest == parse_sheet(data).digest


def test_digest_sees_every_cell():
    data = EXAMPLE.read_bytes()
    changed = data.replace(b"interactive", b"deferred")
    assert parse_sheet(changed).digest != parse_sheet(data).digest
