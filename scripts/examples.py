"""Writes the settings and plan sheets of the two example deployments to examples/.

Their keys of callers and operators are for demonstrations only.
"""

import csv
import json
from pathlib import Path
from typing import NamedTuple

from pollenmount.plans.plan import digest_key

PORTS = {
    "callers": 8080,
    "targets": 8081,
    "operators": 8082,
    "peers": 8083,
    "control": 8084,
}
PEER_KEY = "example-peer-key-replace-me"
OPERATOR_KEY = "example-operator-key"
COLUMNS = (
    *("record", "name", "version", "adapters", "failure_domains", "methods", "paths"),
    *("regions", "repeat", "class", "fencing", "key_sha256", "home", "uses", "weighs"),
    *("rate", "concurrency", "tokens"),
)


class Deployment(NamedTuple):
    """One example deployment.

    `vms` maps regions to numbers of VMs, `network` is the second number of the IP
    addresses (127.`network`.x.y), `separator` and `rows` make up the plan sheet. Each
    region has `engines` engines with `models` loaded, and a process that runs
    `services`.
    """

    name: str
    vms: dict[str, int]
    network: int
    separator: str
    rows: tuple
    engines: int
    models: str
    services: str


def caller_row(name, home, uses, weighs, regions=""):
    """Return the sheet row of a caller whose key is `key-NAME`."""
    return {
        "record": "caller",
        "name": name,
        "key_sha256": digest_key(f"key-{name}"),
        "home": home,
        "regions": regions,
        "uses": uses,
        "weighs": weighs,
        "concurrency": 200,
    }


def model_row(name, adapters, regions, class_):
    """Return the sheet row of version v1 of a model."""
    return {
        "record": "model",
        "name": name,
        "version": "v1",
        "adapters": adapters,
        "regions": regions,
        "class": class_,
        "fencing": "yes",
    }


def service_row(name, methods, paths, regions, repeat):
    """Return the sheet row of a service."""
    return {
        "record": "service",
        "name": name,
        "methods": methods,
        "paths": paths,
        "regions": regions,
        "repeat": repeat,
    }


INZIRA_REGIONS = "kigali huye musanze"
INZIRA_USES = "drafting+* filing lookup"
INZIRA = Deployment(
    "inzira",
    {"kigali": 3, "huye": 2, "musanze": 2},
    1,
    ",",
    (
        model_row("drafting", "custody maintenance", INZIRA_REGIONS, "interactive"),
        service_row("filing", "POST", "/filings", INZIRA_REGIONS, "once"),
        service_row("lookup", "GET HEAD", "/cases", INZIRA_REGIONS, "idempotent"),
        caller_row("aid-kigali", "kigali", INZIRA_USES, "latency", "huye musanze"),
        caller_row("aid-huye", "huye", INZIRA_USES, "latency", "kigali musanze"),
        caller_row("aid-musanze", "musanze", INZIRA_USES, "latency", "kigali huye"),
        caller_row("court-kigali", "kigali", INZIRA_USES, "latency"),
    ),
    3,
    "drafting@v1+custody+maintenance",
    "filing,lookup",
)

NL_REGIONS = "nl-west nl-east nl-south"
NL_USES = "summaries contact invoice status"
REFERENTIEHUIS = Deployment(
    "referentiehuis",
    {"nl-west": 3, "nl-east": 3, "nl-south": 2},
    2,
    ";",
    (
        model_row("summaries", "", NL_REGIONS, "deferred"),
        service_row("contact", "POST", "/contacts", NL_REGIONS, "once"),
        service_row("invoice", "POST", "/invoices", NL_REGIONS, "deduplicated"),
        service_row("status", "GET", "/cases", NL_REGIONS, "idempotent"),
        caller_row("branch-west", "nl-west", NL_USES, "cost", "nl-east nl-south"),
        caller_row("branch-east", "nl-east", NL_USES, "cost", "nl-west nl-south"),
        caller_row("branch-south", "nl-south", NL_USES, "cost", "nl-west nl-east"),
        caller_row("portal-east", "nl-east", "status", "latency"),
    ),
    2,
    "summaries@v1",
    "contact,invoice,status",
)


def vm_addresses(deployment):
    """Return (region, VM name, IP address) for each VM."""
    vms = []
    for number, (region, count) in enumerate(deployment.vms.items(), start=1):
        for index in range(1, count + 1):
            ip = f"127.{deployment.network}.{number}.{index}"
            vms.append((region, f"{region}-{index}", ip))
    return vms


def make_settings(deployment):
    """Return the settings documents of the VMs, by name."""
    vms = vm_addresses(deployment)
    control = {name: f"{ip}:{PORTS['control']}" for _, name, ip in vms}
    first_vms = [f"{region}-1" for region in deployment.vms]
    groups = {"plans": {name: control[name] for name in first_vms}}
    for region, count in deployment.vms.items():
        names = [f"{region}-{index}" for index in range(1, count + 1)]
        groups[f"actions/{region}"] = {name: control[name] for name in names}
    return {
        name: {
            "name": name,
            "region": region,
            "failure_domain": f"{region}-a",
            "listen": {role: f"{ip}:{port}" for role, port in PORTS.items()},
            "data_folder": f"data/{name}",
            "seeds": [control[first_vm] for first_vm in first_vms],
            "peer_key": PEER_KEY,
            "operator_keys": {"planner": digest_key(OPERATOR_KEY)},
            "groups": groups,
        }
        for region, name, ip in vms
    }


def sheet_rows(deployment):
    """Return the rows of the plan sheet as dicts."""
    rows = [{"record": "plan", "name": 2026120301}]
    for region in deployment.vms:
        rows.append(
            {"record": "region", "name": region, "failure_domains": f"{region}-a"}
        )
    return [*rows, *deployment.rows]


def write_files(deployment, folder):
    """Write the settings files and the plan sheet of one deployment."""
    folder.mkdir(parents=True, exist_ok=True)
    for name, settings in make_settings(deployment).items():
        text = json.dumps(settings, indent=2) + "\n"
        (folder / f"{name}.json").write_text(text)
    with open(folder / "plan.csv", "w", newline="") as file:
        writer = csv.DictWriter(
            file, COLUMNS, delimiter=deployment.separator, lineterminator="\r\n"
        )
        writer.writeheader()
        writer.writerows(sheet_rows(deployment))


def main():
    """Write the files of both example deployments."""
    examples = Path(__file__).parent.parent / "examples"
    for deployment in (INZIRA, REFERENTIEHUIS):
        write_files(deployment, examples / deployment.name)


if __name__ == "__main__":
    main()
