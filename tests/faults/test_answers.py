"""Odd endings and copies of answers, and restarts, with real processes."""

import pytest

from tests.faults.answers import play

SECONDS = 3
# What the targets of each form must have done for the play to show anything.
EVENTS = {"copies": "target: ran copy", "crashes": "target: crash"}
RESTARTS_S = 6
RESTART_INTERVAL_S = 2.5


# Guards against answers that are another request's, or a part that looks whole: targets
# answer twice, or break off streams, some of them as they are killed.
@pytest.mark.parametrize("form", EVENTS)
def test_callers_get_their_own_whole_answers(tmp_path, network, form):
    counts, faults = play(tmp_path, network, SECONDS, form)
    assert faults == []
    assert any(name.startswith(EVENTS[form]) for name in counts)


# Guards against orders that are lost, and numbers that go back, as all VMs restart.
def test_orders_outlive_restarts_of_all_vms(tmp_path, network):
    restart_s = RESTART_INTERVAL_S
    counts, faults = play(tmp_path, network, RESTARTS_S, "copies", restart_s=restart_s)
    assert faults == []
    assert min(counts["orders 200"], counts["reads"], counts["states"]) > 0
