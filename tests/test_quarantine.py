"""Evidence on prompt parts: what counts as a crash, and how it spreads over a fleet."""

import pytest

from pollenmount.clock import ManualClock
from pollenmount.fleet.messages import ENTRY, PartsServed, PromptBroke
from pollenmount.fleet.observations import RESPONSE
from pollenmount.fleet.quarantine import (
    EVIDENCE_TTL_MS,
    MAX_KEYS,
    PART_QUARANTINE_MS,
    SAME_MOMENT_MS,
    Crash,
    Quarantine,
)
from tests.fleet_model import FleetModel


@pytest.fixture
def clock():
    return ManualClock(1000)


@pytest.fixture
def quarantine(clock):
    return Quarantine(clock, PART_QUARANTINE_MS)


def broke(target="a", prompt="p1", *parts, born=1):
    return PromptBroke(target, born, prompt, parts or ("x",))


def add(quarantine, clock, report):
    crash = Crash(report.target, report.born, report.prompt, clock.now())
    quarantine.record(crash, report.parts)


def record(quarantine, clock, *reports):
    for report in reports:
        add(quarantine, clock, report)
        clock.advance(SAME_MOMENT_MS)


def test_two_crashes_by_two_prompts_quarantine_a_part(quarantine, clock):
    record(quarantine, clock, broke("a", "p1"))
    assert quarantine.left_ms(("x",)) == 0
    record(quarantine, clock, broke("b", "p2"))
    assert quarantine.left_ms(("y", "x")) == PART_QUARANTINE_MS[2] - SAME_MOMENT_MS


@pytest.mark.parametrize(
    "second", [broke("a", "p2"), broke("b", "p1"), broke("b", "p2", "y")]
)
def test_what_proves_no_second_crash_quarantines_nothing(quarantine, clock, second):
    record(quarantine, clock, broke("a", "p1"), second)
    assert quarantine.left_ms(("x",)) == 0


def test_a_restart_of_a_target_counts_as_another(quarantine, clock):
    record(quarantine, clock, broke("a", "p1"), broke("a", "p2", born=2))
    assert quarantine.left_ms(("x",)) > 0


def test_each_further_crash_lengthens_the_quarantine(quarantine, clock):
    for number in range(7):
        record(quarantine, clock, broke(f"t{number}", f"p{number}"))
    assert quarantine.left_ms(("x",)) == PART_QUARANTINE_MS[4] - SAME_MOMENT_MS


def test_a_part_that_was_served_is_cleared(quarantine, clock):
    record(quarantine, clock, broke("a", "p1"), broke("b", "p2"))
    assert quarantine.clear(("x", "y")) == ("x",)
    assert quarantine.left_ms(("x",)) == 0


def test_evidence_expires_and_is_bounded(quarantine, clock):
    record(quarantine, clock, broke("a", "p1"))
    clock.advance(EVIDENCE_TTL_MS)
    assert not quarantine.is_suspected(("x",))
    for number in range(MAX_KEYS + 5):
        add(quarantine, clock, broke("a", "p1", f"part{number}"))
    assert len(quarantine.crashes) == MAX_KEYS


@pytest.fixture
def model():
    """Yield a started fleet of six control VMs and 12 entry VMs."""
    with FleetModel.started() as model:
        yield model


def left(model):
    """Return for how long each entry VM keeps the part in quarantine."""
    return [node.fleet.part_quarantine.left_ms(("x",)) for node in model.of_role(ENTRY)]


# Each VM sees few of the crashes, so all must hear of them, in all regions.
def test_all_vms_hear_of_crashes_and_of_what_was_served(model):
    first, second, *_ = model.of_role(ENTRY)
    first.fleet.handle(broke("a", "p1"), RESPONSE)
    model.run(500)
    second.fleet.handle(broke("b", "p2"), RESPONSE)
    model.run(500)
    assert all(left(model))
    second.fleet.handle(PartsServed(("x",)), RESPONSE)
    model.run(500)
    assert not any(left(model))


# A VM that starts while such requests come would send one to a target of its own.
def test_a_vm_that_joins_hears_of_the_quarantine(model):
    node = model.of_role(ENTRY)[0]
    for target, prompt in (("a", "p1"), ("b", "p2")):
        node.fleet.handle(broke(target, prompt), RESPONSE)
        model.run(500)
    model.add("late", ENTRY, "west-a")
    model.run(2000)
    assert all(left(model))
