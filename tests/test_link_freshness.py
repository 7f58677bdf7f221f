"""How long ago a VM last heard from its control VMs."""

from pollenmount.clock import ManualClock
from pollenmount.fleet.freshness import LinkFreshness
from pollenmount.fleet.records import ENTRY
from tests.fleet_model import FleetModel


def test_the_age_is_that_of_the_newest_message_on_any_link():
    freshness = LinkFreshness(clock := ManualClock(1000))
    assert freshness.age_ms() is None
    freshness.record("a")
    clock.advance(300)
    freshness.record("b")
    clock.advance(100)
    freshness.forget("b")
    assert freshness.age_ms() == 100


def test_a_vm_that_is_cut_off_sees_its_view_grow_old():
    with FleetModel.started(6) as model:
        entry = model.of_role(ENTRY)[0]
        assert entry.fleet.freshness.age_ms() < 1000
        model.cut(entry.zone)
        for node in [*model.nodes.values()]:
            if node.zone == entry.zone and node is not entry:
                model.kill(node)
        model.run(3000)
        assert entry.fleet.freshness.age_ms() >= 2900
