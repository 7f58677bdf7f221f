"""Arrivals at targets that name a limit, from all VMs together.

The pattern: the traffic of a region's VMs, each with its own view, meets a few targets
that take one or two requests a second of all of them together. What arrives must keep
the limit whoever sends, and the other targets must take the rest.
"""

import collections
import contextlib

import pytest

from pollenmount.fleet.records import ENTRY
from pollenmount.fleet.target_limits import LIMIT_TTL_MS
from tests.fleet_traffic import DOMAIN, REGION, FleetTraffic, most_in_window

# When the users' bound on a limited target begins, and over which time it is counted.
SETTLE_MS = 5000
WINDOW_MS = 4000
# Entry VMs and targets of the fleet, and calls a second in the region.
LARGE = (180, 72, 300)
SMALL = (9, 9, 45)
SIZES = pytest.mark.parametrize("size", [LARGE, SMALL], ids=["large", "small"])


def most_allowed(per_s):
    """Return the users' bound on the requests in `WINDOW_MS`."""
    return 1.5 * per_s * WINDOW_MS / 1000 + 5


@pytest.fixture
def make_traffic():
    """Yield a function that makes a `FleetTraffic` and limits its busiest target."""
    with contextlib.ExitStack() as stack:

        def make(size, per_s, **options):
            entries, targets, calls_per_s = size
            traffic = FleetTraffic(entries, targets, **options)
            stack.enter_context(contextlib.closing(traffic))
            traffic.run(2000, calls_per_s)
            counts = collections.Counter(a.target for a in traffic.arrivals)
            limited = counts.most_common(1)[0][0]
            traffic.processes[limited].limit_per_s = per_s
            return traffic, limited

        yield make


def arrivals_at(traffic, id_):
    """Return the arrivals at a target, and forget all so far."""
    found = [arrival for arrival in traffic.arrivals if arrival.target == id_]
    traffic.arrivals.clear()
    return found


# Every VM that a target had told of its limit went on as before.
@SIZES
@pytest.mark.parametrize("per_s", [0.0, 1.0, 1.7, 6.0])
def test_all_vms_together_keep_the_limit_of_a_target(make_traffic, size, per_s):
    traffic, limited = make_traffic(size, per_s)
    traffic.run(SETTLE_MS, size[2])
    traffic.arrivals.clear()
    traffic.run(2 * WINDOW_MS, size[2])
    served = len(traffic.arrivals)
    found = arrivals_at(traffic, limited)
    assert most_in_window(found, WINDOW_MS) <= most_allowed(per_s)
    assert served >= 0.98 * size[2] * 2 * WINDOW_MS / 1000


# The VMs that may send to a limited target end, and others take their place.
def test_the_limit_holds_while_entry_vms_come_and_go(make_traffic):
    traffic, limited = make_traffic(LARGE, 2.0)
    traffic.run(SETTLE_MS, LARGE[2])
    traffic.arrivals.clear()
    for number in range(10):
        nodes = [n for n in traffic.fleet.of_role(ENTRY) if n.region == REGION]
        for index, node in enumerate(traffic.random.sample(nodes, 5)):
            traffic.fleet.kill(node)
            traffic.fleet.add(f"new-{number}-{index}", ENTRY, DOMAIN)
        traffic.run(600, LARGE[2])
    found = arrivals_at(traffic, limited)
    assert 0 < most_in_window(found, WINDOW_MS) <= most_allowed(2.0)


# A limit lapses when the VMs that may send have no call for long, and all may send.
def test_a_limit_lasts_while_nothing_is_sent(make_traffic):
    traffic, limited = make_traffic(LARGE, 1.0)
    traffic.run(SETTLE_MS, LARGE[2])
    traffic.run(LIMIT_TTL_MS + SETTLE_MS, 0)
    traffic.arrivals.clear()
    traffic.run(WINDOW_MS, LARGE[2])
    found = arrivals_at(traffic, limited)
    assert most_in_window(found, WINDOW_MS) <= most_allowed(1.0)


# A VM that is cut off while a limit ends must not keep it for good.
def test_a_vm_that_missed_the_end_of_a_limit_forgets_it(make_traffic):
    traffic, limited = make_traffic(SMALL, 2.0, chooser="random")
    traffic.run(SETTLE_MS, SMALL[2])
    node = next(n for n in traffic.fleet.of_role(ENTRY) if n.region == REGION)
    message = next(node.fleet.targets.limits.messages())
    traffic.processes[limited].limit_per_s = None
    traffic.run(SETTLE_MS, SMALL[2])
    node.fleet.handle(message, "late")
    traffic.run(LIMIT_TTL_MS, SMALL[2])
    assert [*node.fleet.targets.limits.messages()] == []


# A cold target that names a limit as well keeps both.
def test_a_limit_and_a_warm_up_hold_together(make_traffic):
    traffic, limited = make_traffic(LARGE, 0.5)
    traffic.run(SETTLE_MS, LARGE[2])
    traffic.turn_cold(limited, 3000, 0)
    traffic.arrivals.clear()
    traffic.run(WINDOW_MS, LARGE[2])
    found = arrivals_at(traffic, limited)
    assert most_in_window(found, WINDOW_MS) <= most_allowed(0.5)


# A limit is in force for as long as the target names it, and no longer.
@SIZES
def test_a_target_that_names_no_limit_any_more_is_in_full_use_again(make_traffic, size):
    traffic, limited = make_traffic(size, 2.0, chooser="random")
    traffic.run(SETTLE_MS, size[2])
    assert len(arrivals_at(traffic, limited)) > 0
    traffic.processes[limited].limit_per_s = None
    traffic.run(SETTLE_MS, size[2])
    traffic.arrivals.clear()
    traffic.run(WINDOW_MS, size[2])
    assert most_in_window(arrivals_at(traffic, limited), WINDOW_MS) > most_allowed(2.0)


# A limit of an incarnation that has ended must not bind the next one.
def test_a_limit_ends_with_its_incarnation(make_traffic):
    traffic, limited = make_traffic(SMALL, 0.5, chooser="random")
    traffic.run(SETTLE_MS, SMALL[2])
    traffic.processes[limited].limit_per_s = None
    traffic.restart(limited, 0, 0)
    traffic.run(1000, SMALL[2])
    traffic.arrivals.clear()
    traffic.run(WINDOW_MS, SMALL[2])
    assert most_in_window(arrivals_at(traffic, limited), WINDOW_MS) > most_allowed(0.5)
