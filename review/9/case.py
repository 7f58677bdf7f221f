"""A disk is lost once the successor of a lost machine has had its time."""

import json
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness2 import Deployment, Operator, call, config, route, run_case  # noqa: E402

VERSION = 7
GONE, SUCCESSOR, LOST = "control-kigali-a", "control-kigali-a2", "control-huye-a"
SUCCESSOR_HOST = 12
SYNC_S, CONTACT_S, RECOVERY_S = 4.0, 5, 12
READ_FOR_S = 6
# Each with a deployment of its own; they take 95 s together.
ATTEMPTS = 4
LAST_START_S = 80
ENTRIES = {"kigali": 1}
ROUTES = [route("case-lookup", "/lookup/", "idempotent", "form-desk", 1500)]


def case(deployment, record, has_trouble):
    """Return whether the acknowledged configuration can be read back each time."""
    outcomes = [attempt(deployment, record, has_trouble)]
    while (
        outcomes[-1] and len(outcomes) < ATTEMPTS and record.elapsed_s() < LAST_START_S
    ):
        further = Deployment(record, ENTRIES)
        try:
            outcomes.append(attempt(further, record, has_trouble))
        finally:
            further.close()
    record.write(f"read back: {outcomes}")
    return outcomes[-1]


def attempt(deployment, record, has_trouble):
    """Return whether the acknowledged configuration can be read back."""
    record.write("a deployment starts")
    deployment.start_vms()
    if not deployment.wait_for_core():
        return None
    operator = Operator(record)
    document = config(VERSION, ROUTES, ["form-desk"])
    addresses = deployment.control_addresses()
    if not operator.order("PUT", "/-/config", addresses, document, 30):
        return None
    record.write(f"version {VERSION} was acknowledged")
    time.sleep(CONTACT_S)
    replace(deployment, record)
    if has_trouble:
        deployment.signal(LOST, signal.SIGKILL)
        deployment.wait(LOST)
        deployment.lose_disk(LOST)
        deployment.start_vm(LOST)
    record.write(f"all machines are back; {RECOVERY_S} s to recover")
    time.sleep(RECOVERY_S)
    return read_back(deployment.control_addresses(), record)


def replace(deployment, record):
    """Lose a machine for good; a successor starts at once, at another address."""
    deployment.signal(GONE, signal.SIGKILL)
    deployment.wait(GONE)
    deployment.replace_control(GONE, SUCCESSOR, SUCCESSOR_HOST)
    deployment.start_vm(SUCCESSOR)
    time.sleep(SYNC_S)
    record.write(f"{SUCCESSOR} has been up for {SYNC_S} s")


def read_back(addresses, record):
    """Read the configuration at all control VMs in turn; return whether it comes."""
    deadline = time.monotonic() + READ_FOR_S
    while time.monotonic() < deadline:
        for address in addresses:
            status, body = call(address, "GET", "/-/config")
            record.write(f"GET /-/config at {address}: {status}")
            if status == 200:
                return json.loads(body)["version"] == VERSION
            time.sleep(0.2)
    return False


if __name__ == "__main__":
    sys.exit(run_case(case, FOLDER, ENTRIES))
