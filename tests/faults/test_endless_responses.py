"""Targets that answer without end don't disturb the other callers of an entry VM."""

import contextlib
import http.client
import json
import subprocess
import sys
import threading
from concurrent.futures import ThreadPoolExecutor

import pytest

from standins.cluster import wait_until
from tests.faults.flood import FLOODS
from tests.soak.callers import Caller, find_violations
from tests.soak.fleet import PORTS, ROOT, Fleet, call
from tests.soak.replica import EVENT_COUNT, Replica, expected_event

ENTRY = "entry-west-0"
FLOOD_HOST, SOUND_HOST = 103, 104
FLOOD_TIMEOUT_MS = 3000
# They must reach a limit of bytes before their deadline, also on a busy machine.
LIMITED_FLOOD_TIMEOUT_MS = 30_000
STREAM_TIMEOUT_MS = 4000
PLAIN_FLOODS = ("after", "foreign", "not_run")
# They end with the first bytes that are too many; the others may last longer.
ENDED_AT_ONCE = ("header", "event", "interim", "blanks", "foreign", "not_run")
# Bodies without length, which together kept a VM from reading anything else.
UNTIL_CLOSE_COUNT = 12
READER_COUNT = 3
LATE_COUNT = 3
PING_COUNT = 24
MAX_ROUNDS = 40
CLIENT_TIMEOUT_S = 33
BAD_GATEWAY = 502
PING_RESULT = (200, b"done")
POLL_INTERVAL_S = 0.05
# What the users' machines give to an entry VM.
MAX_MEMORY_KB = 300 << 10


def plan_document():
    """Return a plan with a route to sound targets and one to each flooding target."""
    routes = {"stream": ("streaming", "model", STREAM_TIMEOUT_MS)}
    for kind in FLOODS:
        retry_mode = "idempotent" if kind in PLAIN_FLOODS else "streaming"
        is_limited = kind in ENDED_AT_ONCE
        timeout_ms = LIMITED_FLOOD_TIMEOUT_MS if is_limited else FLOOD_TIMEOUT_MS
        routes[kind] = (retry_mode, kind, timeout_ms)
    documents = [
        {
            **{"name": name, "host": "soak.example", "path_prefix": path_of(name)},
            **{"kind": kind, "backend": service, "timeout_ms": timeout_ms},
            **{"attempts": 1 + (name == "late"), "resumable": name == "late"},
        }
        for name, (kind, service, timeout_ms) in routes.items()
    ]
    services = [{"name": name} for name in ("model", *FLOODS)]
    return json.dumps({"version": 1, "routes": documents, "services": services})


def path_of(name):
    """Return the start of the path of a route."""
    # Replicas send streams below this path only.
    return "/stream/late/" if name == "late" else f"/{name}/"


class Deployment:
    """Three control VMs, one entry VM, sound targets and flooding ones.

    The service `late` has a target of each kind.
    """

    def __init__(self, fleet):
        self.fleet = fleet
        self.ip = fleet.entry_ips[ENTRY]
        self.operators = fleet.operator_addresses[0]
        for name in (*fleet.control_ips, ENTRY):
            fleet.write_settings(name, True)
            fleet.start(name)
        # The fleet ends this process with its others.
        fleet.processes["flood"] = subprocess.Popen(
            [
                *(sys.executable, "-m", "tests.faults.flood"),
                *(f"{fleet.ip(1, FLOOD_HOST)}:9000", "west-a"),
                *fleet.operator_addresses,
            ],
            cwd=ROOT,
        )
        sound_ip = fleet.ip(1, SOUND_HOST)
        addresses = fleet.operator_addresses
        fleet.close_on_exit(Replica("sound", "late", "west-a", sound_ip, addresses))
        wait_until(lambda: self.put_plan() == 200)
        wait_until(lambda: self.check_readiness() == 200)
        wait_until(lambda: self.read_stream("first").status == 200)
        for kind in FLOODS:
            wait_until(lambda name=kind: self.read_flood(name, "ping") == PING_RESULT)
        wait_until(lambda: self.read_flood("late", "ping") != PING_RESULT)

    def put_plan(self):
        """Put the plan; return the status."""
        return call(self.operators, "PUT", "/-/config", plan_document())[0]

    def check_readiness(self):
        """Return the status of a readiness check of the entry VM."""
        return call(f"{self.ip}:{PORTS['readiness']}", "GET", "/-/readyz")[0]

    def connect(self):
        """Return a new connection of a caller to the entry VM."""
        return http.client.HTTPConnection(
            self.ip, PORTS["callers"], timeout=CLIENT_TIMEOUT_S
        )

    def read_stream(self, request_id):
        """Return the `Observation` of one stream from a sound target."""
        caller = Caller(self.fleet, request_id, 1, threading.Event())
        caller.connection = self.connect()
        try:
            return caller.send_request(request_id, "stream")
        finally:
            caller.disconnect()

    def read_flood(self, kind, action, number=0):
        """Return (status, body) of one call to a flooding target, 0 without a head."""
        headers = {
            "Host": "soak.example",
            "X-Pollenmount-Attempt-Id": f"{kind}-{action}-{number}",
        }
        status, body = 0, bytearray()
        with (
            contextlib.closing(self.connect()) as connection,
            contextlib.suppress(OSError, http.client.HTTPException),
        ):
            connection.request("POST", f"{path_of(kind)}{action}", headers=headers)
            response = connection.getresponse()
            status = response.status
            while block := response.read1():
                body += block
        return status, bytes(body)

    def memory_kb(self):
        """Return the greatest memory that the entry VM has used."""
        pid = self.fleet.processes[ENTRY].pid
        with open(f"/proc/{pid}/status", encoding="ascii") as lines:
            return next(int(x.split()[1]) for x in lines if x.startswith("VmHWM:"))


