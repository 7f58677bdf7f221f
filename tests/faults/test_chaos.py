"""A short run of the chaos test, and a test of its check of outcomes."""

from tests.faults.chaos import Filing, find_contradictions, run


def test_find_contradictions_finds_each_kind():
    filings = [
        Filing("once", ("answered",)),
        Filing("twice", ("connection broke", "answered")),
        Filing("never", ("answered",)),
        Filing("denied", ("not_run no_target",)),
        Filing("unknown", ("may_have_run outcome_unknown",)),
    ]
    runs = {"once": 1, "twice": 2, "never": 0, "denied": 1, "unknown": 0}
    contradictions = find_contradictions(filings, runs)
    assert [line.split("'")[1] for line in contradictions] == [
        "twice",
        "never",
        "denied",
    ]


def test_answers_and_outcomes_are_right_under_kills_freezes_and_restarts(
    tmp_path, network
):
    wrong_answers, contradictions, outcomes, _ = run(
        tmp_path, network, seed=1, seconds=10
    )
    assert wrong_answers == []
    assert contradictions == []
    assert outcomes["filing: answered"] and outcomes["chat: answered"]
