"""Actions under frozen VMs, broken connections and an unreachable log.

The run counts of the service tell whether an action ran as often as was reported.
"""

import json
import socket
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from scripts.examples import INZIRA, OPERATOR_KEY, make_settings
from standins.cluster import ROOT, wait_until

KEY = "key-court-kigali"
ACTION_HEADERS = {"Idempotency-Key": "f-1"}
TIMEOUT_S = 60
SIGSTOP, SIGCONT = 19, 18


class SingleRegion:
    """One region of two VMs; only the VM behind `log_listen` holds the action log.

    `log_listen` and `entry_listen` are the listen addresses of the VMs by role.
    """

    def __init__(self, cluster, network, sheet, flags=()):
        self.cluster = cluster
        deployment = INZIRA._replace(vms={"kigali": 2}, network=network)
        settings = make_settings(deployment)
        for document in settings.values():
            groups = document["groups"]
            log = {"kigali-1": groups["actions/kigali"]["kigali-1"]}
            document["groups"] = {**groups, "actions/kigali": log}
            cluster.start_node(document)
        self.log_listen, self.entry_listen = (
            settings[f"kigali-{n}"]["listen"] for n in (1, 2)
        )
        self.service_address = f"127.{network}.1.100:9000"
        self.flags = flags
        self.start_service()
        wait_until(lambda: self.apply(sheet))
        for listen in (self.log_listen, self.entry_listen):
            wait_until(lambda listen=listen: self.serves_lookup(listen))

    def start_service(self):
        entries = f"{self.log_listen['targets']},{self.entry_listen['targets']}"
        flags = ["--services=filing,lookup", *self.flags]
        self.cluster.start_standin(
            "service", "service", self.service_address, entries, *flags
        )

    def apply(self, sheet):
        operators = self.log_listen["operators"]
        answer = self.cluster.call(operators, "PUT", "/v1/plan", OPERATOR_KEY, sheet)
        return answer.status == 200

    def serves_lookup(self, listen):
        return (
            self.cluster.call(listen["callers"], "GET", "/cases/1", KEY).status == 200
        )

    def submit_filing(self, listen):
        path = "/filings"
        return self.cluster.call(
            listen["callers"], "POST", path, KEY, b"x", ACTION_HEADERS
        )

    def submit_until(self, listen, status, code=None):
        """Retry the filing until it gets this status and code; return the answer."""
        answers = []

        def is_expected():
            answers.append(self.submit_filing(listen))
            error = answers[-1].json.get("error", {})
            return (answers[-1].status, error.get("code")) == (status, code)

        wait_until(is_expected, TIMEOUT_S)
        return answers[-1]

    def set_faults(self, **faults):
        body = json.dumps(faults)
        self.cluster.call(self.service_address, "POST", "/standin/faults", "", body)

    def read_counts(self):
        return self.cluster.call(self.service_address, "GET", "/standin/counts").json

    def read_runs(self):
        return self.read_counts()["runs"]


SHEET = (ROOT / "examples/inzira/plan.csv").read_bytes()


@pytest.fixture
def region(cluster, network):
    return SingleRegion(cluster, network, SHEET)


@pytest.fixture
def pool():
    with ThreadPoolExecutor(4) as executor:
        yield executor


def test_entry_vm_frozen_while_its_action_runs(region, pool):
    region.set_faults(slow_ms=8000)
    calls = region.read_counts()["calls"]
    first = pool.submit(region.submit_filing, region.entry_listen)
    wait_until(lambda: region.read_counts()["calls"] > calls)
    region.cluster.kill("kigali-2", SIGSTOP)
    retry = region.submit_filing(region.log_listen)
    assert (retry.status, retry.json["error"]["code"]) == (409, "in_progress")
    assert retry.headers["Retry-After"] == "1"
    region.submit_until(region.log_listen, 502, "outcome_unknown")
    region.cluster.kill("kigali-2", SIGCONT)
    replayed = region.submit_until(region.log_listen, 201)
    assert replayed.headers["Pollenmount-Replayed"] == "yes"
    assert first.result(TIMEOUT_S).body == replayed.body
    assert region.read_runs() == {"f-1": 1}


