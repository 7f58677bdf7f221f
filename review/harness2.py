"""Starts a small deployment for the second review: VMs, stand-in replicas, a client.

The VMs are the project's own programs, started with the command of the deploy file.
Everything else in here is a stand-in of the review. All addresses are on loopback.
"""

import contextlib
import http.client
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import traceback
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
RUN = ("python3", "platform/start.py")
REPLICA = Path(__file__).resolve().parent / "replica2.py"
REGIONS = ("kigali", "huye", "musanze")
PORTS = {"front": 8144, "readiness": 8140, "control": 8146, "dir": 8143}
FIRST_PORT, LAST_PORT = 7660, 7675
REPLICA_PORT = 8587
MARK_PORT = 8599
HOST = "ficu95.example"
HEARTBEAT_MS = 1200
GRACE_S = 8
CALL_S = 1.0
BOUNDS = {
    "stop_grace_s": GRACE_S,
    "retry_share": 0.2,
    "retry_window_s": 10,
    "retry_slack": 56,
    "entries_ttl_s": 5,
}
LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 4194304,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}


def choose_network():
    """Return the second number of the loopback addresses, and a socket that marks it.

    Another deployment that runs on this machine takes another number.
    """
    numbers = list(range(16, 216))
    random.SystemRandom().shuffle(numbers)
    for number in numbers:
        with contextlib.suppress(OSError):
            return number, socket.create_server((f"127.{number}.250.1", MARK_PORT))
    raise OSError("no free loopback addresses")


class Record:
    """Writes what happens to `record.txt`, with the seconds since its start."""

    def __init__(self, path):
        self.path = Path(path)
        self.path.write_text("", encoding="utf-8")
        self.started_at = time.monotonic()
        self.lock = threading.Lock()

    def elapsed_s(self):
        """Return the seconds since the start."""
        return time.monotonic() - self.started_at

    def write(self, text):
        """Write one line."""
        at = self.elapsed_s()
        with self.lock, self.path.open("a", encoding="utf-8") as file:
            file.write(f"{at:8.3f} {text}\n")


