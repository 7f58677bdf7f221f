"""Measures replicated logs with three voters, each a process on this machine.

`python -m bench.groups [--network=NNN]` prints a table and stores it. Latencies are
those of proposals that this process, a fourth one, sends to the leader.
"""

import argparse
import os
import tempfile
import time

from pollenmount import task

task.monkey_patch()

from bench import slopes  # noqa: E402
from pollenmount.actions.machine import ActionKey, Reservation, Reserve  # noqa: E402
from pollenmount.bridge.control import ControlClient  # noqa: E402
from pollenmount.bridge.loop_executor import LoopExecutor  # noqa: E402
from pollenmount.clock import Clock  # noqa: E402
from pollenmount.consensus.client import GroupClient  # noqa: E402
from pollenmount.plans.machine import GROUP, AcceptPlan, PlanAnswer  # noqa: E402
from scripts.examples import INZIRA, OPERATOR_KEY, PEER_KEY, make_settings  # noqa: E402
from standins.cluster import ROOT, Cluster, wait_until  # noqa: E402

ACTIONS_GROUP = "actions/kigali"
RESERVATION_COUNT = 500
TASK_COUNT = 16
IDLE_S = 20
PLAN_COUNTS = (500, 5000)
RESTART_TIMEOUT_S = 60


def percentiles(values):
    """Return the 50th and 95th percentile of times in seconds, in milliseconds."""
    ordered = sorted(values)
    return [round(ordered[len(ordered) * p // 100] * 1000, 2) for p in (50, 95)]


def reserve(client, number):
    """Reserve one action; return the elapsed seconds."""
    started = time.monotonic()
    command = Reserve(ActionKey("bench", f"{number}"), "d" * 64, f"attempt-{number}")
    client.propose(ACTIONS_GROUP, command, Reservation).unwrap()
    return time.monotonic() - started


def reserve_many(client, first, tasks):
    """Return latency percentiles and rate of reservations by concurrent tasks."""
    latencies = []
    finished_tasks = task.Mailbox()

    def work(offset):
        for number in range(offset, RESERVATION_COUNT, tasks):
            latencies.append(reserve(client, first + number))
        finished_tasks.put(offset)

    started = time.monotonic()
    for offset in range(tasks):
        task.spawn(work, offset)
    for _ in range(tasks):
        finished_tasks.get()
    rate = round(RESERVATION_COUNT / (time.monotonic() - started))
    return [*percentiles(latencies), rate]


def accept_plans(client, first, last, sheet):
    """Propose plans one after another; return percentiles of their latencies."""
    latencies = []
    for number in range(first, last + 1):
        started = time.monotonic()
        body = sheet.replace(b"2026120301", b"%d" % number)
        command = AcceptPlan(number, f"{number:064}", body)
        client.propose(GROUP, command, PlanAnswer).unwrap()
        latencies.append(time.monotonic() - started)
    return percentiles(latencies)


def group_status(cluster, settings, name):
    """Return the status of one group as a VM reports it."""
    address = settings["listen"]["operators"]
    rows = cluster.call(address, "GET", "/v1/groups", OPERATOR_KEY).json["groups"]
    return next(row for row in rows if row["group"] == name)


def measure_restart_s(cluster, settings, min_applied):
    """Kill and restart a VM; return the seconds until it has applied `min_applied`."""
    cluster.kill(settings["name"])
    started = time.monotonic()
    cluster.start_node(settings)
    wait_until(
        lambda: group_status(cluster, settings, GROUP)["applied"] >= min_applied,
        RESTART_TIMEOUT_S,
    )
    return round(time.monotonic() - started, 2)


def vm_cpu_s(cluster, name):
    """Return the processor time that a process has used so far, in seconds."""
    with open(f"/proc/{cluster.processes[name].pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def measure_idle_cpu_percent(cluster, settings):
    """Return the processor usage of each idle VM in percent of a core."""
    before = {name: vm_cpu_s(cluster, name) for name in settings}
    time.sleep(IDLE_S)
    return {
        name: round((vm_cpu_s(cluster, name) - before[name]) / IDLE_S * 100, 2)
        for name in settings
    }


def start_vms(cluster, network, with_groups):
    """Start three VMs of one region; return their settings by name."""
    deployment = INZIRA._replace(vms={"kigali": 3}, network=network)
    settings = make_settings(deployment)
    voters = {name: doc["listen"]["control"] for name, doc in settings.items()}
    for document in settings.values():
        document["groups"] = {GROUP: voters, ACTIONS_GROUP: voters}
        if not with_groups:
            del document["data_folder"]
            document["groups"] = {GROUP: {"elsewhere": f"127.{network}.9.9:8084"}}
        cluster.start_node(document)
    cluster.wait_members(len(settings), OPERATOR_KEY)
    return settings


def measure_groups(cluster, settings, client, sheet):
    """Return all measurements of VMs with replicated logs."""
    results = {"idle_percent_of_a_core": measure_idle_cpu_percent(cluster, settings)}
    results["reserve_ms_p50_p95_rate_1_task"] = reserve_many(client, 0, 1)
    results[f"reserve_ms_p50_p95_rate_{TASK_COUNT}_tasks"] = reserve_many(
        client, RESERVATION_COUNT, TASK_COUNT
    )
    restarted_vm = settings["kigali-3"]
    results["restart_s_0_changes"] = measure_restart_s(cluster, restarted_vm, 0)
    before = group_status(cluster, restarted_vm, GROUP)["journal_bytes"]
    accepted = 0
    for changes in PLAN_COUNTS:
        latencies_ms = accept_plans(client, accepted + 1, changes, sheet)
        accepted = changes
        leader = settings["kigali-1"]
        applied_index = group_status(cluster, leader, GROUP)["applied"]
        wait_until(
            lambda min_applied=applied_index: (
                group_status(cluster, restarted_vm, GROUP)["applied"] >= min_applied
            )
        )
        journal_bytes = group_status(cluster, restarted_vm, GROUP)["journal_bytes"]
        results[f"plan_ms_p50_p95_to_{changes}"] = latencies_ms
        results[f"journal_bytes_after_{changes}"] = journal_bytes
        if changes == PLAN_COUNTS[0]:
            results["journal_bytes_a_change"] = round(
                (journal_bytes - before) / changes
            )
        results[f"restart_s_{changes}_changes"] = measure_restart_s(
            cluster, restarted_vm, applied_index
        )
    results["sheet_bytes"] = len(sheet)
    return results


def main():
    """Run all measurements, print and store the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--network", type=int, default=60)
    network = parser.parse_args().network
    sheet = (ROOT / "examples/inzira/plan.csv").read_bytes()
    results = {}
    with tempfile.TemporaryDirectory() as folder, Cluster(folder) as cluster:
        settings = start_vms(cluster, network, with_groups=False)
        results["idle_percent_without_groups"] = measure_idle_cpu_percent(
            cluster, settings
        )
    with tempfile.TemporaryDirectory() as folder, Cluster(folder) as cluster:
        settings = start_vms(cluster, network, with_groups=True)
        groups = settings["kigali-1"]["groups"]
        control = ControlClient(LoopExecutor(), PEER_KEY)
        client = GroupClient(control, groups, Clock())
        wait_until(lambda: has_actions_leader(client))
        results.update(measure_groups(cluster, settings, client, sheet))
    for name, value in results.items():
        print(f"{name:40} {value}")
    slopes.update_stored_results(groups=results)


def has_actions_leader(client):
    """Return whether the actions group has a leader, which accepts a proposal."""
    command = Reserve(ActionKey("bench", "first"), "d" * 64, "first")
    return client.propose(ACTIONS_GROUP, command, Reservation).is_ok()


if __name__ == "__main__":
    main()
