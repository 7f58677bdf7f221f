"""A short run of the soak test, and tests of its check for violations."""

import collections
import subprocess
import sys

import pytest

from tests.soak.callers import Observation, find_violations
from tests.soak.fleet import ROOT
from tests.soak.replica import EVENT_COUNT, expected_body, expected_event

DURATION_S = 8
TIMEOUT_S = 150


def test_seeded_run_has_no_violations(tmp_path, network):
    """Runs in a separate process: other tests leave green threads in this one."""
    arguments = ["--seed=1", f"--seconds={DURATION_S}", f"--network={network}"]
    completed = subprocess.run(
        [sys.executable, "-m", "tests.soak.run", *arguments, f"--keep={tmp_path}"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
        timeout=TIMEOUT_S,
    )
    assert completed.returncode == 0, completed.stdout + completed.stderr
    assert "200:" in completed.stdout


@pytest.mark.parametrize(
    ("observation", "run_count"),
    [
        (Observation("a", "once", 200, expected_body("a"), True, True), 2),
        (Observation("a", "once", 503, b"", True, False), 1),
        (Observation("a", "read", 200, expected_body("b"), True, True), 1),
        (Observation("a", "read", 200, expected_body("a"), True, False), 1),
        (Observation("a", "stream", 200, expected_event("a", 1), True, True), 1),
        (Observation("a", "stream", 200, expected_event("a", 2), False, True), 1),
    ],
)
def test_each_kind_of_violation_is_found(observation, run_count):
    assert [*find_violations(observation, collections.Counter({"a": run_count}))]


def test_correct_observations_have_no_violations():
    all_events = b"".join(
        expected_event("a", number) for number in range(1, EVENT_COUNT + 1)
    )
    for observation in (
        Observation("a", "once", 200, expected_body("a"), True, True),
        Observation("a", "stream", 200, all_events, True, True),
        Observation("a", "stream", 200, expected_event("a", 1), False, True),
        Observation("a", "once", 502, b"", True, False),
    ):
        assert not [*find_violations(observation, collections.Counter({"a": 1}))]
