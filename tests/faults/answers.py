"""Plays odd endings and copies of answers, and restarts, with real processes.

`python -m tests.faults.answers --form=cuts --seconds=20 --restart-s=6` prints what was
seen. Callers check each answer by its own id and content. All VMs may be killed at one
moment and started again, or entry VMs in turn, while an operator gives orders.
"""

import argparse
import collections
import contextlib
import json
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from typing import NamedTuple

from standins.cluster import wait_until
from tests.faults.deadly_parts import restart_all
from tests.faults.orders import STATE_PORT, Orders
from tests.faults.plays import HOST, TARGET_REGIONS, make_route, target_places
from tests.faults.stutterer import EVENT_COUNT, Record, draw_manner
from tests.soak.fleet import PORTS, ROOT, Fleet, call
from tests.soak.replica import expected_body, expected_event
from tests.soak.wire import EndError, Reader, read_answer

__all__ = ["FORMS", "play"]

FORMS = {
    "copies": ("plain", "once"),
    "cuts": ("stream", "resumable"),
    "crashes": ("stream", "resumable"),
}
ONCE_ROUTES = ("once", "stream")
OK, UNAVAILABLE = 200, 503
SERVICE = "odd"
TARGET_HOST = 120
TIMEOUT_MS = 4000
CALLERS = 12
MAX_PAUSE_S = 0.05
KEPT_SHARE = 0.9
OLD_SHARE = 0.2
MAX_RESUMPTIONS = 6
TARGET_RESTART_S = 0.5
LOST = "LOST"
TO_OLD = ", to HTTP/1.0"
# Such an end is that of a whole stream, too.
UNKNOWABLE = "ORDER short, fin-none-edge"


class Seen(NamedTuple):
    """A request as its caller saw it; it was sent on a connection's `position`.

    It had ended after `took_s`.

    `is_old` is whether it is of HTTP/1.0, in which only the end of the connection tells
    where a stream ends: that of a VM that is killed looks like any other.
    """

    id: str
    route: str
    name: str
    first: int
    status: int
    ending: str
    answer_id: str
    body: bytes
    position: int
    is_old: bool
    took_s: float


class PlayFleet(Fleet):
    """A fleet whose VMs show their state, with target processes of one service."""

    def __init__(self, folder, network, form):
        super().__init__(folder, network)
        self.form = form
        self.records = []
        self.stopping = threading.Event()
        places = target_places(self, SERVICE, TARGET_HOST)
        self.keepers = [threading.Thread(target=self.keep, args=p) for p in places]
        for keeper in self.keepers:
            keeper.start()
        self.stack.callback(self.stop_targets)

    def make_settings(self, name, first_start):
        """Return the settings of one VM."""
        return super().make_settings(name, first_start) | {"metrics_port": STATE_PORT}

    def keep(self, id_, address, domain):
        """Run a target again and again, and collect what it writes."""
        while not self.stopping.is_set():
            command = (sys.executable, "-m", "tests.faults.stutterer", id_, SERVICE)
            self.processes[id_] = process = subprocess.Popen(
                [*command, address, domain, *self.operator_addresses],
                cwd=ROOT,
                stdout=subprocess.PIPE,
            )
            with process.stdout as lines:
                self.records += (Record(*json.loads(line)) for line in lines)
            process.wait()
            self.stopping.wait(TARGET_RESTART_S)

    def stop_targets(self):
        """End all targets, also one that is being started."""
        self.stopping.set()
        while any(keeper.is_alive() for keeper in self.keepers):
            for name, process in [*self.processes.items()]:
                if name.startswith("i-"):
                    process.kill()
            time.sleep(0.1)

    def put_version(self, address, version):
        """Put a plan; return the status."""
        kinds = {"plain": "idempotent", "once": "non_idempotent"}
        routes = [
            make_route(name, kinds.get(name, "streaming"), TIMEOUT_MS)
            | {"backend": SERVICE, "resumable": name == "resumable"}
            for name in FORMS[self.form]
        ]
        document = {"version": version, "routes": routes}
        document["services"] = [{"name": SERVICE}]
        return call(address, "PUT", "/-/config", json.dumps(document))[0]


