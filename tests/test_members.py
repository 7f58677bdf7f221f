"""Reports of failure domains, plan updates and joining nodes, case by case."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bench.network import HEARTBEAT_INTERVAL_MS, UNREADABLE, FakeNetwork, accept_plan
from pollenmount.clock import ManualClock
from pollenmount.members import local
from pollenmount.members.delta import apply_update, make_update
from pollenmount.members.remote import (
    REPORT_TTL_HEARTBEATS,
    RemoteDomainTable,
    Report,
    domain_key,
)
from pollenmount.plans.machine import AcceptedPlan

LINES = st.lists(st.binary(max_size=3).map(lambda line: line + b"\n"), max_size=12)


def make_report(sequence, age_ms=0):
    return Report("far-a", sequence, 1, age_ms, 7, sequence, {}, ())


def test_older_report_is_ignored():
    table = RemoteDomainTable(ManualClock(10_000), HEARTBEAT_INTERVAL_MS, "own-a")
    table.merge_reports((make_report(5), make_report(4)))
    assert table.sequence_of("far-a") == 5


def test_forwarded_report_keeps_its_age_and_expires():
    clock = ManualClock(100_000)
    table = RemoteDomainTable(clock, HEARTBEAT_INTERVAL_MS, "own-a")
    table.merge_reports((make_report(5, age_ms=700),))
    clock.advance(300)
    (passed_on,) = table.reports_newer_than({})
    assert passed_on.age_ms == 1000
    assert table.reports_newer_than({domain_key("far-a"): 5}) == ()
    clock.advance(REPORT_TTL_HEARTBEATS * HEARTBEAT_INTERVAL_MS - 1000)
    assert table.reports_newer_than({}) == ()


def test_own_sequence_exceeds_all_that_peers_know():
    table = RemoteDomainTable(ManualClock(1), HEARTBEAT_INTERVAL_MS, "own-a")
    table.raise_own_sequence_from({domain_key("own-a"): 41})
    assert table.next_sequence() == 42
    table.raise_own_sequence(50)
    assert table.next_sequence() == 51


@settings(derandomize=True, database=None, deadline=None)
@given(old=LINES, new=LINES, other=LINES)
def test_update_gives_the_sheet_or_needs_the_full_one(old, new, other):
    base, newer = (
        AcceptedPlan(number, "d", b"".join(lines))
        for number, lines in ((1, old), (2, new))
    )
    assert apply_update(make_update(newer), None) == newer.sheet
    update = make_update(newer, base)
    assert apply_update(update, base) == newer.sheet
    wrong = AcceptedPlan(1, "e", b"".join(other))
    assert apply_update(update, wrong) in (newer.sheet, None)
    if update.base_number:
        assert apply_update(update, base._replace(number=9)) is None


def test_unreadable_plan_is_rejected_and_not_fetched_again():
    network = FakeNetwork()
    nodes = [
        network.add(f"r-a-{index}", "r-a", ("r-a-0:1",), parses_all_sheets=index != 2)
        for index in range(3)
    ]
    network.tick(8)
    accept_plan(nodes[0], 1)
    network.tick(4)
    accept_plan(nodes[0], 2, UNREADABLE)
    network.tick(4)
    assert [node.store.number for node in nodes] == [2, 2, 1]
    assert nodes[2].distributor.unreadable == 2
    network.sent_bytes_by_type.clear()
    network.tick(20)
    assert (
        network.sent_bytes_by_type["FetchPlan"]
        == network.sent_bytes_by_type["PushPlan"]
        == 0
    )
    accept_plan(nodes[0], 3)
    network.tick(4)
    assert [node.store.number for node in nodes] == [3, 3, 3]


@pytest.mark.parametrize(("old", "new"), [(0, 1), (1, 0)])
def test_starting_node_takes_the_highest_plan_of_its_peers(old, new):
    network = FakeNetwork()
    seeds = ("r-a-0:1", "r-a-1:1")
    nodes = [network.add(f"r-a-{index}", "r-a", seeds) for index in range(3)]
    network.tick(8)
    accept_plan(nodes[0], 1)
    network.tick(4)
    nodes[2].alive = False
    network.cut_links |= {("r-a-0", "r-a-1"), ("r-a-1", "r-a-0")}
    accept_plan(nodes[new], 2)
    network.run()
    assert nodes[old].store.number == 1
    nodes[2].start()
    network.tick(12)
    assert nodes[2].store.numbers == [0, 2]


def test_joining_node_removes_expired_members():
    """A node whose peers stop while it joins keeps joining and must expire them."""
    net = FakeNetwork()
    nodes = [net.add(f"r-a-{n}", "r-a", ("r-a-0:1",)) for n in range(3)]
    net.tick(12)
    last = nodes.pop()
    last.start()
    net.tick(2)
    assert last.members.local.rows
    assert not last.heartbeater.joined
    for node in nodes:
        node.alive = False
    net.clock.advance(local.MEMBER_EXPIRY_MS)
    net.tick(2)
    assert not last.members.local.rows