def test_entry_vm_frozen_before_it_sends(region, pool):
    region.cluster.kill("kigali-1", SIGSTOP)
    first = pool.submit(region.submit_filing, region.entry_listen)
    time.sleep(1)
    region.cluster.kill("kigali-2", SIGSTOP)
    region.cluster.kill("kigali-1", SIGCONT)
    wait_until(
        lambda: region.submit_filing(region.log_listen).status in (201, 502), TIMEOUT_S
    )
    retry = region.submit_filing(region.log_listen)
    region.cluster.kill("kigali-2", SIGCONT)
    first_answer = first.result(TIMEOUT_S)
    assert region.submit_filing(region.entry_listen).status == retry.status
    if retry.status == 201:  # Frozen so early that the retry was the first run.
        assert first_answer.status in (201, 409, 503)
        assert region.read_runs() == {"f-1": 1}
    else:
        assert retry.json["error"]["code"] == "outcome_unknown"
        assert first_answer.status >= 500
        assert region.read_runs() == {}


def test_connection_to_the_target_broken_in_mid_answer(region):
    region.set_faults(cut=True)
    for listen in (region.entry_listen, region.log_listen, region.entry_listen):
        answer = region.submit_filing(listen)
        error = answer.json["error"]
        assert (answer.status, error["code"]) == (502, "outcome_unknown")
        assert error["not_run"] is False
    assert region.read_runs() == {"f-1": 1}


def test_deduplicating_target_is_retried_until_it_answers(cluster, network):
    sheet = SHEET.replace(b"once", b"deduplicated")
    region = SingleRegion(cluster, network, sheet, ["--deduplicate"])
    region.set_faults(cut=True)
    answer = region.submit_filing(region.entry_listen)
    assert answer.status == 201
    assert region.submit_filing(region.log_listen).body == answer.body
    assert region.read_runs() == {"f-1": 1}


def test_action_runs_once_the_log_is_reachable_again(region):
    region.cluster.kill("kigali-1", SIGSTOP)
    refused = region.submit_filing(region.entry_listen)
    assert (refused.status, refused.json["error"]["code"]) == (503, "no_quorum")
    assert refused.json["error"]["not_run"] is True
    assert region.read_runs() == {}
    region.cluster.kill("kigali-1", SIGCONT)
    region.submit_until(region.entry_listen, 201)
    assert region.read_runs() == {"f-1": 1}


def test_action_runs_on_after_its_caller_disconnects(region):
    region.set_faults(slow_ms=1000)
    calls = region.read_counts()["calls"]
    host, port = region.entry_listen["callers"].split(":")
    head = f"POST /filings HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {KEY}\r\n"
    with socket.create_connection((host, int(port))) as caller:
        head += "Idempotency-Key: f-1\r\nContent-Length: 1\r\n\r\nx"
        caller.sendall(head.encode())
        wait_until(lambda: region.read_counts()["calls"] > calls)
    answer = region.submit_until(region.log_listen, 201)
    assert answer.headers["Pollenmount-Replayed"] == "yes"
    assert region.read_runs() == {"f-1": 1}


def test_refused_connection_is_not_run_and_frees_the_key(region):
    region.cluster.kill("service")
    refused = region.submit_filing(region.entry_listen)
    assert refused.status >= 500
    assert refused.json["error"]["not_run"] is True
    region.start_service()
    region.submit_until(region.entry_listen, 201)
    assert region.read_runs() == {"f-1": 1}


def test_forwarded_action_runs_once_where_its_lease_is_confirmed(cluster, network):
    deployment = INZIRA._replace(vms={"kigali": 1, "huye": 1}, network=network)
    settings = make_settings(deployment)
    for document in settings.values():
        cluster.start_node(document)
    home_listen, remote_listen = (
        settings[name]["listen"] for name in ("kigali-1", "huye-1")
    )
    service_address = f"127.{network}.2.100:9000"
    flags = ["--services=filing,lookup"]
    cluster.start_standin(
        "service", "service", service_address, remote_listen["targets"], *flags
    )
    key = "key-aid-kigali"

    def call(listen, method, path):
        body = b"x" if method == "POST" else None
        return cluster.call(listen["callers"], method, path, key, body, ACTION_HEADERS)

    operators = home_listen["operators"]
    put = ("PUT", "/v1/plan", OPERATOR_KEY, SHEET)
    wait_until(lambda: cluster.call(operators, *put).status == 200)
    wait_until(lambda: call(home_listen, "GET", "/cases/1").status == 200)
    wait_until(lambda: call(home_listen, "POST", "/filings").status == 201, TIMEOUT_S)
    answers = [
        call(listen, "POST", "/filings")
        for listen in (home_listen, remote_listen, home_listen)
    ]
    assert {answer.status for answer in answers} == {201}
    assert len({answer.body for answer in answers}) == 1
    counts = cluster.call(service_address, "GET", "/standin/counts").json
    assert counts["runs"] == {"f-1": 1}
