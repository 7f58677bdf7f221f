"""Orders on evacuations in the state machine of the routes, in any order of the log."""

import random

import msgspec
import pytest

from pollenmount.routes.machine import (
    AcceptRoutes,
    RoutesMachine,
    RoutesState,
    SetEvacuation,
)

DOMAIN = "west-a"
BEFORE = [SetEvacuation(DOMAIN, True), AcceptRoutes(1, b"p"), SetEvacuation("b", True)]


def machine_after(*commands):
    """Return a machine that has applied commands."""
    machine = RoutesMachine()
    for command in commands:
        machine.apply(command)
    return machine


def is_evacuated(machine):
    return DOMAIN in machine.state.evacuated


# An order that its leader committed late ended an evacuation that was newer.
def test_an_order_that_is_committed_late_stays_before_newer_ones():
    given = SetEvacuation(DOMAIN, False, 1)
    newer = SetEvacuation(DOMAIN, True, 2)
    machine = machine_after(SetEvacuation(DOMAIN, True, 0), given, newer)
    assert is_evacuated(machine)
    # Its first proposal has been committed by the next leader; it comes once more.
    assert machine.apply(given).superseded
    assert is_evacuated(machine)


# An order that was given before, and proposed late or again, undid a newer one.
@pytest.mark.parametrize("seed", range(60))
def test_the_newest_acknowledged_order_stays_in_force(seed):
    rng = random.Random(seed)
    machine, late = machine_after(*BEFORE[: rng.randrange(4)]), []
    for _ in range(20):
        count = machine.state.orders.get(DOMAIN, 0)
        order = SetEvacuation(DOMAIN, rng.random() < 0.5, count)
        late.append(order)
        if rng.random() < 0.3:
            # The order is under way while newer ones are given.
            continue
        assert not machine.apply(order).superseded
        for _ in range(rng.randrange(4)):
            machine.apply(rng.choice([old for old in late if old.base <= count]))
            assert is_evacuated(machine) == order.evacuated


def test_an_order_on_one_failure_domain_does_not_supersede_one_on_another():
    machine = machine_after(SetEvacuation("b", True, 0), SetEvacuation("b", False, 1))
    assert not machine.apply(SetEvacuation(DOMAIN, True, 0)).superseded
    assert is_evacuated(machine)


# Journals and snapshots of the build before have no counts of orders.
def test_replicas_agree_on_what_builds_without_counts_have_left():
    state = machine_after(*BEFORE).state
    old_snapshot = msgspec.msgpack.encode(tuple(state)[:5])
    restored, replayed = RoutesMachine(), RoutesMachine()
    restored.restore(old_snapshot)
    for command in BEFORE:
        body = msgspec.msgpack.encode(tuple(command)[:2])
        replayed.apply(msgspec.msgpack.decode(body, type=type(command)))
    for base, evacuated in ((0, False), (0, True), (1, True), (1, False)):
        for machine in (restored, replayed):
            machine.apply(SetEvacuation(DOMAIN, evacuated, base))
    assert restored.state == replayed.state
    assert restored.state.orders == {DOMAIN: 2}


def test_a_snapshot_keeps_the_counts():
    machine, other = machine_after(SetEvacuation(DOMAIN, True, 0)), RoutesMachine()
    other.restore(machine.snapshot())
    assert other.state == machine.state != RoutesState()
