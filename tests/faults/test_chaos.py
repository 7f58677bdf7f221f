"""Callers at work under faults, and the check that judges it."""

from tests.faults.chaos import Filing, find_false, run


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


def test_nothing_false_under_kills_freezes_and_restarts(tmp_path, network):
    wrong, false, outcomes, _ = run(tmp_path, network, seed=1, seconds=10)
    assert wrong == []
    assert false == []
    assert outcomes["filing: answered"] and outcomes["chat: answered"]
