"""Tables in the documentation list exactly what the code defines."""

import re

import pytest

from pollenmount.errors import HTTP_STATUS
from pollenmount.metrics import Metrics, render
from pollenmount.plans.sheet import record_types
from pollenmount.plugin import load_family
from pollenmount.settings import SCHEMA, Settings
from standins.cluster import ROOT


def rows(page, header):
    """Yield the cells of the table under a header row."""
    lines = (ROOT / "docs" / page).read_text().splitlines()
    start = lines.index(header) + 2
    for line in lines[start:]:
        if not line.startswith("|"):
            return
        yield [cell.strip() for cell in re.split(r"(?<!\\)\|", line)[1:-1]]


def test_refusals():
    header = "| code | status | meaning | what to do |"
    documented = {row[0].strip("`"): int(row[1]) for row in rows("CALLERS.md", header)}
    assert documented == {str(kind): status for kind, status in HTTP_STATUS.items()}


def test_settings():
    documented = {
        row[0].strip("`"): row[2] for row in rows("OPERATORS.md", SETTINGS_HEADER)
    }
    assert set(documented) == set(SCHEMA["properties"])
    for key, default in Settings._field_defaults.items():
        if isinstance(default, int | str):
            assert documented[key].strip("`") == str(default), key


SETTINGS_HEADER = "| key | meaning | default |"


def test_columns_of_the_sheet():
    documented = {}
    for name, columns in rows("OPERATORS.md", "| record | columns |"):
        plain = re.sub(r"\([^)]*\)", "", columns)
        documented[name.strip("`")] = set(re.findall(r"`(\w+)`", plain))
    del documented["plan"]
    assert documented == {
        name: set(record.columns) for name, record in record_types().items()
    }


def test_metrics():
    text = render(Metrics().registry).decode()
    exported = set(re.findall(r"# TYPE (\w+) (?:counter|gauge|histogram)", text))
    documented = {
        row[0].strip("`") for row in rows("OPERATORS.md", "| metric | what |")
    }
    assert documented == {name for name in exported if not name.endswith("_created")}


def test_commands():
    text = "\n".join(r[0] for r in rows("OPERATORS.md", "| command | what it does |"))
    documented = set(re.findall(r"pollenmount (\w+)", text))
    assert documented == set(load_family("pollenmount.commands"))


@pytest.mark.parametrize("page", ["CALLERS", "OPERATORS", "DESIGN", "GLOSSARY"])
def test_lines_of_pages_fit(page):
    lines = (ROOT / "docs" / f"{page}.md").read_text().splitlines()
    assert [line for line in lines if len(line) > 120 and line[0] != "|"] == []


def test_promises_name_tests_that_exist():
    page = (ROOT / "docs/PROMISES.md").read_text()
    files = [*(ROOT / "tests").rglob("test_*.py")]
    code = "".join(path.read_text() for path in files)
    known = {path.name for path in files} | set(re.findall(r"def (test_\w+)", code))
    referenced = set(re.findall(r"`(test_[\w.]+)`", page))
    assert referenced - known == set()
