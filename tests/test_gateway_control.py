"""Entry VMs that the directory of a control VM returns to callers."""

import types

import pytest

from pollenmount.fleet.records import CONTROL
from pollenmount.gateway.control import DirectoryApi
from tests.gateway_harness import EntryHarness, make_route


@pytest.fixture
def harness():
    return EntryHarness()


def directory(harness):
    node = types.SimpleNamespace(
        clock=harness.clock, fleet=harness.fleet, store=harness.store, stopping=False
    )
    return DirectoryApi(node)


def add_region(harness, region, **changes):
    harness.add_entry(f"{region}-9", region, **changes)


def test_entry_vms_of_the_callers_failure_domain_come_first(harness):
    add_region(harness, "east")
    harness.add_member("west-c", "west", CONTROL)
    assert directory(harness).choose("west", "west-a", "h") == ["west-1:80"]
    assert directory(harness).choose("west", "west-b", "h") == ["west-1:80"]


def test_stopping_and_unready_vms_are_left_out(harness):
    add_region(harness, "east")
    harness.add_entry("west-1", "west", sequence=2, ready=False)
    assert directory(harness).choose("west", "west-a", "h") == ["east-9:80"]
    harness.add_entry("west-1", "west", sequence=3, stopping=True)
    assert directory(harness).choose("west", "west-a", "h") == ["east-9:80"]


def test_without_an_own_one_callers_go_to_a_region_that_is_home(harness):
    """Routes of one host may differ in home regions; those of most routes are used."""
    add_region(harness, "east")
    add_region(harness, "south")
    harness.add_entry("west-1", "west", sequence=2, ready=False)
    routes = [
        make_route(homes=("west", "east")),
        make_route(homes=("west", "east")),
        make_route(homes=("south",)),
        make_route(),
    ]
    harness.store.by_host = {"h": routes}
    assert directory(harness).choose("west", "west-a", "H") == ["east-9:80"]
    assert len(directory(harness).choose("west", "west-a", "other")) == 2


def test_bound_callers_stay_in_home_regions_while_all_vms_there_stop(harness):
    """In a rolling restart, all VMs of two regions may be stopping at the same time."""
    add_region(harness, "south")
    harness.add_entry("west-1", "west", sequence=2, ready=False, stopping=True)
    harness.add_entry("east-1", "east", ready=False, stopping=True)
    harness.store.by_host = {"h": [make_route(homes=("west", "east")), make_route()]}
    assert directory(harness).choose("west", "west-a", "h") == ["west-1:80"]
    harness.store.by_host = {"h": [make_route()]}
    assert directory(harness).choose("west", "west-a", "h") == ["south-9:80"]
