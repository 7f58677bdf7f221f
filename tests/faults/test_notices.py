"""Notices of targets in their responses, with real VMs, plans and an evacuation."""

import json
import subprocess
import sys

from tests.faults.notices import LEAVING, LIMIT_PER_S, PAUSE_S, PAUSING
from tests.soak.fleet import ROOT

TIMEOUT_S = 60
# Requests that were under way when a target asked for a pause may still arrive.
GRACE_S = 0.5
MAX_ARRIVALS_IN_PAUSE = 2
SLOWEST_REFUSAL_S = 1
# The users' bound on what a limited target gets in this time.
LIMIT_WINDOW_S = 4
MAX_LIMITED_ARRIVALS = 1.5 * LIMIT_PER_S * LIMIT_WINDOW_S + 5


def run_scenario(folder, network):
    """Return what callers and targets saw.

    The scenario runs in a process of its own: other tests leave green threads here.
    """
    arguments = [f"--network={network}", f"--folder={folder}"]
    completed = subprocess.run(
        [sys.executable, "-m", "tests.faults.notices", *arguments],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
        timeout=TIMEOUT_S,
    )
    assert completed.returncode == 0, completed.stdout + completed.stderr
    return json.loads(completed.stdout)


# Guards against notices that hold in tables without network only. One test, since each
# run of the scenario starts eight VMs.
def test_notices_hold_with_real_vms(tmp_path, network):
    seen = run_scenario(tmp_path, network)
    check_that_a_leaving_target_gets_nothing_more(seen)
    check_that_its_running_stream_ends_as_usual(seen)
    check_that_a_pause_is_kept(seen)
    check_that_callers_are_served_elsewhere(seen)
    check_that_orders_were_accepted_meanwhile(seen)
    check_that_a_limit_is_kept(seen["limited"])


def check_that_a_leaving_target_gets_nothing_more(seen):
    """Check that its first response with the notice is its last of all VMs."""
    assert len(seen["arrivals"][LEAVING]) == 1
    first, *later = sorted(seen["answers"]["stream"], key=lambda a: a["sent_at"])
    assert first["status"] == 200
    assert {answer["vm"] for answer in later} == {f"entry-west-{n}" for n in range(3)}
    assert {answer["status"] for answer in later} == {503}
    assert max(answer["elapsed_s"] for answer in later) < SLOWEST_REFUSAL_S
    assert all(float(answer["retry_after"]) > 0 for answer in later)


def check_that_its_running_stream_ends_as_usual(seen):
    """Check that the stream with the notice carries it and is complete."""
    first = min(seen["answers"]["stream"], key=lambda a: a["sent_at"])
    assert first["leaving"] == "1"
    assert first["body"] == seen["stream"]


def check_that_a_pause_is_kept(seen):
    """Check that a VM sends what was under way only, and asks again after a pause."""
    by_vm = {}
    for vm, at in seen["arrivals"][PAUSING]:
        by_vm.setdefault(vm, []).append(at)
    assert len(by_vm) == 3
    for times in by_vm.values():
        for answered_at in times:
            begin, end = answered_at + GRACE_S, answered_at + PAUSE_S
            during = [at for at in times if begin < at < end]
            assert len(during) <= MAX_ARRIVALS_IN_PAUSE
        assert max(times) > PAUSE_S


def check_that_callers_are_served_elsewhere(seen):
    """Check that what one target turns away is served by the other one."""
    answers = seen["answers"]["read"]
    assert len(answers) > 100
    assert [answer for answer in answers if answer["status"] != 200] == []


def check_that_orders_were_accepted_meanwhile(seen):
    """Check that plans and the evacuation went on."""
    assert len(seen["orders"]) > 5
    assert set(seen["orders"]) == {200}


def check_that_a_limit_is_kept(limited):
    """Check that all VMs together keep it, and callers are served by the other one."""
    times = limited["arrivals"]
    assert times
    for start in times:
        in_window = [at for at in times if start <= at < start + LIMIT_WINDOW_S]
        assert len(in_window) <= MAX_LIMITED_ARRIVALS
    assert len(limited["statuses"]) > 100
    assert set(limited["statuses"]) == {200}
