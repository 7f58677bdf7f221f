"""All VMs lose power at one moment, and one control VM loses its disk for good."""

import contextlib
import http.client
import signal

import pytest

from tests.soak.fleet import CALL_TIMEOUT_S, PORTS, Fleet
from tests.soak.plans import HOST, REGIONS
from tests.soak.run import is_started, wait_for

START_TIMEOUT_S = 30
RECOVERY_S = 20
EVACUATED, FREED = "west-a", "east-a"
FIRST_VERSION = 2
LAST_VERSION = 6
REQUESTS = 20


@pytest.fixture
def fleet(tmp_path, network):
    with contextlib.closing(Fleet(tmp_path, network)) as fleet:
        fleet.start_all()
        assert wait_for(lambda: is_started(fleet), START_TIMEOUT_S)
        fleet.clear_first_start()
        yield fleet


def lose_all(fleet, lost):
    """Let all VMs lose power at one moment, and one control VM its disk."""
    for name in fleet.processes:
        fleet.send_signal(name, signal.SIGKILL)
    for process in fleet.processes.values():
        process.wait()
    for name in fleet.control_ips:
        lose = fleet.lose_disk if name == lost else fleet.lose_power
        lose(name)


def read_versions(fleet):
    """Return the newest plan that each control VM knows."""
    return [fleet.read_version(address) for address in fleet.operator_addresses]


def ask(fleet, vm, number):
    """Return the status of a request to an entry VM, 0 without a response."""
    address = fleet.entry_ips[vm], PORTS["callers"]
    connection = http.client.HTTPConnection(*address, timeout=CALL_TIMEOUT_S)
    with contextlib.closing(connection):
        try:
            headers = {"Host": HOST, "X-Pollenmount-Attempt-Id": f"{vm}-{number}"}
            connection.request("GET", f"/read/{number}", headers=headers)
            response = connection.getresponse()
            response.read()
        except (OSError, http.client.HTTPException):
            return 0
        return response.status


def serves_every_region(fleet):
    """Return whether each entry VM serves a request."""
    return all(ask(fleet, vm, "back") == 200 for vm in fleet.entry_ips)


def count_runs(fleet, domain):
    """Return how many requests have reached the replicas of a failure domain."""
    return sum(len(r.runs) for r in fleet.replicas if r.zone == domain)


def acknowledge(fleet):
    """Get several plans and changes of evacuations acknowledged."""
    addresses = fleet.operator_addresses
    assert fleet.set_evacuation(addresses[0], FREED, True) == 200
    for version in range(FIRST_VERSION, LAST_VERSION):
        assert fleet.put_plan(addresses[version % len(addresses)], version) == 200
    assert fleet.set_evacuation(addresses[1], EVACUATED, True) == 200
    assert fleet.set_evacuation(addresses[2], FREED, False) == 200
    assert fleet.put_plan(addresses[0], LAST_VERSION) == 200


# Guards against plans and evacuations that were acknowledged and are gone once all VMs
# lost power while a control VM lost its disk.
@pytest.mark.parametrize("region", REGIONS)
def test_what_was_acknowledged_outlasts_power_and_a_disk(fleet, region):
    acknowledge(fleet)
    lose_all(fleet, f"control-{region}")
    runs = count_runs(fleet, EVACUATED), count_runs(fleet, FREED)
    fleet.restart_exited()
    known = [LAST_VERSION] * len(REGIONS)
    has_all = wait_for(lambda: read_versions(fleet) == known, RECOVERY_S)
    assert has_all, read_versions(fleet)
    assert wait_for(lambda: serves_every_region(fleet), RECOVERY_S)
    statuses = [ask(fleet, vm, n) for vm in fleet.entry_ips for n in range(REQUESTS)]
    assert statuses.count(200) > len(statuses) * 0.9
    assert count_runs(fleet, EVACUATED) == runs[0]
    assert count_runs(fleet, FREED) > runs[1]
