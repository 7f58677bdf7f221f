"""What a control VM tells callers of the directory."""

import types

import pytest

from pollenmount.fleet.messages import CONTROL
from pollenmount.gateway.control import DirectoryApi
from tests.gateway_world import EntryWorld, make_route


@pytest.fixture
def world():
    return EntryWorld()


def directory(world):
    node = types.SimpleNamespace(
        clock=world.clock, fleet=world.fleet, store=world.store, stopping=False
    )
    return DirectoryApi(node)


def add_region(world, region, **changes):
    world.add_entry(f"{region}-9", region, **changes)


def test_entry_vms_of_the_own_failure_domain_come_first(world):
    add_region(world, "east")
    world.add_member("west-c", "west", CONTROL)
    assert directory(world).choose("west", "west-a", "h") == ["west-1:80"]
    assert directory(world).choose("west", "west-b", "h") == ["west-1:80"]


def test_vms_that_stop_or_are_not_ready_are_left_out(world):
    add_region(world, "east")
    world.add_entry("west-1", "west", sequence=2, ready=False)
    assert directory(world).choose("west", "west-a", "h") == ["east-9:80"]
    world.add_entry("west-1", "west", sequence=3, stopping=True)
    assert directory(world).choose("west", "west-a", "h") == ["east-9:80"]


def test_without_an_own_one_callers_go_to_a_region_that_is_home(world):
    """The routes of one host may have different homes; most decide."""
    add_region(world, "east")
    add_region(world, "south")
    world.add_entry("west-1", "west", sequence=2, ready=False)
    routes = [
        make_route(homes=("west", "east")),
        make_route(homes=("west", "east")),
        make_route(homes=("south",)),
        make_route(),
    ]
    world.store.by_host = {"h": routes}
    assert directory(world).choose("west", "west-a", "H") == ["east-9:80"]
    assert len(directory(world).choose("west", "west-a", "other")) == 2


def test_bound_callers_stay_in_their_homes_while_all_vms_there_stop(world):
    """All VMs of two regions may be stopping at one moment of a rolling restart."""
    add_region(world, "south")
    world.add_entry("west-1", "west", sequence=2, ready=False, stopping=True)
    world.add_entry("east-1", "east", ready=False, stopping=True)
    world.store.by_host = {"h": [make_route(homes=("west", "east")), make_route()]}
    assert directory(world).choose("west", "west-a", "h") == ["west-1:80"]
    world.store.by_host = {"h": [make_route()]}
    assert directory(world).choose("west", "west-a", "h") == ["south-9:80"]
