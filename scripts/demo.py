"""Demonstration: seven nodes, twelve stand-in targets, requests in each region."""

import argparse
import json
import sys
import tempfile
import time
from typing import NamedTuple

from pollenmount.plans.sheet import parse_sheet
from scripts.examples import INZIRA, OPERATOR_KEY, PORTS, make_settings, vm_addresses
from standins.cluster import ROOT, Cluster, chat_body, wait_until

ROW = "{:9} {:22} {:>6} {:9} {:>8}  {}"


class Step(NamedTuple):
    """One request of the demonstration and the expected HTTP status."""

    title: str
    method: str
    path: str
    body: bytes | None
    headers: dict
    expected: int


STEPS = (
    Step(
        "chat",
        "POST",
        "/v1/chat/completions",
        chat_body("drafting", "Which form opens a custody petition?"),
        {},
        200,
    ),
    Step(
        "chat, streamed",
        "POST",
        "/v1/chat/completions",
        chat_body("drafting+custody", "Draft a custody petition.", stream=True),
        {},
        200,
    ),
    Step("lookup", "GET", "/cases/17", None, {}, 200),
    Step("filing", "POST", "/filings", b"petition", {"Idempotency-Key": "f-1"}, 201),
    Step(
        "filing, repeated",
        "POST",
        "/filings",
        b"petition",
        {"Idempotency-Key": "f-1"},
        201,
    ),
    Step(
        "unknown model",
        "POST",
        "/v1/chat/completions",
        chat_body("other", "x"),
        {},
        404,
    ),
)


def start_deployment(cluster, deployment):
    """Start the nodes and stand-ins of a deployment; return the settings by VM."""
    settings = make_settings(deployment)
    for document in settings.values():
        cluster.start_node(document)
    for region_number, region in enumerate(deployment.vms, start=1):
        entries = ",".join(
            document["listen"]["targets"]
            for document in settings.values()
            if document["region"] == region
        )
        start_targets(cluster, deployment, region_number, region, entries)
    return settings


def start_targets(cluster, deployment, region_number, region, entries):
    """Start the stand-ins of one region."""
    for index in range(1, deployment.engines + 1):
        cluster.start_standin(
            "engine",
            f"{region}-engine-{index}",
            target_address(deployment, region_number, index),
            entries,
            f"--models={deployment.models}",
        )
    cluster.start_standin(
        "service",
        f"{region}-service",
        target_address(deployment, region_number),
        entries,
        f"--services={deployment.services}",
    )


def target_address(deployment, region_number, index=0):
    """Return the address of an engine of a region; index 0 is the service."""
    return f"127.{deployment.network}.{region_number}.{100 + index}:9000"


def apply_plan(cluster, operators, deployment=INZIRA):
    """Apply the example sheet, retrying until its log has a leader.

    Returns when the plan is in force on all VMs.
    """
    sheet = (ROOT / "examples" / deployment.name / "plan.csv").read_bytes()

    plan_number = parse_sheet(sheet).number

    def accepted():
        answer = cluster.call(operators, "PUT", "/v1/plan", OPERATOR_KEY, sheet)
        return answer.status == 200

    def in_force():
        status = cluster.call(operators, "GET", "/v1/plan/status", OPERATOR_KEY).json
        vms = [name for row in status["regions"] for name in row["in_force"]]
        return status["number"] == plan_number and len(vms) == sum(
            deployment.vms.values()
        )

    wait_until(accepted)
    wait_until(in_force)


def wait_targets(cluster, settings, deployment):
    """Wait until every node knows all targets of its failure domain."""

    def known():
        target_counts = []
        for document in settings.values():
            address = document["listen"]["operators"]
            status = cluster.call(address, "GET", "/v1/status", OPERATOR_KEY).json
            target_counts.append(len(status["targets"]))
        return min(target_counts) == deployment.engines + 1

    wait_until(known)


def run_step(cluster, region, address, step):
    """Run one step and print its row; return whether it succeeded."""
    key = f"key-aid-{region}"
    started = time.monotonic()
    headers = dict(step.headers)
    answer = cluster.call(address, step.method, step.path, key, step.body, headers)
    elapsed_ms = (time.monotonic() - started) * 1000
    ran_in = answer.headers.get("Pollenmount-Region", "") or "-"
    excerpt = answer.body[:48].decode().replace("\n", " ")
    print(
        ROW.format(
            region, step.title, answer.status, ran_in, f"{elapsed_ms:.0f} ms", excerpt
        )
    )
    is_complete = (
        b"[DONE]" in answer.body if b'"stream": true' in (step.body or b"") else True
    )
    return answer.status == step.expected and is_complete


def count_filings(cluster, deployment):
    """Return the number of runs of each filing key, over all regions."""
    run_counts = []
    for region_number in range(1, len(deployment.vms) + 1):
        address = target_address(deployment, region_number)
        counts = cluster.call(address, "GET", "/standin/counts").json
        run_counts.extend(counts["runs"].values())
    return run_counts


def main():
    """Run the demonstration; return 0 if all requests gave the expected results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--network", type=int, default=INZIRA.network)
    deployment = INZIRA._replace(network=parser.parse_args().network)
    with tempfile.TemporaryDirectory() as folder, Cluster(folder) as cluster:
        settings = start_deployment(cluster, deployment)
        operators = next(iter(settings.values()))["listen"]["operators"]
        cluster.wait_members(len(settings), OPERATOR_KEY)
        apply_plan(cluster, operators)
        wait_targets(cluster, settings, deployment)
        print(ROW.format("region", "request", "status", "ran in", "took", "answer"))
        results = []
        for region, name, ip in vm_addresses(deployment):
            if name == f"{region}-1":
                callers = f"{ip}:{PORTS['callers']}"
                results += [run_step(cluster, region, callers, step) for step in STEPS]
        run_counts = count_filings(cluster, deployment)
        print(f"filings run, by key: {json.dumps(run_counts)}")
        if not all(results) or run_counts != [1] * len(deployment.vms):
            print("not as expected", file=sys.stderr)
            return 1
    print("all as expected")
    return 0


if __name__ == "__main__":
    sys.exit(main())
