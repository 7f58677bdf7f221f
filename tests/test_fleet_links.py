"""Message rates on the links between members and control VMs, without a network."""

import pytest

from pollenmount.clock import ManualClock
from pollenmount.fleet import client, server
from pollenmount.fleet.client import LinkClient
from pollenmount.fleet.messages import CONTROL, ENTRY, Loads, MemberHeartbeat
from pollenmount.fleet.server import LinkServer
from tests.gateway_harness import EntryHarness

SECOND_MS = 1000


class FakeChannel:
    """Records the messages pushed to it."""

    def __init__(self):
        self.pushed = []

    def push(self, message):
        self.pushed.append(message)

    def close(self):
        """Do nothing."""


@pytest.fixture
def world(monkeypatch):
    """Return an entry VM without background tasks; tests call their steps."""
    monkeypatch.setattr(
        client.task, "PeriodicTask", lambda step, interval_ms: FakeChannel()
    )
    monkeypatch.setattr(server.task, "listen", lambda address, backlog: FakeChannel())
    monkeypatch.setattr(server.task, "spawn", lambda run: None)
    world = EntryHarness()
    world.add_member("west-c", "west", CONTROL)
    world.add_member("east-c", "east", CONTROL)
    return world


def test_heartbeats_are_frequent_to_the_nearest_control_vm_and_changes_go_to_all(world):
    members = world.fleet.members
    me = [members.get("west-1")]
    links = LinkClient(world.fleet, world.clock, lambda: me[0], tuple, list)
    links.channels = {address: FakeChannel() for address in links.control_addresses()}
    near, far = (
        links.channels[members.get(name).link_address] for name in ("west-c", "east-c")
    )
    for _ in range(12):
        world.clock.advance(client.ROUND_INTERVAL_MS)
        links.send_heartbeats()
    assert len(near.pushed) == 12
    assert len(far.pushed) == 4
    assert near.pushed[0].wants_loads
    assert not far.pushed[0].wants_loads
    me[0] = me[0]._replace(ready=False)
    links.send_heartbeats()
    assert not far.pushed[-1].member.ready


def test_load_totals_are_frequent_only_to_members_that_use_them(world):
    links = LinkServer("", world.fleet, ManualClock(1))
    record = world.fleet.members.get("west-1")
    links.channels = {"west-1": FakeChannel(), "east-1": FakeChannel()}
    links.roles = {"west-1": ENTRY, "east-1": ENTRY}
    links.handle("west-1", MemberHeartbeat(record))
    links.handle("east-1", MemberHeartbeat(record._replace(name="east-1"), (), False))
    for channel in links.channels.values():
        channel.pushed.clear()
    for _ in range(12):
        links.tick()
    counts = [
        sum(isinstance(message, Loads) for message in channel.pushed)
        for channel in links.channels.values()
    ]
    assert counts == [12, 4]