class Deployment:
    """Control VMs and entry VMs as processes, and replicas as processes.

    `entries` has the number of entry VMs by region, and `zones` the letters of the
    zones of each region, of which each has a control VM. The control VMs of the zones
    with the first letter are the seeds.
    """

    def __init__(self, record, entries, zones="a", lost_disks=1):
        self.record = record
        self.zones = zones
        self.lost_disks = lost_disks
        self.network, self.mark = choose_network()
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.processes = {}
        self.entry_ips, self.control_ips = {}, {}
        self.replicas = {}
        for number, region in enumerate(REGIONS, start=1):
            for host, zone in enumerate(zones, start=9):
                self.control_ips[f"control-{region}-{zone}"] = self.ip(number, host)
            for entry in range(entries.get(region, 0)):
                self.entry_ips[f"entry-{region}-{entry}"] = self.ip(number, entry + 20)

    def ip(self, region, host):
        """Return a loopback address."""
        return f"127.{self.network}.{region}.{host}"

    def control_address(self, name):
        """Return the address of a control VM for replicas and the operator."""
        return f"{self.control_ips[name]}:{PORTS['control']}"

    def control_addresses(self):
        """Return the addresses of all control VMs."""
        return [self.control_address(name) for name in self.control_ips]

    def seeds(self):
        """Return the names of the control VMs that all VMs are told of: three."""
        first = (n for n in self.control_ips if n.split("-")[2][0] == self.zones[0])
        return [*first][: len(REGIONS)]

    def replace_control(self, old, new, host):
        """Replace a control VM in all lists; the new one has another address."""
        number = REGIONS.index(old.split("-")[1]) + 1
        self.record.write(f"{old} is gone for good; {new} comes in its place")
        del self.control_ips[old]
        self.control_ips[new] = self.ip(number, host)

    def settings(self, name, first_start):
        """Return the settings of a VM, in the layout of the deploy template."""
        is_control = name in self.control_ips
        ip = self.control_ips[name] if is_control else self.entry_ips[name]
        _, region, last = name.split("-")
        zone = last[0] if is_control else self.zones[0]
        listen = dict.fromkeys(("callers", "readiness", "operators", "directory"), "")
        if is_control:
            listen["operators"] = f"{ip}:{PORTS['control']}"
            listen["directory"] = f"{ip}:{PORTS['dir']}"
        else:
            listen["callers"] = f"{ip}:{PORTS['front']}"
            listen["readiness"] = f"{ip}:{PORTS['readiness']}"
        return {
            "name": name,
            "ip": ip,
            "region": region,
            "failure_domain": f"{region}-{zone}",
            "failure_domains": {f"{r}-{z}": r for r in REGIONS for z in self.zones},
            "listen": listen,
            "first_port": FIRST_PORT,
            "last_port": LAST_PORT,
            "seeds": [self.control_address(seed) for seed in self.seeds()],
            "first_start": first_start,
            "lost_disks": self.lost_disks,
            "heartbeat_ms": HEARTBEAT_MS,
            "bounds": BOUNDS,
            "data_folder": str(self.folder / f"data-{name}") if is_control else "",
            "metrics_port": 9400,
            "memory_mb": 296 if is_control else 300,
            "max_descriptors": 4096 if is_control else 4100,
            "chooser": "expected_time",
        }

    def start_vm(self, name, first_start=False):
        """Start a VM, as the platform does."""
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(self.settings(name, first_start)))
        keep = ("PATH", "HOME", "JAVA_HOME", "LANG")
        environment = {key: os.environ[key] for key in keep if key in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["POLLENMOUNT_SETTINGS"] = str(path)
        self.start(name, RUN, environment)

    def start_vms(self):
        """Start all VMs for the first time."""
        for name in (*self.control_ips, *self.entry_ips):
            self.start_vm(name, True)

    def start_replica(self, name, service, region, host, *flags):
        """Start a stand-in replica, which sends heartbeats to the control VMs."""
        number = REGIONS.index(region) + 1
        address = f"{self.ip(number, host)}:{REPLICA_PORT}"
        command = [sys.executable, str(REPLICA), f"--name={name}"]
        command += [f"--service={service}", f"--zone={region}-a"]
        command += [f"--listen={address}", f"--heartbeat-ms={HEARTBEAT_MS}"]
        command += [f"--control={','.join(self.control_addresses())}", *flags]
        self.replicas[name] = address
        self.start(name, command, dict(os.environ))

    def start(self, name, command, environment):
        """Start a process; its output goes to a file."""
        with open(self.folder / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(
                command,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.record.write(f"start {name}")

    def signal(self, name, number):
        """Send a signal to a process of this deployment."""
        self.record.write(f"{signal.Signals(number).name} to {name}")
        self.processes[name].send_signal(number)

    def lose_disk(self, name):
        """Delete what a control VM has on its disk; its process has ended."""
        self.record.write(f"{name} loses its disk")
        shutil.rmtree(self.folder / f"data-{name}", ignore_errors=True)

    def wait(self, name, seconds=20):
        """Wait for the end of a process."""
        self.processes[name].wait(seconds)

    def wait_for_core(self, seconds=30):
        """Wait until a control VM takes connections; return whether one does."""
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            if any(map(listens, self.control_addresses())):
                return True
            time.sleep(0.005)
        return False

    def wait_ready(self, seconds=40):
        """Wait until all entry VMs are ready; return whether they are."""
        return wait_until(lambda: all(map(self.is_ready, self.entry_ips)), seconds)

    def is_ready(self, name):
        """Return whether an entry VM says that it is ready."""
        address = f"{self.entry_ips[name]}:{PORTS['readiness']}"
        return call(address, "GET", "/-/readyz")[0] == 200

    def front(self, name):
        """Return the address of an entry VM for clients."""
        return f"{self.entry_ips[name]}:{PORTS['front']}"

    def runs(self, replica):
        """Return how many requests a stand-in replica has run."""
        return len(self.log_lines(replica, ("RUN",)))

    def log_lines(self, name, words):
        """Return the lines of a process's output that begin with one of the words."""
        text = (self.folder / f"{name}.log").read_text(encoding="utf-8")
        return [line for line in text.splitlines() if line.startswith(words)]

    def exits(self):
        """Return the names of processes that have ended."""
        return [n for n, p in self.processes.items() if p.poll() is not None]

    def close(self):
        """End all processes that this deployment started."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        keep = os.environ.get("REVIEW_KEEP")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)
        self.mark.close()


class Operator:
    """The operator: sends orders as the users' pages say.

    It takes a list of addresses, goes to the next one after a second without an answer
    or a 5xx, and writes down what was acknowledged.
    """

    def __init__(self, record):
        self.record = record

    def order(self, method, path, addresses, document=None, limit_s=6.0):
        """Send an order until it is acknowledged; return whether it was."""
        deadline = time.monotonic() + limit_s
        pause_s = 0.05
        while time.monotonic() < deadline:
            for address in addresses:
                status, body = call(address, method, path, document)
                self.record.write(f"operator {method} {path} at {address}: {status}")
                if status == 200:
                    return True
                if 400 <= status < 500 and status not in (408, 429):
                    return False
                time.sleep(pause_s)
                pause_s = min(1.0, 2 * pause_s)
        return False


def call(address, method, path, document=None, timeout_s=CALL_S):
    """Send a call on a connection of its own; return (status, body), 0 for none."""
    host, _, port = address.rpartition(":")
    body = None if document is None else json.dumps(document)
    headers = {} if body is None else {"Content-Type": "application/json"}
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
    with contextlib.closing(connection):
        try:
            connection.request(method, path, body, headers)
            response = connection.getresponse()
            return response.status, response.read()
        except (OSError, http.client.HTTPException):
            return 0, b""


def listens(address):
    """Return whether something listens at an address."""
    host, _, port = address.rpartition(":")
    with socket.socket() as probe:
        probe.settimeout(0.1)
        return probe.connect_ex((host, int(port))) == 0


def wait_until(condition, seconds):
    """Poll until a condition holds; return whether it does in time."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        if condition():
            return True
        time.sleep(0.1)
    return False


def route(name, prefix, kind, service, timeout_ms, **more):
    """Return a route of a configuration."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": prefix,
        "kind": kind,
        "timeout_ms": timeout_ms,
        "slo_ms": 1000,
        "prio": 0,
        "backend": service,
        "attempts": 1,
        "sticky": False,
        "resumable": False,
        "home_regions": [],
        **more,
    }


def config(version, routes, services, **more):
    """Return a configuration."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": name,
                "health_path": "/healthz",
                "max_conns": 110,
                "protocol": "h1",
                "tls": False,
                "warmup_s": 0.0,
                "warmup_per_s": 0.0,
            }
            for name in services
        ],
        "limits": LIMITS,
        **more,
    }