@pytest.fixture
def deployment(tmp_path, network):
    """Return a started `Deployment`; all its processes are killed afterwards."""
    with contextlib.closing(Fleet(tmp_path, network)) as fleet:
        yield Deployment(fleet)


def read_streams(deployment, number, stopping):
    """Read one stream after another; return their observations."""
    observations = []
    while not stopping.is_set():
        request_id = f"reader-{number}-{len(observations)}"
        observations.append(deployment.read_stream(request_id))
    return observations


def check_readiness(deployment, stopping):
    """Return the statuses of readiness checks, 0 for one that took too long."""
    statuses = []
    while not stopping.wait(POLL_INTERVAL_S):
        statuses.append(deployment.check_readiness())
    return statuses


# Guards against a VM that stands still for one peer, so that the streams of all its
# other callers are closed at their deadline, or that uses up its memory.
def test_endless_responses_leave_other_callers_alone(deployment):
    stopping = threading.Event()
    kinds = [kind for kind in FLOODS if kind != "late"]
    kinds += ["until_close"] * UNTIL_CLOSE_COUNT
    with ThreadPoolExecutor(READER_COUNT + 1 + len(kinds)) as pool:
        readers = [
            pool.submit(read_streams, deployment, number, stopping)
            for number in range(READER_COUNT)
        ]
        readiness = pool.submit(check_readiness, deployment, stopping)
        floods = [
            pool.submit(deployment.read_flood, kind, "flood", number)
            for number, kind in enumerate(kinds)
        ]
        results = [flood.result() for flood in floods]
        stopping.set()
        observations = [o for reader in readers for o in reader.result()]
    assert [o for o in observations if o.status != 200 or not o.complete] == []
    runs = {o.request_id: 1 for o in observations}
    assert [v for o in observations for v in find_violations(o, runs)] == []
    assert set(readiness.result()) == {200}
    assert deployment.memory_kb() < MAX_MEMORY_KB
    # Further bodies without length may meet an open circuit breaker.
    first_results = {
        kind: results[kinds.index(kind)] for kind in ("after", *ENDED_AT_ONCE)
    }
    assert first_results.pop("after") == PING_RESULT
    assert {status for status, _ in first_results.values()} == {BAD_GATEWAY}


def read_late_streams(deployment, action, count):
    """Read streams of the service `late` at the same time; return their results."""
    with ThreadPoolExecutor(count) as pool:
        streams = [
            pool.submit(deployment.read_flood, "late", action, number)
            for number in range(count)
        ]
        return [stream.result() for stream in streams]


def has_flooded(deployment):
    """Return whether the entry VM has logged an endless event of a stream."""
    log = (deployment.fleet.folder / f"{ENTRY}.log").read_text()
    return "event of the stream too long" in log


# Guards against a resumable stream that is closed at its deadline, since the VM waits
# for the end of an event in bytes that are none.
def test_a_stream_that_turns_into_endless_bytes_is_resumed_elsewhere(deployment):
    # The retry budget of a VM that has just started is a share of these requests.
    read_late_streams(deployment, "ping", PING_COUNT)
    for _ in range(MAX_ROUNDS):
        for number, result in enumerate(
            read_late_streams(deployment, "flood", LATE_COUNT)
        ):
            request_id = f"late-flood-{number}"
            events = [expected_event(request_id, n + 1) for n in range(EVENT_COUNT)]
            assert result == (200, b"".join(events))
        if has_flooded(deployment):
            return
    pytest.fail("the flooding target got no stream")
