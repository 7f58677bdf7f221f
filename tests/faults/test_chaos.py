"""The check that the run under faults relies on finds false outcomes."""

from tests.faults.chaos import Filing, find_false


def test_find_false_finds_each_kind():
    filings = [
        Filing("once", ("answered",)),
        Filing("twice", ("connection broke", "answered")),
        Filing("never", ("answered",)),
        Filing("denied", ("not_run no_target",)),
        Filing("unknown", ("may_have_run outcome_unknown",)),
    ]
    runs = {"once": 1, "twice": 2, "never": 0, "denied": 1, "unknown": 0}
    false = find_false(filings, runs)
    assert [line.split("'")[1] for line in false] == ["twice", "never", "denied"]
