"""Real VMs, and targets that say in responses that they leave, want a pause or a limit.

`python -m tests.faults.notices --network=N --folder=F` runs the scenario and prints a
JSON document with what callers and targets saw. Times are in seconds from its start.
"""

import argparse
import collections
import concurrent.futures
import contextlib
import http.client
import json
import threading
import time
from typing import NamedTuple

from tests.soak import fleet as soak_fleet
from tests.soak.fleet import PORTS, Fleet, call
from tests.soak.replica import EVENT_COUNT, Handler, Replica, expected_event

START_TIMEOUT_S = 30
POLL_INTERVAL_S = 0.1
PAUSE_S = 3
LOAD_S = 5
LOAD_INTERVAL_S = 0.02
STREAM_INTERVAL_S = 0.1
PLAN_INTERVAL_S = 0.4
EVACUATION_S = 2
# Time in which the VMs of a region tell each other, on a busy machine as well.
TOLD_WITHIN_S = 1
CALL_TIMEOUT_S = 5
MAX_THREADS = 16
DOMAIN_TO_EVACUATE = "south-a"
LEAVING = "i-model-west"
PAUSING = "i-desk-west"
LIMITED = "i-desk-west-2"
LIMIT_PER_S = 2.0
NOTICE_MODES = ("pausing", "leaving", "limited")


class Answer(NamedTuple):
    """What a caller got from a VM."""

    vm: str
    sent_at: float
    elapsed_s: float
    status: int
    retry_after: str
    leaving: str
    body: str


class NoticeHandler(Handler):
    """Adds the headers of a target that leaves, and turns requests away for a pause."""

    def do_GET(self):  # noqa: N802
        """Record which VM's caller sent the request, and respond to it."""
        replica = self.server.replica
        id_ = self.headers.get("X-Pollenmount-Attempt-Id", "")
        replica.vm_arrivals.append((id_.partition(" ")[0], time.monotonic()))
        if replica.mode == "pausing":
            self.send_complete_response(503, id_, b"", False)
        else:
            super().do_GET()

    do_POST = do_GET  # noqa: N815

    def send_head(self, status, id_, was_run):
        """Send the usual head, and the notice of the replica's mode."""
        super().send_head(status, id_, was_run)
        mode = self.server.replica.mode
        if mode == "pausing":
            self.send_header("Retry-After", str(PAUSE_S))
        elif mode == "leaving":
            self.send_header("Server-Leaving", "1")
        elif mode == "limited":
            self.send_header("Server-Limit", str(LIMIT_PER_S))

    def run_request(self, mode, id_):
        """Run a request as usual while the replica says that it leaves."""
        super().run_request("ok" if mode in NOTICE_MODES else mode, id_)


class NoticeReplica(Replica):
    """A replica with `vm_arrivals`: VMs and times; `muted` stops its heartbeats."""

    def __init__(self, *args, **options):
        self.vm_arrivals = []
        self.muted = False
        super().__init__(*args, **options)
        self.server.RequestHandlerClass = NoticeHandler

    def call_control(self, method, address, document=None):
        """Send a heartbeat or leave unless the replica is muted."""
        return not self.muted and super().call_control(method, address, document)


class NoticeFleet(Fleet):
    """A fleet with three entry VMs and two targets of `desk` in west.

    The only target of `model` is in west as well.
    """

    def __init__(self, folder, network):
        soak_fleet.ENTRIES = {"west": 3, "east": 1, "south": 1}
        soak_fleet.Replica = NoticeReplica
        super().__init__(folder, network)
        self.by_name = {replica.id: replica for replica in self.replicas}
        for region in ("east", "south"):
            self.by_name[f"i-model-{region}"].muted = True
        second = NoticeReplica(
            LIMITED, "desk", "west-a", self.ip(1, 103), self.operator_addresses
        )
        self.close_on_exit(second)
        self.by_name[LIMITED] = second
        self.west = [name for name in self.entry_ips if "west" in name]


