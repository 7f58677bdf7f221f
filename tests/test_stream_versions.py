"""A stream goes on only at the version of a target's software that began it.

Several versions are in service beside each other, VMs and targets die, and callers take
their streams up again at any VM, over a fleet without network.
"""

import contextlib
import functools
from typing import NamedTuple

import pytest

from pollenmount.fleet.records import ENTRY
from tests.stream_traffic import StreamTraffic

SEEDS = range(6)
ROUNDS = 40
ACTS = 40
# The users count from as many on.
MIN_TAKEN_UP = 12
# The users' bound: half of the share of new streams that begin.
MIN_SHARE = 0.5


def play(traffic, kill_all_entries, versions=3):
    """Let versions change, targets crash and VMs die while streams go on."""
    for round_ in range(ROUNDS):
        for _ in range(ACTS):
            traffic.act()
        traffic.fleet.run(100)
        running = sorted(traffic.versions)
        if round_ % 3 == 0:
            version = f"v{traffic.random.randint(1, versions)}"
            traffic.release(traffic.random.choice(running), version)
        entries = traffic.fleet.of_role(ENTRY)
        if kill_all_entries and round_ % 20 == 10:
            traffic.kill_entries(entries)
        elif round_ % 7 == 5:
            traffic.kill_entries([traffic.random.choice(entries)])


class Outcome(NamedTuple):
    """Streams joined from two versions; those taken up again, and that went on."""

    joined: int
    taken_up: int
    gone_on: int


def outcome(seed, kill_all_entries, named, versions):
    """Return the `Outcome` of one play."""
    with contextlib.closing(StreamTraffic(seed=seed, named=named)) as traffic:
        play(traffic, kill_all_entries, versions)
        assert not traffic.gaps()
        return Outcome(len(traffic.joined()), traffic.taken_up, traffic.gone_on)


@functools.cache
def total(kill_all_entries, named=True, versions=3):
    """Return the sum of the `Outcome`s over all seeds."""
    outcomes = [outcome(seed, kill_all_entries, named, versions) for seed in SEEDS]
    return Outcome(*map(sum, zip(*outcomes, strict=True)))


# A target was chosen for the rest of a stream without regard to its version: within one
# answer, behind a hop, and when the caller took it up at another VM.
def test_no_stream_is_joined_from_two_versions():
    assert total(False).joined == 0


# With all entry VMs the memory of which version began a stream was gone.
def test_no_stream_is_joined_after_all_entry_vms_were_killed():
    assert total(True).joined == 0


# To refuse whatever is not known would join no streams either.
@pytest.mark.parametrize("kill_all_entries", [False, True])
def test_streams_of_a_version_that_is_in_service_go_on(kill_all_entries):
    result = total(kill_all_entries)
    assert result.taken_up >= MIN_TAKEN_UP
    assert result.gone_on >= MIN_SHARE * result.taken_up


# Callers that name no stream were sent to the only version that a VM knew just then.
@pytest.mark.parametrize("kill_all_entries", [False, True])
def test_no_stream_of_a_caller_that_names_none_is_joined(kill_all_entries):
    assert total(kill_all_entries, named=False).joined == 0


# While several versions were in service, nearly all of these callers were refused.
@pytest.mark.parametrize("kill_all_entries", [False, True])
@pytest.mark.parametrize("versions", [1, 3])
def test_streams_of_callers_that_name_none_go_on(kill_all_entries, versions):
    result = total(kill_all_entries, named=False, versions=versions)
    assert result.taken_up >= MIN_TAKEN_UP
    assert result.gone_on >= MIN_SHARE * result.taken_up


# A response that breaks off inside an event goes on after the last whole one, within
# the response and when it is taken up, behind a hop as well.
def test_no_event_is_missing_or_doubled_when_responses_break_inside_events():
    with contextlib.closing(StreamTraffic(seed=1, named=False)) as traffic:
        traffic.break_share = 0.1
        play(traffic, kill_all_entries=False)
        assert not traffic.gaps()
        assert not traffic.joined()
        assert traffic.taken_up >= MIN_TAKEN_UP
