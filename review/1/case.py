"""A control VM that lost its disk does not come back as a voter, and nobody notices.

It is the first of the seeds, and the leader of the log is none of the seeds. When two
more disks are lost later, as many as the deployment tolerates at once, the log has no
quorum any more, and all that was acknowledged is gone for good.
"""

import json
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent.parent))

from review.harness import (
    CaseError,
    Fleet,
    Operator,
    make_config,
    read_version,
    run_case,
    wait_for,
)

ZONES = {
    "west-a": "west",
    "east-a": "east",
    "south-a": "south",
    "west-b": "west",
    "east-b": "east",
    "south-b": "south",
}
TOLERATED_MACHINES = 2
VOTERS = 2 * TOLERATED_MACHINES + 1
SERVICE = "desk"
SYNC_S, CONTACT_S, RECOVERY_S = 6, 6, 15
FREEZE_S = 3
FIRST_VERSION, SECOND_VERSION = 3, 5


def log_lines(fleet, message):
    """Return the log lines of all VMs with a message, as documents."""
    lines = []
    for vm in fleet.control_vms():
        for line in fleet.log_path(vm).read_text().splitlines():
            if f'"message": "{message}"' in line:
                lines.append(json.loads(line))
    return lines


def find_leader(fleet):
    """Return the VM that has become the leader in the highest term."""
    lines = log_lines(fleet, "leader changed")
    newest = max(
        (line for line in lines if line["role"] == "leader"),
        key=lambda line: line["term"],
        default=None,
    )
    return fleet.vms[newest["vm"]] if newest else None


def find_voters(fleet):
    """Return the names of the newest voters, each with its incarnation."""
    lines = log_lines(fleet, "members changed")
    return max(lines, key=lambda line: line["index"], default={"voters": []})["voters"]


def start_core(fleet):
    """Start six control VMs, of which the first three are the seeds."""
    for number, zone in enumerate(ZONES, start=1):
        fleet.add(f"core-{zone}", fleet.ip(1, 10 + number), zone, True)
    vms = fleet.control_vms()
    for vm in vms:
        fleet.write_settings(vm, vms[:3], True)
    for vm in vms:
        fleet.start(vm)
    wait_for(
        lambda: len(find_voters(fleet)) == VOTERS, 30, f"there were not {VOTERS} voters"
    )
    for vm in vms:
        fleet.write_settings(vm, vms[:3], False)
    return vms


def move_leader(fleet, seeds):
    """Freeze the leader and another seed until the leader is none of the seeds."""
    for _ in range(10):
        leader = find_leader(fleet)
        if leader not in seeds:
            fleet.record(f"the leader is {leader.name}")
            return leader
        frozen = [leader, next(seed for seed in seeds if seed is not leader)]
        for vm in frozen:
            fleet.signal(vm, signal.SIGSTOP)
        time.sleep(FREEZE_S)
        for vm in frozen:
            fleet.signal(vm, signal.SIGCONT)
        time.sleep(1)
    raise CaseError("the leader was always one of the seeds")


def lose_disks(fleet, lost):
    """Let VMs lose their disks, and come back at once with empty ones."""
    for vm in lost:
        fleet.lose_disk(vm)
    for vm in lost:
        fleet.start(vm)


def read_back(operator, vms):
    """Return all versions that are read from any VM during the contact time."""
    versions, until = set(), time.monotonic() + CONTACT_S
    while time.monotonic() < until:
        for vm in vms:
            answer = operator.send(vm.address("operators"), "GET", "/-/config")
            versions.add(read_version(answer))
        time.sleep(1)
    return versions - {None}


def case(record, trouble):
    """Return how the rule was broken, '' if it held."""
    with Fleet(record, ZONES, TOLERATED_MACHINES) as fleet:
        vms, operator = start_core(fleet), Operator(record)
        seeds, others = vms[:3], vms[3:]
        addresses = [vm.address("operators") for vm in others]
        order = make_config(FIRST_VERSION, [SERVICE])
        operator.order(addresses, "PUT", "/-/config", order)
        leader = move_leader(fleet, seeds)
        time.sleep(CONTACT_S + SYNC_S)
        if trouble:
            lose_disks(fleet, seeds[:1])
        time.sleep(3 * SYNC_S)
        record(f"voters: {find_voters(fleet)}, leader: {find_leader(fleet).name}")
        order = make_config(SECOND_VERSION, [SERVICE])
        operator.order([leader.address("operators")], "PUT", "/-/config", order)
        if trouble:
            voters = [name.partition("/")[0] for name in find_voters(fleet)]
            lose_disks(fleet, [vm for vm in vms[1:] if vm.ip in voters][:2])
        time.sleep(RECOVERY_S)
        versions = read_back(operator, vms)
        record(f"versions read back: {versions}")
    if not versions:
        return (
            f"CONFIG: version {SECOND_VERSION} was acknowledged, and no VM returned a "
            f"configuration from {RECOVERY_S} to {RECOVERY_S + CONTACT_S} s after all "
            "VMs were back"
        )
    if min(versions) < SECOND_VERSION:
        return f"CONFIG: version {min(versions)} was read after {SECOND_VERSION}"
    return ""


if __name__ == "__main__":
    run_case(Path(__file__).parent, case)