class Caller(threading.Thread):
    """Sends requests to any entry VM, and takes up resumable streams that broke off."""

    def __init__(self, fleet, number, seed, stopping):
        super().__init__()
        self.fleet, self.number, self.stopping = fleet, number, stopping
        self.random = random.Random(f"{seed} {number}")
        self.seen = []
        self.reader = None
        self.position = self.count = 0

    def run(self):
        """Send requests until `stopping` is set."""
        while not self.stopping.wait(self.random.uniform(0, MAX_PAUSE_S)):
            route = self.random.choice(FORMS[self.fleet.form])
            self.count += 1
            name, first = f"{self.number}x{self.count}", 1
            for _ in range(MAX_RESUMPTIONS if route == "resumable" else 1):
                seen = self.send(route, name, first)
                first += seen.body.count(b"\n\n")
                if seen.ending == "complete" and seen.status == 200:
                    break
        self.disconnect()

    def connect(self):
        """Open a connection to an entry VM; return the bytes to be sent on it."""
        ip = self.random.choice(sorted(self.fleet.entry_ips.values()))
        connection = socket.create_connection((ip, PORTS["callers"]), 1)
        connection.settimeout(1 + TIMEOUT_MS / 1000)
        self.reader, self.position = Reader(connection), 0

    def disconnect(self):
        """Close the connection, if any."""
        if self.reader is not None:
            self.reader.connection.close()
            self.reader = None

    def send(self, route, name, first):
        """Send a request; return what was `Seen`."""
        id_ = f"{name}-{time.monotonic_ns()}"
        is_old = self.random.random() < OLD_SHARE
        lines = [
            f"POST /{route}/{self.fleet.form}-{name} HTTP/1.{0 if is_old else 1}",
            f"Host: {HOST}",
            f"X-Pollenmount-Attempt-Id: {id_}",
            f"X-Pollenmount-Deadline-Ms: {TIMEOUT_MS}",
            "Content-Length: 4",
            *([f"Last-Event-Id: {first - 1}"] if first > 1 else []),
        ]
        status, body, answer_id, ending = 0, b"", "", "complete"
        began_at = time.monotonic()
        try:
            if self.reader is None:
                self.connect()
            position, self.position = self.position, self.position + 1
            data = "\r\n".join([*lines, "", "body"]).encode()
            self.reader.connection.sendall(data)
            read_answer(self.reader)
        except EndError as error:
            ending = str(error)
        except OSError:
            ending, position = "not sent", self.position
        if ending != "not sent":
            answer = self.reader.answer
            status, body = answer.status, bytes(answer.body)
            answer_id = answer.headers.get("x-pollenmount-attempt-id", "")
        is_kept = ending == "complete" and not self.reader.answer.closes
        if not is_kept or is_old or self.random.random() > KEPT_SHARE:
            self.disconnect()
        seen = Seen(
            *(id_, route, name, first, status, ending, answer_id, body, position),
            *(is_old, time.monotonic() - began_at),
        )
        self.seen.append(seen)
        return seen


def judge(fleet, seen, is_calm):
    """Return (counts, faults): what callers saw, by the targets' records.

    Unless the play `is_calm`, VMs were killed, which break connections off then.
    """
    counts, faults = collections.Counter(), []
    runs = collections.defaultdict(list)
    for record in fleet.records:
        runs[record.id].append(record)
        counts[f"target: {name_event(record, fleet.form)}"] += 1
    for one in seen:
        late = ", late" if one.took_s > TIMEOUT_MS / 1000 else ""
        counts[f"{one.route} {one.status} {one.ending}{late}"] += 1
        problem = find_problem(fleet.form, one, runs[one.id])
        if problem:
            counts[problem] += 1
        if problem and not is_excused(problem, is_calm):
            events = [(r.event, r.target, r.number) for r in runs[one.id]]
            faults.append(f"{problem}: {one._replace(body=one.body[-80:])} {events}")
    return counts, faults


def name_event(record, form):
    """Return what a target did, as a text that others did as well."""
    if record.event not in ("ran", "refused"):
        return record.event
    manner = draw_manner(record.target, record.id, form, record.number)
    return f"{record.event} copy {manner.copy}" if manner.copy else record.event


def is_excused(problem, is_calm):
    """Return whether a problem can't be known, or a VM that was killed is its cause."""
    by_kill = problem.startswith(LOST) or problem.endswith(TO_OLD)
    return problem.startswith(UNKNOWABLE) or (by_kill and not is_calm)


def find_problem(form, one, records):
    """Return which rule an answer breaks, or ''."""
    run_count = sum(r.event == "ran" for r in records)
    has_promise = one.status == UNAVAILABLE and one.route in ONCE_ROUTES
    is_cut = one.ending in ("closed", "reset")
    is_body = one.status == OK and form == "copies"
    problems = {
        "MIXED foreign id": one.answer_id not in ("", one.id),
        "TWICE": one.route in ONCE_ROUTES and run_count > 1,
        "REFUSED": has_promise and run_count,
        LOST: one.status != OK and is_cut and run_count,
        f"{LOST} inside": is_body and one.ending != "complete",
        "MIXED body": is_body and one.body != expected_body(one.id),
    }
    problem = next((name for name, is_found in problems.items() if is_found), "")
    if problem or one.status != OK or is_body:
        return problem
    return find_stream_problem(form, one, records)


