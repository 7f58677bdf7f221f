"""A control VM that lost its disk founds a second group beside the first one.

Two control VMs lose their disks at once, as many as the deployment tolerates. The seeds
in the settings have changed meanwhile: they name these two VMs and one that was never
needed as a voter.
"""

import json
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
SYNC_S = 6
CONFIG_APPLY_S = 4
FIRST_VERSION, SECOND_VERSION, THIRD_VERSION = 3, 5, 8


def find_voters(fleet, vm):
    """Return the names of the members that vote, as a VM has logged them last."""
    voters = []
    for line in fleet.log_path(vm).read_text().splitlines():
        if '"members changed"' in line:
            fields = json.loads(line)
            if not fields["outgoing"]:
                voters = [name.partition("/")[0] for name in fields["voters"]]
    return voters


def start_core(fleet):
    """Start six control VMs, three of them as seeds; return the one without a vote."""
    for number, zone in enumerate(ZONES, start=1):
        fleet.add(f"core-{zone}", fleet.ip(1, 10 + number), zone, True)
    vms = fleet.control_vms()
    for vm in vms:
        fleet.write_settings(vm, vms[:3], True)
    for vm in vms:
        fleet.start(vm)
    wait_for(
        lambda: (
            fleet.log_path(vms[0]).exists()
            and len(find_voters(fleet, vms[0])) == VOTERS
        ),
        30,
        f"the log did not have {VOTERS} voters",
    )
    voters = find_voters(fleet, vms[0])
    spares = [vm for vm in vms if vm.ip not in voters]
    if len(spares) != 1:
        raise CaseError(f"expected one VM without a vote, not {len(spares)}")
    return spares[0]


def lose_two_disks(fleet, lost, spare):
    """Let two VMs lose their disks, and come back with the new seeds."""
    for vm in lost:
        fleet.lose_disk(vm)
    seeds = [*lost, spare]
    for vm in fleet.control_vms():
        fleet.write_settings(vm, seeds, False)
    fleet.record(f"the settings name the seeds {[vm.name for vm in seeds]}")
    for vm in lost:
        fleet.start(vm)


def case(record, trouble):
    """Return how the rule was broken, '' if it held."""
    with Fleet(record, ZONES, TOLERATED_MACHINES) as fleet:
        spare = start_core(fleet)
        vms, operator = fleet.control_vms(), Operator(record)
        record(f"{spare.name} has no vote")
        addresses = [vm.address("operators") for vm in vms]
        operator.order(
            addresses[2:], "PUT", "/-/config", make_config(FIRST_VERSION, [SERVICE])
        )
        time.sleep(SYNC_S)
        operator.order(
            addresses[2:], "PUT", "/-/config", make_config(SECOND_VERSION, [SERVICE])
        )
        if trouble:
            lose_two_disks(fleet, vms[:2], spare)
        time.sleep(2 * SYNC_S)
        operator.order(
            addresses, "PUT", "/-/config", make_config(THIRD_VERSION, [SERVICE])
        )
        time.sleep(CONFIG_APPLY_S + 1)
        versions = {
            vm.name: read_version(operator.send(address, "GET", "/-/config"))
            for vm, address in zip(vms, addresses, strict=True)
        }
        record(f"versions read back: {versions}")
    stale = [
        name for name, version in versions.items() if (version or 99) < THIRD_VERSION
    ]
    if stale:
        return (
            f"CONFIG: {CONFIG_APPLY_S} s after version {THIRD_VERSION} was "
            f"acknowledged, {', '.join(stale)} answered version {SECOND_VERSION}"
        )
    if not any(versions.values()):
        return "CONFIG: no VM answers a read of the configuration"
    return ""


if __name__ == "__main__":
    run_case(Path(__file__).parent, case)
