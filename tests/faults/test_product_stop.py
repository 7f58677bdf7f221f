"""Planned stops with real processes: nothing that runs is cut off."""

import signal
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import pytest
import urllib3

from standins.cluster import wait_until
from tests.faults.product import CHAT, Small, chat_body

KEY = "key-aid-kigali"
END = b"data: [DONE]\n\n"
SLOW = ("--token-ms=20",)
WORDS = 120


def ask(small, name, words=WORDS, text="long"):
    body = chat_body("drafting", text, True, words)
    return small.cluster.call(small.listen(name), "POST", CHAT, KEY, body)


def running(small):
    return small.counts("engine")["running"]


@pytest.fixture
def stopping(cluster, network):
    """Return (deployment, streams): one served by kigali-1, one forwarded to it."""
    small = Small(
        cluster,
        network,
        {"kigali": 1, "huye": 1},
        SLOW,
        stop_delay_ms=700,
        heartbeat_ms=200,
    )
    cluster.call(small.target(2, "engine"), "POST", "/standin/leave", "", b"")
    wait_until(
        lambda: ask(small, "huye-1", 1).headers.get("Pollenmount-Region") == "kigali"
    )
    with ThreadPoolExecutor(2) as pool:
        streams = [pool.submit(ask, small, vm) for vm in ("kigali-1", "huye-1")]
        wait_until(lambda: running(small) == 2)
        yield small, streams


def test_streams_end_whole_and_new_requests_are_refused(stopping):
    small, streams = stopping
    process = small.cluster.processes["kigali-1"]
    process.send_signal(signal.SIGHUP)
    process.send_signal(signal.SIGTERM)
    wait_until(lambda: names(small, "huye-1") == ["huye-1"])
    accepted = ask(small, "kigali-1", 1)
    assert accepted.status == 200
    assert accepted.headers["Connection"] == "close"

    def refused():
        answer = ask(small, "kigali-1", 1)
        return answer.status == 503 and answer.json["error"]["code"] == "stopping"

    wait_until(refused)
    answers = [stream.result() for stream in streams]
    assert [answer.status for answer in answers] == [200, 200]
    assert all(answer.body.endswith(END) for answer in answers)
    assert process.wait(20) == 0


def test_second_signal_ends_what_runs_and_tells(stopping):
    small, streams = stopping
    process = small.cluster.processes["kigali-1"]
    process.send_signal(signal.SIGTERM)
    wait_until(lambda: "stopping" in log_of(small, "kigali-1"))
    process.send_signal(signal.SIGTERM)
    assert process.wait(20) == 1
    for stream in streams:
        broken = stream.exception()
        assert broken or b"event: error" in stream.result().body


def names(small, name):
    """Return the names of the entry VMs that a VM lists."""
    answer = small.cluster.call(small.listen(name), "GET", "/v1/entries", KEY)
    return [entry["name"] for entry in answer.json["entries"]]


def log_of(small, name):
    return (small.cluster.folder / f"{name}.log").read_text()


class Caller(threading.Thread):
    """A caller that asks the directory, then streams from the first entry VM."""

    def __init__(self, small, number):
        super().__init__(daemon=True)
        self.small = small
        self.number = number
        self.known = [small.listen(name) for name in small.settings]
        self.pool = urllib3.PoolManager(retries=False, timeout=20)
        self.ended = threading.Event()
        self.failures = []
        self.whole = 0

    def run(self):
        while not self.ended.is_set():
            address = self.choose()
            try:
                self.call(address)
            except urllib3.exceptions.HTTPError as error:
                self.failures.append(f"{address}: {error!r}")

    def choose(self):
        """Return the address of an entry VM; any known one tells."""
        headers = {"Authorization": f"Bearer {KEY}"}
        for address in self.known:
            try:
                url = f"http://{address}/v1/entries"
                reply = self.pool.request("GET", url, headers=headers)
            except urllib3.exceptions.HTTPError:
                continue
            if reply.status == 200:
                entries = reply.json()["entries"]
                best = [e for e in entries if e["weight"] == entries[0]["weight"]]
                return best[self.number % len(best)]["address"]
        raise AssertionError("no VM tells the entries")

    def call(self, address):
        """Stream one answer and note whether it was whole."""
        reply = self.pool.request(
            "POST",
            f"http://{address}{CHAT}",
            body=chat_body("drafting", f"caller {self.number}", True, 20),
            headers={"Authorization": f"Bearer {KEY}"},
        )
        if reply.status == 200 and reply.data.endswith(END):
            self.whole += 1
        else:
            self.failures.append(f"{address}: {reply.status} {reply.data[-200:]}")


def test_restarting_each_vm_in_turn_fails_no_caller(cluster, network):
    small = Small(
        cluster,
        network,
        {"kigali": 2, "huye": 1},
        SLOW,
        stop_delay_ms=500,
        heartbeat_ms=200,
    )
    for name in small.settings:
        wait_until(lambda vm=name: set(names(small, vm)) == set(small.settings))
    callers = [Caller(small, number) for number in range(6)]
    for caller in callers:
        caller.start()
    for name in small.settings:
        wait_until(lambda vm=name: set(names(small, vm)) == set(small.settings))
        assert cluster.kill(name, signal.SIGTERM) == 0
        cluster.start_node(small.settings[name])
        wait_until(lambda vm=name: small.serves(vm))
        time.sleep(0.2)
    for caller in callers:
        caller.ended.set()
    for caller in callers:
        caller.join(30)
    assert [failure for caller in callers for failure in caller.failures] == []
    assert all(caller.whole > 3 for caller in callers)