class Answer:
    """What a client got: `status` 0 for none, `is_complete` by the framing alone."""

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b""
        self.is_complete = False


def request(address, method, path, id_, deadline_ms, headers=(), body=b""):
    """Send one client attempt on a new connection; return its `Answer`."""
    answer = Answer()
    host, _, port = address.rpartition(":")
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}"]
    lines += [f"X-Pollenmount-Attempt-Id: {id_}"]
    lines += [f"X-Pollenmount-Deadline-Ms: {deadline_ms}"]
    lines += [f"{name}: {value}" for name, value in headers]
    if method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    data = "\r\n".join([*lines, "", ""]).encode() + body
    try:
        with socket.create_connection((host, int(port)), 1) as connection:
            connection.settimeout(deadline_ms / 1000)
            connection.sendall(data)
            response = http.client.HTTPResponse(connection, method=method)
            response.begin()
            answer.status = response.status
            answer.headers = {k.lower(): v for k, v in response.getheaders()}
            read_body(response, answer)
    except (OSError, http.client.HTTPException):
        pass
    return answer


def read_body(response, answer):
    """Read a body; it is complete if its framing says so."""
    try:
        while part := response.read1(65536):
            answer.body += part
    except http.client.IncompleteRead as error:
        answer.body += error.partial
        return
    length = response.headers.get("Content-Length")
    if length is None:
        answer.is_complete = response.isclosed()
    else:
        answer.is_complete = len(answer.body) == int(length)


def run_case(case, folder, entries, **options):
    """Run `case(deployment, record, has_trouble)`; return the exit status.

    The case returns True if the rule held, False if it was broken, and None if the
    case could not run.
    """
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(Path(folder) / "record.txt")
    record.write(f"trouble: {has_trouble}")
    held = None
    try:
        deployment = Deployment(record, entries, **options)
        try:
            held = case(deployment, record, has_trouble)
            record_runs(deployment, record)
        finally:
            deployment.close()
    except Exception:
        traceback.print_exc()
    words = {True: "the rule held", False: "the rule was broken", None: "not run"}
    record.write(words[held])
    print(words[held])
    return {True: 0, False: 1, None: 2}[held]


def record_runs(deployment, record):
    """Write down what the replicas have run."""
    for name in deployment.replicas:
        for line in deployment.log_lines(name, ("RUN", "END", "NOTICED", "REMOVED")):
            record.write(f"{name}: {line}")
