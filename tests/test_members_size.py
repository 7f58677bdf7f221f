"""Membership and plan distribution in 24 failure domains of 14 members each."""

import pytest

from bench.domains import build_network, make_sheet, measure_network
from bench.network import accept_plan

NODES = 24 * 14
BUDGET_BYTES = 7000
FRAMING_BYTES_A_CALL = 165
CALLERS = 320
TICKS_IN_5_S = 5


@pytest.fixture(scope="module")
def network():
    built = build_network(24, 14)
    built.tick(16)
    return built


def test_every_node_sees_every_other(network):
    assert {len(node.live_member_names()) for node in network.nodes.values()} == {NODES}


def test_bytes_stay_in_the_budget(network):
    measured = measure_network(network, 10)
    framing = measured.relay_messages * FRAMING_BYTES_A_CALL
    assert measured.most_bytes + framing < BUDGET_BYTES, measured


def test_plan_is_in_force_everywhere_in_5_s(network):
    nodes = [*network.nodes.values()]
    for number in (1, 2):
        accept_plan(nodes[0], number, make_sheet(CALLERS, number))
        network.tick(TICKS_IN_5_S)
        assert {node.store.number for node in nodes} == {number}


def test_change_of_one_row_sends_few_bytes(network):
    nodes = [*network.nodes.values()]
    accept_plan(nodes[0], 3, make_sheet(CALLERS, 3))
    network.tick(TICKS_IN_5_S)
    network.bytes.clear()
    accept_plan(nodes[0], 4, make_sheet(CALLERS, 4))
    network.run()
    assert {node.store.number for node in nodes} == {4}
    assert max(network.bytes.values()) < CALLERS * 100


def test_plan_is_fetched_if_pushes_are_lost(network, monkeypatch):
    nodes = [*network.nodes.values()]
    for node in nodes:
        monkeypatch.setattr(node.distributor, "push", lambda *call: None)
    accept_plan(nodes[0], 5, make_sheet(CALLERS, 5))
    network.tick(12)
    assert {node.store.number for node in nodes} == {5}
