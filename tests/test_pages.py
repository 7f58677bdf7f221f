"""Tables in the documentation list exactly what the code defines."""

import json
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


CLAIMS_HEADER = "| site | run | commit | entry | shows |"
UNFINISHED = "the run did not finish"


def journal_entry(id_):
    """Return the entry of a run of the users' bench, by its id."""
    (path,) = (ROOT / "journal").glob(f"*-{id_}.json")
    return json.loads(path.read_text())


def journal_ids():
    """Return the ids of all entries."""
    return {path.stem.rpartition("-")[2] for path in (ROOT / "journal").glob("*.json")}


def shown_by_hunt(entry):
    """Return what an entry of a hunt shows, in the words of the page."""
    return f"{sum(bool(day['rules']) for day in entry['days'])} with a rule broken"


def shown_by_score(entry):
    """Return what an entry of a score shows, in the words of the page."""
    gate = "passed" if all(day["gate"] for day in entry["days"]) else "failed"
    return f"{entry['score']:.3f}, gate {gate}"


@pytest.mark.parametrize("row", rows("PROMISES.md", CLAIMS_HEADER))
def test_hunts_and_scores_are_in_the_journal(row):
    site, run, commit, id_, shown = row
    entry = journal_entry(id_)
    assert entry["ok"] and entry["error"] is None
    assert entry["head"].startswith(commit) and not entry["dirty"]
    assert entry["argv"][0].endswith(f"/{site}.toml")
    if run == "score":
        assert entry["cmd"] == "score" and "--quick" not in entry["argv"]
        assert shown == shown_by_score(entry)
    else:
        assert (entry["cmd"], run) == ("hunt", f"hunt, {len(entry['days'])} days")
        assert shown == shown_by_hunt(entry)


def test_no_page_names_an_entry_of_a_run_that_did_not_finish():
    pages = [*(ROOT / "docs").rglob("*.md"), *ROOT.glob("*.md")]
    text = "\n".join(path.read_text() for path in pages)
    named = set(re.findall(r"\b[0-9a-f]{8}\b", text)) & journal_ids()
    unfinished = [id_ for id_ in named if journal_entry(id_)["error"] == UNFINISHED]
    assert unfinished == []