class Scenario:
    """Runs both notices at once, beside changes of plan and an evacuation."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.version = 1
        self.stopping = threading.Event()
        self.answers = collections.defaultdict(list)
        self.orders = []

    def run(self):
        """Run the scenario; return what was seen."""
        self.wait_until_ready()
        leaving, pausing = self.fleet.by_name[LEAVING], self.fleet.by_name[PAUSING]
        began = time.monotonic()
        leaving.mode, leaving.muted, pausing.mode = "leaving", True, "pausing"
        with concurrent.futures.ThreadPoolExecutor(MAX_THREADS) as pool:
            results = [
                pool.submit(self.change_plans),
                pool.submit(self.evacuate),
                pool.submit(self.send, "stream", self.fleet.west[0]),
                *self.start_load(pool, "read", LOAD_INTERVAL_S),
            ]
            while not leaving.vm_arrivals:
                time.sleep(POLL_INTERVAL_S)
            time.sleep(TOLD_WITHIN_S)
            results += self.start_load(pool, "stream", STREAM_INTERVAL_S)
            time.sleep(LOAD_S)
            self.stopping.set()
        for result in results:
            result.result()
        document = self.document(began, leaving, pausing)
        return document | {"limited": self.load_a_limited_target(pausing)}

    def load_a_limited_target(self, other):
        """Send to two targets, one with a limit; return the times of its arrivals.

        They count from when all VMs have been told.
        """
        limited = self.fleet.by_name[LIMITED]
        limited.mode, other.mode = "limited", "ok"
        self.answers.clear()
        self.stopping.clear()
        with concurrent.futures.ThreadPoolExecutor(MAX_THREADS) as pool:
            results = self.start_load(pool, "read", LOAD_INTERVAL_S)
            time.sleep(TOLD_WITHIN_S)
            told_at = time.monotonic()
            time.sleep(LOAD_S)
            self.stopping.set()
        for result in results:
            result.result()
        return {
            "arrivals": [at - told_at for _, at in limited.vm_arrivals if at > told_at],
            "statuses": [answer.status for answer in self.answers["read"]],
        }

    def wait_until_ready(self):
        """Wait for the VMs, and forget what was seen until then."""
        leaving, pausing = self.fleet.by_name[LEAVING], self.fleet.by_name[PAUSING]
        pausing.mode = "overloaded"
        deadline = time.monotonic() + START_TIMEOUT_S
        while not self.is_ready():
            if time.monotonic() > deadline:
                raise TimeoutError("the VMs did not get ready")
            time.sleep(POLL_INTERVAL_S)
        self.answers.clear()
        for replica in (leaving, pausing):
            replica.vm_arrivals.clear()
            replica.runs.clear()

    def is_ready(self):
        """Return whether all VMs of west serve both services, and may retry.

        A VM that has just started has no part of the retry budget.
        """
        self.fleet.put_plan(self.fleet.operator_addresses[0], self.version)
        return all(
            self.send("stream", vm).status == 200 and self.has_retried(vm)
            for vm in self.fleet.west
        )

    def has_retried(self, vm):
        """Return whether a request that a target rejected was served by another."""
        arrivals = self.fleet.by_name[PAUSING].vm_arrivals
        count = len(arrivals)
        return self.send("read", vm).status == 200 and len(arrivals) > count

    def start_load(self, pool, route, interval_s):
        """Start callers of a route at each VM of west; return their futures."""
        return [
            pool.submit(self.send_repeatedly, route, vm, interval_s)
            for vm in self.fleet.west
        ]

    def send_repeatedly(self, route, vm, interval_s):
        """Send requests to a VM until the scenario ends."""
        while not self.stopping.wait(interval_s):
            self.send(route, vm)

    def send(self, route, vm):
        """Send one request to a VM; record and return its answer."""
        sent_at = time.monotonic()
        status, headers, body = self.exchange(route, vm)
        answer = Answer(
            vm,
            sent_at,
            time.monotonic() - sent_at,
            status,
            headers.get("Retry-After", ""),
            headers.get("Server-Leaving", ""),
            body,
        )
        self.answers[route].append(answer)
        return answer

    def exchange(self, route, vm):
        """Return (status, headers, body) of one request, status 0 if it failed."""
        host, port = self.fleet.entry_ips[vm], PORTS["callers"]
        connection = http.client.HTTPConnection(host, port, timeout=CALL_TIMEOUT_S)
        headers = {
            "Host": "soak.example",
            "X-Pollenmount-Attempt-Id": f"{vm} {route} {time.monotonic_ns()}",
            "X-Pollenmount-Deadline-Ms": "4000",
        }
        with contextlib.closing(connection):
            try:
                connection.request("GET", f"/{route}/x", headers=headers)
                response = connection.getresponse()
                return response.status, response.headers, response.read().decode()
            except (OSError, http.client.HTTPException):
                return 0, {}, ""

    def change_plans(self):
        """Put plans into force until the scenario ends."""
        while not self.stopping.wait(PLAN_INTERVAL_S):
            self.version += 1
            address = self.fleet.operator_addresses[0]
            self.orders.append(self.fleet.put_plan(address, self.version))

    def evacuate(self):
        """Evacuate a failure domain, and end that a little later."""
        address, path = self.fleet.operator_addresses[1], "/-/evacuate/"
        for method in ("POST", "DELETE"):
            status, _ = call(address, method, path + DOMAIN_TO_EVACUATE)
            self.orders.append(status)
            self.stopping.wait(EVACUATION_S)

    def document(self, began, leaving, pausing):
        """Return what callers, targets and the operator saw."""
        return {
            "answers": {
                route: [
                    answer._replace(sent_at=answer.sent_at - began)._asdict()
                    for answer in answers
                ]
                for route, answers in self.answers.items()
            },
            "arrivals": {
                replica.id: [(vm, at - began) for vm, at in replica.vm_arrivals]
                for replica in (leaving, pausing)
            },
            "orders": self.orders,
            "stream": "".join(
                expected_event(id_, number).decode()
                for id_ in leaving.runs
                for number in range(1, EVENT_COUNT + 1)
            ),
        }


def main():
    """Run the scenario with the arguments of the command line."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--network", type=int, required=True)
    parser.add_argument("--folder", required=True)
    arguments = parser.parse_args()
    fleet = NoticeFleet(arguments.folder, arguments.network)
    with contextlib.closing(fleet):
        fleet.start_all()
        print(json.dumps(Scenario(fleet).run()))


if __name__ == "__main__":
    main()
