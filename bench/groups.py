"""Measures replicated logs: three voters as processes on this machine.

Run `python -m bench.groups [--network=NNN]`; it prints a table. Latencies are of
proposals from a fourth process that calls the leader.
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

ACTIONS = "actions/kigali"
RESERVATIONS = 500
TASKS = 16
IDLE_S = 20
CHANGES = (500, 5000)
START_LIMIT_S = 60


def percentiles(values):
    """Return the 50th and 95th of 100, in milliseconds."""
    ordered = sorted(values)
    return [round(ordered[len(ordered) * p // 100] * 1000, 2) for p in (50, 95)]


def reserve(client, number):
    """Reserve one action; return the seconds that took."""
    started = time.monotonic()
    command = Reserve(ActionKey("bench", f"{number}"), "d" * 64, f"attempt-{number}")
    client.propose(ACTIONS, command, Reservation).unwrap()
    return time.monotonic() - started


def reserve_many(client, first, tasks):
    """Return latencies and rate of reservations made by some tasks at a time."""
    latencies = []
    ended = task.Mailbox()

    def work(offset):
        for number in range(offset, RESERVATIONS, tasks):
            latencies.append(reserve(client, first + number))
        ended.put(offset)

    started = time.monotonic()
    for offset in range(tasks):
        task.spawn(work, offset)
    for _ in range(tasks):
        ended.get()
    rate = round(RESERVATIONS / (time.monotonic() - started))
    return [*percentiles(latencies), rate]


def change_plans(client, first, last, sheet):
    """Accept plans; return their latencies."""
    latencies = []
    for number in range(first, last + 1):
        started = time.monotonic()
        body = sheet.replace(b"2026120301", b"%d" % number)
        command = AcceptPlan(number, f"{number:064}", body)
        client.propose(GROUP, command, PlanAnswer).unwrap()
        latencies.append(time.monotonic() - started)
    return percentiles(latencies)


def group_of(cluster, settings, name):
    """Return the row of one group on a VM."""
    address = settings["listen"]["operators"]
    rows = cluster.call(address, "GET", "/v1/groups", OPERATOR_KEY).json["groups"]
    return next(row for row in rows if row["group"] == name)


def restart_s(cluster, settings, applied):
    """Kill and start a VM; return the seconds until it applied so much."""
    cluster.kill(settings["name"])
    started = time.monotonic()
    cluster.start_node(settings)
    wait_until(
        lambda: group_of(cluster, settings, GROUP)["applied"] >= applied, START_LIMIT_S
    )
    return round(time.monotonic() - started, 2)


def processor_s(cluster, name):
    """Return the processor time that a process has used."""
    with open(f"/proc/{cluster.processes[name].pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def idle(cluster, settings):
    """Return the share of a core that each idle VM uses, in percent."""
    before = {name: processor_s(cluster, name) for name in settings}
    time.sleep(IDLE_S)
    return {
        name: round((processor_s(cluster, name) - before[name]) / IDLE_S * 100, 2)
        for name in settings
    }


def start(cluster, network, with_groups):
    """Start three VMs of one region; return their settings by name."""
    deployment = INZIRA._replace(vms={"kigali": 3}, network=network)
    settings = make_settings(deployment)
    voters = {name: doc["listen"]["control"] for name, doc in settings.items()}
    for document in settings.values():
        document["groups"] = {GROUP: voters, ACTIONS: voters}
        if not with_groups:
            del document["data_folder"]
            document["groups"] = {GROUP: {"elsewhere": f"127.{network}.9.9:8084"}}
        cluster.start_node(document)
    cluster.wait_members(len(settings), OPERATOR_KEY)
    return settings


def measure(cluster, settings, client, sheet):
    """Return all results with groups."""
    results = {"idle_percent_of_a_core": idle(cluster, settings)}
    results["reserve_ms_p50_p95_rate_1_task"] = reserve_many(client, 0, 1)
    results[f"reserve_ms_p50_p95_rate_{TASKS}_tasks"] = reserve_many(
        client, RESERVATIONS, TASKS
    )
    victim = settings["kigali-3"]
    results["restart_s_0_changes"] = restart_s(cluster, victim, 0)
    before = group_of(cluster, victim, GROUP)["journal_bytes"]
    done = 0
    for changes in CHANGES:
        latency = change_plans(client, done + 1, changes, sheet)
        done = changes
        leader = settings["kigali-1"]
        applied = group_of(cluster, leader, GROUP)["applied"]
        wait_until(
            lambda least=applied: group_of(cluster, victim, GROUP)["applied"] >= least
        )
        size = group_of(cluster, victim, GROUP)["journal_bytes"]
        results[f"plan_ms_p50_p95_to_{changes}"] = latency
        results[f"journal_bytes_after_{changes}"] = size
        if changes == CHANGES[0]:
            results["journal_bytes_a_change"] = round((size - before) / changes)
        results[f"restart_s_{changes}_changes"] = restart_s(cluster, victim, applied)
    results["sheet_bytes"] = len(sheet)
    return results


def main():
    """Run all measurements, print and store them."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--network", type=int, default=60)
    network = parser.parse_args().network
    sheet = (ROOT / "examples/inzira/plan.csv").read_bytes()
    results = {}
    with tempfile.TemporaryDirectory() as folder, Cluster(folder) as cluster:
        settings = start(cluster, network, with_groups=False)
        results["idle_percent_without_groups"] = idle(cluster, settings)
    with tempfile.TemporaryDirectory() as folder, Cluster(folder) as cluster:
        settings = start(cluster, network, with_groups=True)
        groups = settings["kigali-1"]["groups"]
        control = ControlClient(LoopExecutor(), PEER_KEY)
        client = GroupClient(control, groups, Clock())
        wait_until(lambda: reserve_ready(client))
        results.update(measure(cluster, settings, client, sheet))
    for name, value in results.items():
        print(f"{name:40} {value}")
    slopes.store(groups=results)


def reserve_ready(client):
    """Return whether the group of actions has a leader."""
    command = Reserve(ActionKey("bench", "first"), "d" * 64, "first")
    return client.propose(ACTIONS, command, Reservation).is_ok()


if __name__ == "__main__":
    main()
