"""Targets that may have turned cold: when a doubt begins, and what ends it."""

import pytest

from pollenmount.clock import ManualClock
from pollenmount.fleet.messages import TargetDoubted, TargetRefused, TargetSeen
from pollenmount.fleet.records import TargetRecord
from pollenmount.fleet.targets import DOUBT_TTL_MS, TargetTable

OVERDUE_MS = 1800


class Doubts:
    """A table with one target that has been seen, and what it notified."""

    def __init__(self, gets_heartbeats=True):
        self.clock = ManualClock(1_000_000)
        self.notified = []
        self.table = TargetTable(
            self.clock,
            lambda message, source: self.notified.append(message),
            gets_heartbeats,
        )
        self.see(5)
        self.notified.clear()

    def see(self, sequence, born=1, cold_ms=0):
        """Store a heartbeat."""
        record = TargetRecord(
            *("t", born, sequence, "engine", "t:1", "west-a", "v", 16, False, cold_ms)
        )
        self.table.handle_seen(TargetSeen(record, 0), "c")

    def doubt(self, sequence=5, senders=("west-1",)):
        """Store a doubt since a heartbeat."""
        self.table.handle_doubted(TargetDoubted("t", 1, sequence, senders), "c")

    def may_be_cold(self):
        return self.table.by_id["t"].may_be_cold(self.clock.now())


# Links don't keep an order among them: a doubt may come after what has ended it.
def test_a_doubt_older_than_the_newest_heartbeat_is_no_news():
    doubts = Doubts()
    doubts.doubt(sequence=4)
    assert not doubts.may_be_cold()
    assert doubts.notified == []


# An entry VM hears of changes only, so it must be told that a doubt has ended.
def test_the_next_heartbeat_ends_a_doubt_and_is_passed_on():
    doubts = Doubts()
    doubts.doubt()
    assert doubts.may_be_cold()
    doubts.see(6)
    assert not doubts.may_be_cold()
    assert [type(message) for message in doubts.notified] == [TargetDoubted, TargetSeen]


# An entry VM has an older record than the heartbeat that is in doubt.
@pytest.mark.parametrize(("sequence", "ends"), [(6, False), (9, False), (10, True)])
def test_only_a_heartbeat_after_the_doubted_one_ends_it(sequence, ends):
    doubts = Doubts(gets_heartbeats=False)
    doubts.doubt(sequence=9)
    doubts.see(sequence)
    assert doubts.may_be_cold() is not ends
    assert doubts.table.by_id["t"].cold_senders == (() if ends else ("west-1",))


# Two control VMs may doubt a target since different heartbeats.
def test_a_doubt_that_names_other_senders_keeps_the_newest_heartbeat():
    doubts = Doubts(gets_heartbeats=False)
    doubts.doubt(sequence=9)
    doubts.doubt(sequence=7, senders=("west-2",))
    doubts.see(8)
    assert doubts.may_be_cold()
    doubts.see(10)
    assert not doubts.may_be_cold()


def test_a_restart_under_the_same_id_ends_it_too():
    doubts = Doubts()
    doubts.doubt(sequence=9)
    doubts.see(1, born=2, cold_ms=3000)
    doubts.clock.advance(3000)
    assert not doubts.may_be_cold()


# A control VM that is cut off from the others can't say that a target is heard again.
def test_a_doubt_ends_by_itself():
    doubts = Doubts()
    doubts.doubt()
    doubts.clock.advance(DOUBT_TTL_MS)
    assert not doubts.may_be_cold()


def test_a_target_is_overdue_once_and_only_at_its_source():
    doubts = Doubts()
    doubts.clock.advance(OVERDUE_MS)
    assert doubts.table.overdue(OVERDUE_MS, "c") == []
    doubts.clock.advance(1)
    assert doubts.table.overdue(OVERDUE_MS, "other") == []
    assert [known.id for known in doubts.table.overdue(OVERDUE_MS, "c")] == ["t"]
    doubts.doubt()
    assert doubts.table.overdue(OVERDUE_MS, "c") == []


def test_a_doubt_is_told_to_a_vm_that_links():
    doubts = Doubts()
    doubts.doubt()
    messages = [type(message) for message in doubts.table.snapshot()]
    assert messages == [TargetSeen, TargetDoubted]


# A target that crashed was sent to at full rate until its heartbeat was overdue.
def test_a_refused_connection_is_news_once_and_names_no_senders():
    doubts = Doubts(gets_heartbeats=False)
    for _ in range(2):
        doubts.table.handle_refused(TargetRefused("t", 1), "response")
    assert doubts.may_be_cold()
    assert doubts.table.by_id["t"].cold_senders == ()
    assert [type(message) for message in doubts.notified] == [TargetRefused]


# The refusal may be told after the next start has been heard.
@pytest.mark.parametrize("born", [0, 2])
def test_a_refused_connection_says_nothing_of_another_start(born):
    doubts = Doubts()
    doubts.table.handle_refused(TargetRefused("t", born), "response")
    assert not doubts.may_be_cold()


def test_the_control_vm_that_hears_a_refusal_names_who_may_send():
    doubts = Doubts(gets_heartbeats=False)
    doubts.table.handle_refused(TargetRefused("t", 1), "response")
    doubts.doubt(sequence=9, senders=("west-1",))
    assert doubts.table.by_id["t"].cold_senders == ("west-1",)
    doubts.see(10)
    assert not doubts.may_be_cold()
