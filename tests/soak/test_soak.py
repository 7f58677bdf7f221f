"""A short run of the soak, and its own check: it must fail when it should."""

import collections
import subprocess
import sys

import pytest

from tests.soak.callers import Seen, find_faults
from tests.soak.fleet import ROOT
from tests.soak.replica import EVENTS, body_of, event_of

SECONDS = 8
LIMIT_S = 150


def test_a_seeded_run_keeps_the_promises(tmp_path, network):
    """In a process of its own: others tests of this one leave green threads behind."""
    words = ["--seed=1", f"--seconds={SECONDS}", f"--network={network}"]
    ended = subprocess.run(
        [sys.executable, "-m", "tests.soak.run", *words, f"--keep={tmp_path}"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
        timeout=LIMIT_S,
    )
    assert ended.returncode == 0, ended.stdout + ended.stderr
    assert "200:" in ended.stdout


@pytest.mark.parametrize(
    ("seen", "count"),
    [
        (Seen("a", "once", 200, body_of("a"), True, True), 2),
        (Seen("a", "once", 503, b"", True, False), 1),
        (Seen("a", "read", 200, body_of("b"), True, True), 1),
        (Seen("a", "read", 200, body_of("a"), True, False), 1),
        (Seen("a", "stream", 200, event_of("a", 1), True, True), 1),
        (Seen("a", "stream", 200, event_of("a", 2), False, True), 1),
    ],
)
def test_the_soak_finds_what_is_wrong(seen, count):
    assert [*find_faults(seen, collections.Counter({"a": count}))]


def test_the_soak_finds_nothing_wrong_where_nothing_is():
    whole = b"".join(event_of("a", number) for number in range(1, EVENTS + 1))
    for seen in (
        Seen("a", "once", 200, body_of("a"), True, True),
        Seen("a", "stream", 200, whole, True, True),
        Seen("a", "stream", 200, event_of("a", 1), False, True),
        Seen("a", "once", 502, b"", True, False),
    ):
        assert not [*find_faults(seen, collections.Counter({"a": 1}))]
