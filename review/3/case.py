"""A frozen control VM runs an order to end an evacuation after it has wakened.

The operator got no answer from it, had the order acknowledged by another VM, and has
evacuated the zone again since.
"""

import contextlib
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent.parent))

from review.harness import (
    REPLICA_PORT,
    Clients,
    Fleet,
    Operator,
    Replica,
    make_config,
    run_case,
    wait_for,
)

ZONES = {"west-a": "west", "east-a": "east", "south-a": "south"}
SERVICE = "desk"
CONTACT_S = 5
EVACUATE_S = 5
OBSERVE_S = 8


def start_fleet(fleet, stack, record):
    """Start three control VMs, five entry VMs and a replica in each zone."""
    for number, zone in enumerate(ZONES, start=1):
        fleet.add(f"core-{zone}", fleet.ip(number, 9), zone, True)
        for host in (1, 2) if number < 3 else (1,):
            fleet.add(f"edge-{zone}-{host}", fleet.ip(number, host), zone, False)
    seeds = fleet.control_vms()
    for vm in fleet.vms.values():
        fleet.write_settings(vm, seeds, True)
        fleet.start(vm)
    addresses = [vm.address("operators") for vm in seeds]
    replicas = []
    for number, zone in enumerate(ZONES, start=1):
        replica = Replica(
            record,
            f"i-{zone}",
            SERVICE,
            zone,
            f"{fleet.ip(number, 101)}:{REPLICA_PORT}",
            addresses,
        )
        stack.callback(replica.close)
        replicas.append(replica)
    return replicas


def start_clients(fleet, stack, record):
    """Start clients in each region, and wait until they are served."""
    directories = [vm.address("directory") for vm in fleet.control_vms()]
    clients = []
    for zone, region in ZONES.items():
        path = f"/{SERVICE}/x"
        client = Clients(record, region, zone, directories, path, per_s=6)
        stack.callback(client.close)
        clients.append(client)
    for client in clients:
        wait_for(
            lambda client=client: [*client.answers.values()][-5:] == [200] * 5,
            20,
            f"the clients of {client.region} were not served",
        )


def case(record, trouble):
    """Return how the rule was broken, '' if it held."""
    with contextlib.ExitStack() as stack:
        fleet = stack.enter_context(Fleet(record, ZONES, tolerated_machines=1))
        replicas = start_fleet(fleet, stack, record)
        west, operator = replicas[0], Operator(record)
        frozen, *others = [vm.address("operators") for vm in fleet.control_vms()]
        frozen_vm = fleet.control_vms()[0]
        operator.order([*others, frozen], "PUT", "/-/config", make_config(1, [SERVICE]))
        start_clients(fleet, stack, record)
        time.sleep(CONTACT_S)
        path = "/-/evacuate/west-a"
        operator.order(others, "POST", path)
        time.sleep(EVACUATE_S)
        if trouble:
            fleet.signal(frozen_vm, signal.SIGSTOP)
        operator.order([frozen, *others], "DELETE", path)
        time.sleep(2)
        acknowledged_at = operator.order(others, "POST", path)
        time.sleep(1)
        if trouble:
            fleet.signal(frozen_vm, signal.SIGCONT)
        judged_from = max(time.monotonic() + CONTACT_S, acknowledged_at + EVACUATE_S)
        time.sleep(judged_from - time.monotonic())
        record("from now on, no request may reach the replica of west-a")
        time.sleep(OBSERVE_S)
        late = [a for a in west.arrivals if a.at > judged_from]
    if late:
        return (
            f"EVAC: {len(late)} requests reached the replica of the evacuated zone, "
            f"{EVACUATE_S} s and more after its evacuation was acknowledged"
        )
    return ""


if __name__ == "__main__":
    run_case(Path(__file__).parent, case)
