"""Prompts of which a part ends the targets reach few of them, as real processes."""

from tests.faults.deadly_parts import MAX_LATE_TRIES, play

SECONDS = 16
FORMS = ("at_once_resumable", "in_head_stream", "first_event_resumable")
RESTARTS_S = 32
RESTART_INTERVAL_S = 6
RESTART_FORMS = ("at_once_resumable", "first_event_resumable")


def find_late(results):
    """Return the most late tries with one part of each form with more than allowed."""
    assert all(max(result.ends.values(), default=0) for result in results.values())
    late = {form: max(result.late.values()) for form, result in results.items()}
    return {form: tries for form, tries in late.items() if tries > MAX_LATE_TRIES}


# A target that ended before the head of its response was no evidence on the parts of
# the prompt, so prompts with the part were sent to one target after the other.
def test_a_part_that_ends_targets_before_the_head_reaches_few(tmp_path, network):
    assert find_late(play(tmp_path, network, SECONDS, FORMS)) == {}


# All VMs were killed at one moment, and none knew of the quarantine any more: the part
# ended more targets after each such restart.
def test_a_part_in_quarantine_reaches_few_after_restarts(tmp_path, network):
    restart_s = RESTART_INTERVAL_S
    results = play(tmp_path, network, RESTARTS_S, RESTART_FORMS, restart_s=restart_s)
    assert find_late(results) == {}
