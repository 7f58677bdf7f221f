"""Links between members and control VMs, without a network: which ones, and how often.

Guards against heartbeats and load totals on each link at the shortest interval.
"""

import contextlib

import pytest

from pollenmount.fleet import client
from pollenmount.fleet.messages import (
    LINK_PROTOCOL,
    LinkHello,
    PromptBroke,
    TargetSeen,
)
from pollenmount.fleet.observations import RESPONSE
from pollenmount.fleet.records import CONTROL, ENTRY
from tests.fleet_model import FleetModel

ROUNDS = 12
SECOND_MS = 1000


@pytest.fixture
def model():
    """Yield a started fleet of six control VMs and 12 entry VMs."""
    with FleetModel.started() as model:
        yield model


def linked_zones(node):
    """Return the failure domains of the control VMs to which a VM has links."""
    names = (address.partition(":")[0] for address in node.client.established)
    return sorted(name.removeprefix("control-") for name in names)


def test_entry_vms_link_to_the_control_vms_of_their_region(model):
    for node in model.of_role(ENTRY):
        assert linked_zones(node) == [f"{node.region}-a", f"{node.region}-b"]
    for node in model.of_role(CONTROL):
        assert len(node.client.established) == 5


def test_a_vm_returns_to_its_nearest_control_vm(model):
    """A restart of a control VM must not leave its members with one that is far."""
    nearest = model.nodes["control-west-a"]
    model.kill(nearest)
    model.run(4000)
    node = next(n for n in model.of_role(ENTRY) if n.zone == "west-a")
    assert len(linked_zones(node)) == 2
    nearest.start()
    model.put_plan(1)
    model.run(8000)
    assert linked_zones(node) == ["west-a", "west-b"]


# An entry VM that started got targets before the evidence of what crashes them, and
# sent them prompts in quarantine in between.
def test_a_vm_that_starts_learns_what_crashes_targets_before_it_knows_any(model):
    node = model.of_role(ENTRY)[0]
    for number in range(2):
        report = PromptBroke(f"gone{number}", 1, f"own{number}", ("deadly",))
        model.of_role(ENTRY)[1].fleet.handle(report, RESPONSE)
        model.run(1000)
    model.kill(node)
    model.run(1000)
    node.start()
    model.run(2000)
    kinds = [type(change) for change in node.changes]
    assert kinds.index(PromptBroke) < kinds.index(TargetSeen)
    assert node.fleet.part_quarantine.left_ms(("deadly",))


def test_entry_vms_know_their_targets_while_all_control_vms_are_down():
    """After a minute without changes they forgot all at once, and had none to ask."""
    with contextlib.closing(FleetModel(12)) as model:
        model.put_plan(1)
        model.run(70_000)
        for control in model.of_role(CONTROL):
            model.kill(control)
        model.run(20_000)
        for node in model.of_role(ENTRY):
            assert len(node.fleet.targets.by_id) == 8
        model.targets.pop("t0")
        for control in model.nodes.values():
            if not control.alive:
                control.start()
        model.put_plan(1)
        model.run(8000)
        for node in model.of_role(ENTRY):
            known = node.fleet.targets.by_id.values()
            assert sum(target.is_heard for target in known) == (
                7 if node.region == "east" else 8
            )
        model.run(60_000)
        assert not any("t0" in n.fleet.targets.by_id for n in model.nodes.values())


def test_without_a_leader_in_touch_further_control_vms_are_linked(model):
    """Both nearest control VMs may be in the minority of a cut that spares this VM."""
    node = next(n for n in model.of_role(ENTRY) if n.region == "west")
    for zone in ("west-a", "west-b"):
        model.nodes[f"control-{zone}"].has_log = False
    model.run(6000)
    assert len(linked_zones(node)) == 4
    for zone in ("west-a", "west-b"):
        model.nodes[f"control-{zone}"].has_log = True
    model.run(4000)
    assert linked_zones(node) == ["west-a", "west-b"]


def test_heartbeats_are_frequent_to_the_nearest_control_vm_and_changes_go_to_all(model):
    node = model.of_role(ENTRY)[0]
    near = node.client.nearest_linked()
    (far,) = node.client.established - {near}
    pushed = {near: [], far: []}
    for address, messages in pushed.items():
        node.client.channels[address].push = messages.append
    for _ in range(ROUNDS):
        model.clock.advance(client.ROUND_INTERVAL_MS)
        node.client.send_heartbeats()
    assert len(pushed[near]) == ROUNDS
    assert len(pushed[far]) == ROUNDS // 3
    assert all(message.is_primary for message in pushed[near])
    assert not any(message.is_primary for message in pushed[far])
    assert not any(message.member for message in (*pushed[near], *pushed[far]))
    record = node.describe()
    node.describe = node.client.describe = lambda: record._replace(ready=False)
    node.client.send_heartbeats()
    assert not pushed[far][-1].member.ready
    assert not pushed[near][-1].member.ready


def test_load_totals_go_over_the_primary_link_only(model):
    node = model.of_role(ENTRY)[0]
    model.set_loads(1)
    model.run(SECOND_MS)
    near = node.client.nearest_linked()
    (far,) = node.client.established - {near}
    assert len(node.fleet.loads[near]) == 8
    assert not node.fleet.loads[far]
    assert node.fleet.loads[near]["t0"].requests == 4


def test_load_totals_are_sent_whole_after_a_change_of_the_primary_link(model):
    model.set_loads(1)
    model.run(SECOND_MS)
    node = model.of_role(ENTRY)[0]
    near = node.client.nearest_linked()
    model.kill(model.nodes[near.partition(":")[0]])
    model.run(SECOND_MS)
    assert len(node.fleet.loads[node.client.nearest_linked()]) == 8


def test_load_that_ends_is_reported_once(model):
    node = model.of_role(ENTRY)[0]
    model.set_loads(1)
    model.run(SECOND_MS)
    for other in model.of_role(ENTRY):
        other.loads = ()
    model.run(2 * SECOND_MS)
    assert not node.fleet.loads[node.client.nearest_linked()]
    model.reset_counters()
    model.run(3 * SECOND_MS)
    assert node.received["Loads"] <= 2 * 3 * 2


def test_a_peer_of_another_build_is_refused(model):
    """It would expect to hear of all members, and take too much of shared budgets."""
    control = model.of_role(CONTROL)[0]
    record = model.of_role(ENTRY)[0].describe()
    opened = []
    control.server.open_session = lambda *args: opened.append(args)

    class OldChannel:
        def receive(self):
            return LinkHello(record, LINK_PROTOCOL - 1)

        def close(self):
            """Do nothing."""

    control.server.serve_link(OldChannel())
    assert not opened