def find_stream_problem(form, one, records):
    """Return which rule a stream breaks, or ''."""
    numbers = range(one.first, EVENT_COUNT + 1)
    whole = b"".join(expected_event(one.name, number) for number in numbers)
    if not whole.startswith(one.body):
        return "ORDER content"
    if one.ending == "complete" and one.body != whole:
        last = records[-1] if records else Record("none", 0, "", one.id, 1)
        how = last.event
        if how == "ran":
            framing = draw_manner(last.target, one.id, form, last.number).framing
            how = f"another's end, framing {framing}"
        return f"ORDER short, {how}{TO_OLD if one.is_old else ''}"
    is_broken = any(r.event not in ("ran", "refused") for r in records)
    if one.ending in ("closed", "reset") and not is_broken and form == "cuts":
        return f"{LOST} inside a stream"
    return ""


def kill_entries(fleet, interval_s, stopping):
    """Kill entry VMs in turn, and start each again."""
    names = sorted(fleet.entry_ips)
    number = 0
    while not stopping.wait(interval_s):
        name = names[number % len(names)]
        number += 1
        fleet.write_settings(name, False)
        fleet.send_signal(name, signal.SIGKILL)
        fleet.processes[name].wait()
        fleet.start(name)


def restart_often(fleet, interval_s, stopping):
    """Restart all VMs at intervals."""
    while not stopping.wait(interval_s):
        restart_all(fleet)


def is_ready(fleet):
    """Return whether all entry VMs know the plan, and together all targets."""
    addresses = [f"{ip}:{STATE_PORT}" for ip in fleet.entry_ips.values()]
    replies = [call(address, "GET", "/v1/state") for address in addresses]
    documents = [json.loads(body) for status, body in replies if status == OK]
    targets = [t for document in documents for t in document["targets"]]
    places = {t["name"] for t in targets if t["service"] == SERVICE}
    plans = [document["vm"]["plan"] for document in documents]
    has_all = len(documents) == len(addresses) and all(plans)
    return has_all and len(places) == len(TARGET_REGIONS)


def play(folder, network, seconds, form, seed=1, kill_s=0, restart_s=0):
    """Play a form; return (counts, faults)."""
    stopping, calm = threading.Event(), threading.Event()
    with contextlib.closing(PlayFleet(folder, network, form)) as fleet:
        fleet.start_all()
        wait_until(lambda: fleet.put_version(fleet.operator_addresses[0], 1) == 200)
        wait_until(lambda: is_ready(fleet))
        callers = [Caller(fleet, n, seed, stopping) for n in range(CALLERS)]
        orders = Orders(fleet, seed, stopping)
        threads = [*callers, *(orders.threads if restart_s else ())]
        for work, interval_s in ((kill_entries, kill_s), (restart_often, restart_s)):
            if interval_s:
                arguments = (fleet, interval_s, calm)
                threads.append(threading.Thread(target=work, args=arguments))
        for thread in threads:
            thread.start()
        time.sleep(seconds)
        for event in (calm, stopping):
            event.set()
        for thread in threads:
            thread.join()
        if restart_s:
            orders.check_end()
        seen = [s for caller in callers for s in caller.seen]
        counts, faults = judge(fleet, seen, not (kill_s or restart_s))
        targets = target_places(fleet, SERVICE, TARGET_HOST)
        late = orders.find_late_runs(targets)
        orders.counts["older states, ms"] = round(1000 * orders.older_s)
        return counts + orders.counts, faults + orders.faults + late


def main():
    """Play a form, and print what was seen."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--kill-s", type=float, default=0)
    parser.add_argument("--restart-s", type=float, default=0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--network", type=int, default=160)
    parser.add_argument("--form", choices=sorted(FORMS), required=True)
    parser.add_argument("--folder")
    flags = parser.parse_args()
    with tempfile.TemporaryDirectory() as temporary:
        counts, faults = play(
            flags.folder or temporary,
            flags.network,
            flags.seconds,
            flags.form,
            flags.seed,
            flags.kill_s,
            flags.restart_s,
        )
    print(json.dumps(dict(sorted(counts.items())), indent=0))
    print(*faults[:20], sep="\n")


if __name__ == "__main__":
    main()
