"""Whether a VM finds out that it, and not a target, has lost the connection."""

import pytest

from pollenmount.gateway.target_paths import FRESH_MS, PROBE_INTERVAL_MS
from pollenmount.wire.errors import ConnectRefusedError
from tests.gateway_harness import EntryHarness

TARGETS = "abcd"


class Network:
    """The network of an entry VM; `down` are the targets that take no connections."""

    def __init__(self):
        self.vm = EntryHarness()
        self.down = set()
        self.connected = []
        self.paths = self.vm.context.paths
        del self.paths.can_connect
        self.vm.context.pool.connect = self.connect
        self.vm.context.pool.discard = lambda key, connection: None

    def add(self, *names):
        """Add targets of the region."""
        for name in names:
            self.vm.add_target(name)

    def connect(self, key, address):
        """Stand in for `ConnectionPool.connect`."""
        self.connected.append(key[0])
        if key[0] in self.down:
            raise ConnectRefusedError(address)


@pytest.fixture
def network():
    made = Network()
    made.add(*TARGETS)
    return made


def confirmed(network, id_):
    """Return whether the failure of a target is taken for its own."""
    calls = []
    network.paths.confirm(id_, lambda: calls.append(id_))
    return bool(calls)


def test_a_target_fails_by_itself_if_another_takes_connections(network):
    network.down = {"a"}
    assert confirmed(network, "a")
    assert not network.paths.is_lost


def test_nothing_is_known_of_a_target_if_none_takes_connections(network):
    network.down = {*TARGETS}
    assert not confirmed(network, "a")
    assert network.paths.is_lost
    assert not confirmed(network, "b")
    assert not network.paths.is_checking()


# Two targets that end at one moment are no lost path.
def test_some_targets_that_are_down_are_no_lost_path(network):
    network.down = {"a", "b", "c"}
    for name in ("a", "b", "c"):
        network.paths.record_failure(name)
    assert not network.paths.is_lost


def test_a_lost_path_is_found_again(network):
    network.down = {*TARGETS}
    network.paths.record_failure("a")
    assert network.paths.is_lost
    network.down = set()
    network.paths.sweep()
    assert network.paths.is_lost
    network.vm.clock.advance(PROBE_INTERVAL_MS)
    network.paths.sweep()
    assert not network.paths.is_lost


# Connections to targets are few, and each costs them something.
def test_probes_are_bounded(network):
    network.down = {*TARGETS}
    network.paths.record_failure("a")
    network.connected.clear()
    for _ in range(100):
        network.paths.record_failure("b")
        network.vm.clock.advance(PROBE_INTERVAL_MS // 50)
        network.paths.sweep()
    assert len(network.connected) == 2
    network.down = {"a"}
    network.vm.clock.advance(PROBE_INTERVAL_MS)
    network.paths.sweep()
    network.connected.clear()
    assert all(confirmed(network, "a") for _ in range(50))
    assert len(network.connected) <= 1


def test_the_only_target_of_a_region_fails_by_itself():
    network = Network()
    network.add("a")
    network.down = {"a"}
    assert confirmed(network, "a")


def test_targets_of_other_regions_are_not_connected_to(network):
    network.vm.add_target("far", region="east")
    network.down = {*TARGETS}
    network.paths.record_failure("a")
    assert "far" not in network.connected


# A path that worked a while ago may have been lost since.
def test_an_old_success_is_not_enough(network):
    network.down = {"a"}
    assert confirmed(network, "a")
    network.vm.clock.advance(FRESH_MS)
    network.down = {*TARGETS}
    assert not confirmed(network, "a")
