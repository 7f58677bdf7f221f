"""Acceptance of plans by number and digest; the number never decreases."""

import pytest

from pollenmount.plans.machine import AcceptPlan, PlanMachine

COMMANDS = [
    ((5, "a"), "accepted", 5),
    ((5, "a"), "repeated", 5),
    ((5, "b"), "conflict", 5),
    ((4, "a"), "stale", 5),
    ((6, "c"), "accepted", 6),
    ((5, "a"), "replaced", 6),
    ((5, "b"), "conflict", 6),
]


def test_acceptance_of_commands_in_order():
    machine = PlanMachine()
    for (number, digest), acceptance, newest in COMMANDS:
        answer = machine.apply(AcceptPlan(number, digest, b""))
        assert (answer.acceptance, answer.number) == (acceptance, newest)


@pytest.mark.parametrize("digest", ["a", "b"])
def test_first_of_equal_numbers_wins(digest):
    machine = PlanMachine()
    machine.apply(AcceptPlan(1, digest, b""))
    machine.apply(AcceptPlan(1, "other", b""))
    assert machine.current.digest == digest


def test_snapshot_keeps_history():
    machine = PlanMachine()
    for number in (3, 7):
        machine.apply(AcceptPlan(number, f"digest-{number}", b"sheet"))
    restored = PlanMachine()
    restored.restore(machine.snapshot())
    assert restored.current == machine.current
    answer = restored.apply(AcceptPlan(3, "digest-3", b""))
    assert answer == ("replaced", 7, "digest-7")
