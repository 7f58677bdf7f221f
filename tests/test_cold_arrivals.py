"""Arrivals at cold targets from all VMs together, in fleets of up to 180 entry VMs.

The pattern: the traffic of a region meets targets that have turned cold, and the VMs
hear of it at different times, or not yet. A cold target must get no more than the bound
in any second, whoever sends.
"""

import contextlib

import pytest

from pollenmount.fleet.records import ENTRY
from tests.fleet_model import HEARTBEAT_MS
from tests.fleet_traffic import (
    DOMAIN,
    MAX_COLD_PER_S,
    REGION,
    FleetTraffic,
    most_in_window,
)

COLD_MS = 3000
# Entry VMs and targets of the fleet, and calls a second in the region.
LARGE = (180, 72, 300)
SMALL = (9, 9, 45)


@pytest.fixture
def make_traffic():
    """Yield a function that makes a `FleetTraffic`."""
    with contextlib.ExitStack() as stack:
        yield lambda *args: stack.enter_context(contextlib.closing(FleetTraffic(*args)))


def restart_half(traffic, per_s, down_ms, silent_ms):
    """Let half of the targets of a failure domain crash, and be back cold."""
    crashed = traffic.targets_in(DOMAIN)[::2]
    for id_ in crashed:
        traffic.crash(id_)
    traffic.run(down_ms, per_s)
    for id_ in crashed:
        traffic.restart(id_, COLD_MS, silent_ms)
    traffic.run(COLD_MS, per_s)


# A target that restarted under its id got the traffic of 60 VMs until they heard of it.
@pytest.mark.parametrize(("entries", "targets", "per_s"), [LARGE, SMALL])
@pytest.mark.parametrize("silent_ms", [0, 200, 1000])
def test_a_target_that_restarts_under_its_id_is_not_flooded(
    make_traffic, entries, targets, per_s, silent_ms
):
    traffic = make_traffic(entries, targets)
    traffic.run(1000, per_s)
    restart_half(traffic, per_s, 3000, silent_ms)
    assert most_in_window(traffic.cold_arrivals) <= MAX_COLD_PER_S


# VMs that were refused by a target went on at full rate once it answered again: it was
# back under its id, cold, before its heartbeat was overdue.
@pytest.mark.parametrize(("entries", "targets", "per_s"), [LARGE, SMALL])
@pytest.mark.parametrize("silent_ms", [200, 1000, 1500])
def test_a_target_that_is_back_before_it_is_missed_is_not_flooded(
    make_traffic, entries, targets, per_s, silent_ms
):
    traffic = make_traffic(entries, targets)
    traffic.run(HEARTBEAT_MS - traffic.clock.now() % HEARTBEAT_MS + 200, per_s)
    restart_half(traffic, per_s, 500, silent_ms)
    assert most_in_window(traffic.cold_arrivals) <= MAX_COLD_PER_S


# Targets may be cold when an evacuation ends, and the news of it later than its end.
@pytest.mark.parametrize(("entries", "targets", "per_s"), [LARGE, SMALL])
@pytest.mark.parametrize("silent_ms", [0, 200, 1000])
def test_targets_that_are_cold_after_an_evacuation_are_not_flooded(
    make_traffic, entries, targets, per_s, silent_ms
):
    traffic = make_traffic(entries, targets)
    traffic.evacuate(DOMAIN)
    traffic.run(2000, per_s)
    for id_ in traffic.targets_in(DOMAIN):
        traffic.turn_cold(id_, COLD_MS, silent_ms)
    traffic.evacuate()
    traffic.run(COLD_MS, per_s)
    assert most_in_window(traffic.cold_arrivals) <= MAX_COLD_PER_S


# VMs that come and go change who may send to a cold target.
def test_a_cold_target_is_not_flooded_while_entry_vms_come_and_go(make_traffic):
    entries, targets, per_s = LARGE
    traffic = make_traffic(entries, targets)
    for id_ in traffic.targets_in(DOMAIN):
        traffic.restart(id_, COLD_MS, 0)
    for number in range(10):
        nodes = [n for n in traffic.fleet.of_role(ENTRY) if n.region == REGION]
        for index, node in enumerate(traffic.random.sample(nodes, 5)):
            traffic.fleet.kill(node)
            traffic.fleet.add(f"new-{number}-{index}", ENTRY, DOMAIN)
        traffic.run(300, per_s)
    assert 0 < most_in_window(traffic.cold_arrivals) <= MAX_COLD_PER_S


# Guards against a remedy that sends nothing: targets found warm are soon in full use.
def test_targets_that_are_warm_after_an_evacuation_are_used_again(make_traffic):
    entries, targets, per_s = LARGE
    traffic = make_traffic(entries, targets)
    traffic.evacuate(DOMAIN)
    traffic.run(2000, per_s)
    traffic.evacuate()
    traffic.run(1500, per_s)
    traffic.arrivals.clear()
    traffic.run(1000, per_s)
    domain = traffic.targets_in(DOMAIN)
    assert sum(arrival.target in domain for arrival in traffic.arrivals) > per_s / 4
