"""Planned stops of VMs: running requests are completed."""

import json
import signal
import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import pytest
import urllib3

from standins.cluster import wait_until
from tests.faults.product import CHAT, SmallDeployment, chat_body

KEY = "key-aid-kigali"
STREAM_END = b"data: [DONE]\n\n"
SLOW_ENGINE_FLAGS = ("--token-ms=20",)
WORD_COUNT = 120


def request_stream(deployment, name, word_count=WORD_COUNT, text="long"):
    body = chat_body("drafting", text, True, word_count)
    return deployment.cluster.call(
        deployment.listen_address(name), "POST", CHAT, KEY, body
    )


def count_running(deployment):
    return deployment.read_counts("engine")["running"]


@pytest.fixture
def busy_deployment(cluster, network):
    """Return (deployment, streams) of two streams, sent to kigali-1 and huye-1.

    huye has no engine left, so huye-1 forwards its stream to kigali-1.
    """
    deployment = SmallDeployment(
        cluster,
        network,
        {"kigali": 1, "huye": 1},
        SLOW_ENGINE_FLAGS,
        stop_delay_ms=700,
        heartbeat_ms=200,
    )
    cluster.call(
        deployment.target_address(2, "engine"), "POST", "/standin/leave", "", b""
    )
    wait_until(
        lambda: (
            request_stream(deployment, "huye-1", 1).headers.get("Pollenmount-Region")
            == "kigali"
        )
    )
    with ThreadPoolExecutor(2) as pool:
        lengths = {"kigali-1": WORD_COUNT // 2, "huye-1": WORD_COUNT}
        streams = [
            pool.submit(request_stream, deployment, *item) for item in lengths.items()
        ]
        wait_until(lambda: count_running(deployment) == 2)
        yield deployment, streams


def test_stopping_vm_completes_streams_and_refuses_new_requests(busy_deployment):
    deployment, streams = busy_deployment
    process = deployment.cluster.processes["kigali-1"]
    process.send_signal(signal.SIGHUP)
    process.send_signal(signal.SIGTERM)
    wait_until(lambda: entry_names(deployment, "huye-1") == ["huye-1"])
    accepted = request_stream(deployment, "kigali-1", 1)
    assert accepted.status == 200
    assert accepted.headers["Connection"] == "close"

    def is_refused():
        answer = request_stream(deployment, "kigali-1", 1)
        return answer.status == 503 and answer.json["error"]["code"] == "stopping"

    wait_until(is_refused)
    answers = [stream.result() for stream in streams]
    assert [answer.status for answer in answers] == [200, 200]
    assert all(answer.body.endswith(STREAM_END) for answer in answers)
    assert process.wait(20) == 0


def test_second_signal_aborts_streams_with_an_error(busy_deployment):
    deployment, streams = busy_deployment
    process = deployment.cluster.processes["kigali-1"]
    process.send_signal(signal.SIGTERM)
    wait_until(lambda: "stopping" in read_log(deployment, "kigali-1"))
    process.send_signal(signal.SIGTERM)
    assert process.wait(20) == 1
    for stream in streams:
        error = stream.exception()
        assert error or b"event: error" in stream.result().body


# Guards against a stop that runs requests of which the last bytes came long after it
# began, and against one that ends requests without a response.
def test_a_stopping_vm_runs_no_late_request_and_answers_what_it_cannot_finish(
    cluster, network
):
    deployment = SmallDeployment(
        *(cluster, network, {"kigali": 1}, SLOW_ENGINE_FLAGS),
        stop_delay_ms=300,
        stop_limit_ms=1000,
    )
    host, _, port = deployment.listen_address("kigali-1").rpartition(":")
    body = chat_body("drafting", "long", False, 10 * WORD_COUNT)
    before = deployment.read_counts("service")["runs"]
    with (
        socket.create_connection((host, int(port)), 10) as slow,
        socket.create_connection((host, int(port)), 10) as late,
    ):
        slow.sendall(make_request("POST", CHAT, body))
        late.sendall(make_request("POST", "/filings", b"a filing")[:-2])
        wait_until(lambda: count_running(deployment) == 1)
        cluster.processes["kigali-1"].send_signal(signal.SIGTERM)
        assert read_error(late) == (b"503", "stopping")
        assert read_error(slow) == (b"502", "outcome_unknown")
    assert deployment.read_counts("service")["runs"] == before
    assert cluster.processes["kigali-1"].wait(20) == 1


def make_request(method, path, body):
    """Return a request as bytes on the wire."""
    lines = (
        *(f"{method} {path} HTTP/1.1", "Host: h", f"Authorization: Bearer {KEY}"),
        *(f"Content-Length: {len(body)}", "", ""),
    )
    return "\r\n".join(lines).encode() + body


def read_error(connection):
    """Return the status and the code of the error in the next response."""
    head, _, body = connection.recv(65_536).partition(b"\r\n\r\n")
    return head.split()[1], json.loads(body)["error"]["code"]


def entry_names(deployment, name):
    """Return the names of the entry VMs that a VM lists to the caller."""
    answer = deployment.cluster.call(
        deployment.listen_address(name), "GET", "/v1/entries", KEY
    )
    return [entry["name"] for entry in answer.json.get("entries", ())]


def read_log(deployment, name):
    return (deployment.cluster.folder / f"{name}.log").read_text()


class Caller(threading.Thread):
    """A caller that lists the entry VMs, then streams from one of top weight."""

    def __init__(self, deployment, number):
        super().__init__(daemon=True)
        self.deployment = deployment
        self.number = number
        self.addresses = [
            deployment.listen_address(name) for name in deployment.settings
        ]
        self.pool = urllib3.PoolManager(retries=False, timeout=20)
        self.stopping = threading.Event()
        self.failures = []
        self.completed = 0

    def run(self):
        while not self.stopping.is_set():
            address = self.choose_entry()
            try:
                self.stream_answer(address)
            except urllib3.exceptions.HTTPError as error:
                self.failures.append(f"{address}: {error!r}")

    def choose_entry(self):
        """Return the address of an entry VM, from the list of any VM that answers."""
        headers = {"Authorization": f"Bearer {KEY}"}
        for address in self.addresses:
            try:
                url = f"http://{address}/v1/entries"
                response = self.pool.request("GET", url, headers=headers)
            except urllib3.exceptions.HTTPError:
                continue
            if response.status == 200:
                entries = response.json()["entries"]
                preferred = [
                    entry
                    for entry in entries
                    if entry["weight"] == entries[0]["weight"]
                ]
                return preferred[self.number % len(preferred)]["address"]
        raise AssertionError("no VM lists the entry VMs")

    def stream_answer(self, address):
        """Stream one answer and record whether it was complete."""
        response = self.pool.request(
            "POST",
            f"http://{address}{CHAT}",
            body=chat_body("drafting", f"caller {self.number}", True, 20),
            headers={"Authorization": f"Bearer {KEY}"},
        )
        if response.status == 200 and response.data.endswith(STREAM_END):
            self.completed += 1
        else:
            self.failures.append(f"{address}: {response.status} {response.data[-200:]}")


def test_rolling_restart_fails_no_request(cluster, network):
    deployment = SmallDeployment(
        cluster,
        network,
        {"kigali": 2, "huye": 1},
        SLOW_ENGINE_FLAGS,
        stop_delay_ms=500,
        heartbeat_ms=200,
    )
    for name in deployment.settings:
        wait_until(
            lambda vm=name: set(entry_names(deployment, vm)) == set(deployment.settings)
        )
    callers = [Caller(deployment, number) for number in range(6)]
    for caller in callers:
        caller.start()
    for name in deployment.settings:
        wait_until(
            lambda vm=name: set(entry_names(deployment, vm)) == set(deployment.settings)
        )
        assert cluster.kill(name, signal.SIGTERM) == 0
        cluster.start_node(deployment.settings[name])
        wait_until(lambda vm=name: deployment.serves(vm))
        time.sleep(0.2)
    for caller in callers:
        caller.stopping.set()
    for caller in callers:
        caller.join(30)
    assert [failure for caller in callers for failure in caller.failures] == []
    assert all(caller.completed > 3 for caller in callers)
