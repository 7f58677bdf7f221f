"""How long a group of three is without a leader when the leader's VM is lost."""

import pytest

from pollenmount.consensus import messages as m
from pollenmount.consensus import state as s
from pollenmount.gateway.routes_log import ELECTION_TIMEOUT_MS, HEARTBEAT_INTERVAL_MS
from tests.stateful import raft_model

STEP_MS = 10
# One way between two regions.
LATENCY_MS = 55
STARTS = 200
# A VM that lost its disk has to be a voter again 4 s after it is back. Joining takes
# 1.4 s of that from when there is a leader, and it is back 0.4 s after the loss.
MAX_LEADERLESS_MS = 3000


def leaderless_ms(number):
    """Return how long two voters take to elect a leader once the third is lost."""
    model = raft_model.Model("abc", "abc")
    for name in "abc":
        replica = model.nodes[name].replica
        incarnation = f"{replica.incarnation}-{number}"
        model.nodes[name].replica = replica._replace(incarnation=incarnation)
    first = m.Configuration(tuple(node.replica for node in model.nodes.values()))
    for node in model.nodes.values():
        node.saved_state = raft_model.SavedState()
        node.start(model.now)
    model.network.clear()
    model.step("a", m.Bootstrap(first))
    run(model, 5000, lambda: False)
    model.down |= {*model.current_leaders()}
    lost_at = model.now
    run(model, 30_000, lambda: {*model.current_leaders()} - model.down)
    return model.now - lost_at


def run(model, ms, is_done):
    """Let time pass; each message takes the time between two regions."""
    under_way = []
    end_at = model.now + ms
    while model.now < end_at and not is_done():
        model.now += STEP_MS
        for name in model.live():
            model.step(name, m.Tick())
        under_way += [(model.now + LATENCY_MS, *message) for message in model.network]
        model.network.clear()
        due = [entry for entry in under_way if entry[0] <= model.now]
        under_way = [entry for entry in under_way if entry[0] > model.now]
        for _, to, sender, message in due:
            if to.name not in model.down:
                model.step(to.name, m.Receive(sender, message))


@pytest.fixture
def timing(monkeypatch):
    """Use the timing of the log of routes."""
    timing = s.Timing(
        heartbeat_ms=HEARTBEAT_INTERVAL_MS, election_timeout_ms=ELECTION_TIMEOUT_MS
    )
    monkeypatch.setattr(raft_model, "TIMING", timing)


# The two voters that were left split their votes several times in a row, and a second
# disk was lost before the first VM was a voter again: the log had no majority left.
def test_two_voters_soon_elect_a_leader_when_the_third_is_lost(timing):
    assert max(leaderless_ms(number) for number in range(STARTS)) <= MAX_LEADERLESS_MS
