"""Turns of several VMs to try what was in quarantine."""

import pytest

from pollenmount.clock import ManualClock
from pollenmount.crashes.quarantine import Crash, PartQuarantine
from pollenmount.crashes.trial_turns import (
    MAX_SPREAD_MS,
    MAX_TRIAL_MS,
    TRIAL_MS,
    TrialTurns,
)

# Until all VMs know that a trial has crashed its target: a look at the target, and a
# round trip to the control VMs of other regions.
NEWS_MS = 300
# Until all VMs know that a trial has begun, over control VMs of two regions.
LINK_MS = 120
# A target that ends a second after it began to run a request.
LATE_NEWS_MS = 1500
STEP_MS = 20
# The users' bound on tries after the fifth crash.
MAX_TRIES = 3
KEYS = [f"part-{number}" for number in range(60)]


def make_quarantine(clock, key):
    """Return a quarantine that begins now, and when it ends."""
    quarantine = PartQuarantine(clock)
    for number in range(2):
        crash = Crash(f"t{number}", 1, f"own-{number}", clock.now() - 1000 * number)
        quarantine.record(crash, (key,))
    return quarantine, quarantine.ends_at(key)


def make_turns(quarantine, clock, count):
    """Return the turns of some VMs."""
    names = [f"edge-{number}" for number in range(count)]
    return [TrialTurns(quarantine, clock, name, lambda: count) for name in names]


def count_tries(key, vms, news_ms=NEWS_MS):
    """Return how many tries begin before the first one is known to have crashed."""
    clock = ManualClock(1_000_000)
    quarantine, ends_at = make_quarantine(clock, key)
    turns = make_turns(quarantine, clock, vms)
    clock.advance(ends_at - clock.now())
    tries, known_at, told = 0, None, []
    while known_at is None or clock.now() < known_at:
        for number, turn in enumerate(turns):
            # Each VM has several callers that come again and again.
            for call in range(3):
                id_ = f"{number}-{call}-{clock.now()}"
                if not turn.left_ms((key,), id_):
                    turn.start((key,), id_)
                    tries += 1
                    known_at = known_at or clock.now() + news_ms
                    told.append((clock.now() + LINK_MS, id_))
        for at, id_ in told:
            if at == clock.now():
                for turn in turns:
                    turn.hold((key,), id_)
        clock.advance(STEP_MS)
    return tries


# At the end of a quarantine, all VMs sent what they had, and each a target crashed.
@pytest.mark.parametrize("vms", [3, 8, 30])
def test_few_vms_try_a_key_at_the_end_of_a_quarantine(vms):
    assert max(count_tries(key, vms) for key in KEYS) <= MAX_TRIES


# A target that ends late leaves time for the turns of other VMs.
@pytest.mark.parametrize("vms", [3, 6, 9, 30])
def test_few_vms_try_a_key_that_crashes_its_target_late(vms):
    tries = [count_tries(key, vms, LATE_NEWS_MS) for key in KEYS]
    assert max(tries) <= MAX_TRIES


# A key that was mended must not stay shut out, whichever VM its callers ask.
@pytest.mark.parametrize("vms", [1, 8, 330])
def test_each_vm_may_try_a_key_in_the_end(vms):
    clock = ManualClock(1_000_000)
    quarantine, ends_at = make_quarantine(clock, "part")
    latest = ends_at + min(MAX_SPREAD_MS, TRIAL_MS * vms) - clock.now()
    turns = make_turns(quarantine, clock, vms)
    told = [turn.left_ms(("part",), "first") for turn in turns]
    assert max(told) <= latest
    clock.advance(max(told))
    assert not any(turn.left_ms(("part",), "second") for turn in turns)


def test_one_attempt_of_a_vm_tries_a_key_and_others_wait_for_its_end():
    clock = ManualClock(1_000_000)
    quarantine, ends_at = make_quarantine(clock, "part")
    (turns,) = make_turns(quarantine, clock, 1)
    clock.advance(ends_at - clock.now())
    turns.start(("part", "other"), "first")
    assert turns.left_ms(("part",), "second") == MAX_TRIAL_MS
    assert turns.left_ms(("part",), "first") == 0
    clock.advance(5000)
    turns.end(("part", "other"), "first", was_sent=True)
    assert turns.left_ms(("part",), "second") == TRIAL_MS
    clock.advance(TRIAL_MS)
    assert turns.left_ms(("part",), "second") == 0


def test_an_attempt_that_was_not_sent_keeps_no_other_waiting():
    clock = ManualClock(1_000_000)
    quarantine, ends_at = make_quarantine(clock, "part")
    (turns,) = make_turns(quarantine, clock, 1)
    clock.advance(ends_at - clock.now())
    turns.start(("part",), "first")
    turns.end(("part",), "first", was_sent=False)
    assert turns.left_ms(("part",), "second") == 0


def test_keys_that_never_were_in_quarantine_wait_for_nothing():
    clock = ManualClock(1_000_000)
    quarantine, _ = make_quarantine(clock, "part")
    (turns,) = make_turns(quarantine, clock, 1)
    assert turns.left_ms(("other",), "first") == 0
    assert turns.left_ms((), "first") == 0
