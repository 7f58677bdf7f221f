"""A small deployment on loopback for the cases of the review.

The VMs are the project's own programs, started with the command of the deploy file.
Operators, replicas and clients are stand-ins that speak the published protocol. Only
the standard library is used here.
"""

import collections
import contextlib
import http.client
import http.server
import json
import math
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import traceback
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
HOST = "review.example"
PORTS = {"callers": 8001, "readiness": 8002, "operators": 8003, "directory": 8004}
METRICS_PORT = 9400
FIRST_PORT, LAST_PORT = 8100, 8115
REPLICA_PORT = 9000
HEARTBEAT_MS = 1200
CALL_TIMEOUT_S = 1
START_LIMIT_S = 20
MS_PER_S = 1000
POLL_S = 0.02
# The bounds that the template of the settings passes on, as on the small site.
BOUNDS = {
    "stop_grace_s": 8,
    "retry_share": 0.2,
    "retry_window_s": 10,
    "retry_slack": 56,
    "entries_ttl_s": 5,
}
BROKEN, HELD, NOT_RUN = 1, 0, 2


class CaseError(Exception):
    """The case could not run as described."""


class Record:
    """The record of a case: one line for each event, with seconds since its start."""

    def __init__(self, path):
        self.path = Path(path)
        self.path.write_text("")
        self.started_at = time.monotonic()
        self.lock = threading.Lock()

    def __call__(self, text):
        """Write one line."""
        with self.lock, open(self.path, "a") as file:
            file.write(f"{time.monotonic() - self.started_at:8.3f} {text}\n")


def run_case(folder, case):
    """Run `case(record, trouble)`, and exit with the status of its result.

    `case` returns a text that tells how the rule was broken, or '' if it held.
    """
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(NOT_RUN))
    record = Record(Path(folder) / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record(f"trouble: {'yes' if trouble else 'no'}")
    try:
        broken = case(record, trouble)
    except Exception as error:
        problem = str(error)
        if not isinstance(error, CaseError):
            problem = "".join(traceback.format_exception(error))
        record(f"the case could not run: {problem}")
        print(f"the case could not run: {problem}")
        sys.exit(NOT_RUN)
    outcome = f"rule broken: {broken}" if broken else "the rule held"
    record(outcome)
    print(outcome)
    sys.exit(BROKEN if broken else HELD)


class Vm:
    """One VM: its role, place, addresses, and the process that runs it."""

    def __init__(self, name, ip, region, zone, is_control):
        self.name = name
        self.ip = ip
        self.region = region
        self.zone = zone
        self.is_control = is_control
        self.process = None

    def address(self, kind):
        """Return one of the addresses that the VM listens on."""
        return f"{self.ip}:{PORTS[kind]}"


class Fleet:
    """The VMs of one deployment; `zones` maps each zone to its region."""

    def __init__(self, record, zones, tolerated_machines):
        self.record = record
        self.zones = zones
        self.tolerated_machines = tolerated_machines
        self.folder = Path(tempfile.mkdtemp(prefix="pollenmount-review-"))
        self.network = find_free_network()
        self.vms = {}
        self.seeds = []

    def __enter__(self):
        """Return the fleet."""
        return self

    def __exit__(self, *details):
        """End all processes that were started, and remove their files."""
        for vm in self.vms.values():
            if vm.process is not None and vm.process.poll() is None:
                vm.process.send_signal(signal.SIGCONT)
                vm.process.kill()
            if vm.process is not None:
                vm.process.wait()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)

    def ip(self, network, host):
        """Return a loopback address."""
        return f"127.{self.network}.{network}.{host}"

    def add(self, name, ip, zone, is_control):
        """Add a VM; return it."""
        self.vms[name] = vm = Vm(name, ip, self.zones[zone], zone, is_control)
        return vm

    def control_vms(self):
        """Return the control VMs."""
        return [vm for vm in self.vms.values() if vm.is_control]

    def write_settings(self, vm, seeds, first_start):
        """Write a settings file, as the template of the deploy file lays it out."""
        kinds = (
            ("operators", "directory") if vm.is_control else ("callers", "readiness")
        )
        document = {
            "name": vm.name,
            "ip": vm.ip,
            "region": vm.region,
            "failure_domain": vm.zone,
            "failure_domains": self.zones,
            "listen": {
                kind: vm.address(kind) if kind in kinds else "" for kind in PORTS
            },
            "first_port": FIRST_PORT,
            "last_port": LAST_PORT,
            "seeds": [seed.address("operators") for seed in seeds],
            "first_start": first_start,
            "lost_disks": self.tolerated_machines,
            "heartbeat_ms": HEARTBEAT_MS,
            "bounds": BOUNDS,
            "data_folder": str(self.data_folder(vm)) if vm.is_control else "",
            "metrics_port": METRICS_PORT,
            "chooser": "expected_time",
        }
        self.settings_path(vm).write_text(json.dumps(document))

    def settings_path(self, vm):
        """Return the path of the settings file of a VM."""
        return self.folder / f"{vm.name}.json"

    def log_path(self, vm):
        """Return the path of the log of a VM."""
        return self.folder / f"{vm.name}.log"

    def data_folder(self, vm):
        """Return the folder that stands for the disk of a VM."""
        return self.folder / f"data-{vm.name}"

    def start(self, vm):
        """Start the process of a VM with the command of the deploy file."""
        with open(self.log_path(vm), "ab") as log:
            vm.process = subprocess.Popen(
                deploy_command(vm),
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": os.environ.get("HOME", "/"),
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "POLLENMOUNT_SETTINGS": str(self.settings_path(vm)),
                },
            )
        self.record(f"{vm.name} ({vm.ip}) starts")

    def signal(self, vm, number):
        """Send a signal to the process of a VM."""
        vm.process.send_signal(number)
        self.record(f"{vm.name} gets {signal.Signals(number).name}")

    def kill(self, vm):
        """Kill the process of a VM."""
        self.signal(vm, signal.SIGKILL)
        vm.process.wait()

    def lose_disk(self, vm):
        """Kill a VM and delete its data folder."""
        self.kill(vm)
        shutil.rmtree(self.data_folder(vm), ignore_errors=True)
        self.record(f"{vm.name} has lost its disk")


def deploy_command(vm):
    """Return the command of the deploy file for the role of a VM."""
    document = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    role = document["roles"]["control" if vm.is_control else "entry"]
    return role["run"].split()


def find_free_network():
    """Return a second octet of loopback addresses on which the ports are free."""
    numbers = list(range(20, 250))
    random.shuffle(numbers)
    for number in numbers:
        with contextlib.suppress(OSError), socket.socket() as probe:
            probe.bind((f"127.{number}.1.1", PORTS["operators"]))
            return number
    raise CaseError("no free loopback addresses")


def call(address, method, path, body=None, timeout_s=CALL_TIMEOUT_S, headers=None):
    """Return (status, body) of a call, (0, b'') without a complete response."""
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
    with contextlib.closing(connection):
        try:
            connection.request(method, path, body, headers or {})
            response = connection.getresponse()
            return response.status, response.read()
        except (OSError, http.client.HTTPException):
            return 0, b""


def wait_for(condition, limit_s, what):
    """Wait until `condition()` holds; return what it returned."""
    until = time.monotonic() + limit_s
    while time.monotonic() < until:
        found = condition()
        if found:
            return found
        time.sleep(0.1)
    raise CaseError(f"{what} within {limit_s} s")


class Operator:
    """Sends orders: to the next node after a failure or a second without an answer."""

    def __init__(self, record):
        self.record = record

    def send(self, address, method, path, body=None):
        """Send an order to one node; return (status, body)."""
        started_at = time.monotonic()
        status, answer = call(address, method, path, body)
        took_ms = (time.monotonic() - started_at) * MS_PER_S
        what = f"{method} {path}"
        if path == "/-/config" and body:
            what += f" version {json.loads(body)['version']}"
        outcome = f"status {status}" if status else "no answer"
        self.record(f"operator: {what} to {address}: {outcome} ({took_ms:.0f} ms)")
        return status, answer

    def order(self, addresses, method, path, body=None, limit_s=20):
        """Send an order to nodes in turn until it is acknowledged; return when."""
        until, pause_s = time.monotonic() + limit_s, 0.05
        while time.monotonic() < until:
            for address in addresses:
                status, _ = self.send(address, method, path, body)
                if 200 <= status < 300:
                    return time.monotonic()
                time.sleep(pause_s)
                pause_s = min(1.0, pause_s * 2)
        raise CaseError(f"{method} {path} was not acknowledged within {limit_s} s")


class Arrival(collections.namedtuple("Arrival", "at request_id replica_id peer")):
    """A request that a replica began to run, and the address that sent it."""


class ReplicaHandler(http.server.BaseHTTPRequestHandler):
    """Answers requests as a sound replica does."""

    protocol_version = "HTTP/1.1"

    def log_message(self, *args):
        """Log nothing."""

    def do_GET(self):
        """Refuse a request for another replica, answer a health check, or run it."""
        replica = self.server.replica
        self.rfile.read(int(self.headers.get("Content-Length") or 0))
        expected = self.headers.get("X-Pollenmount-Expect-Instance")
        id_ = self.headers.get("X-Pollenmount-Attempt-Id", "")
        if expected not in (None, replica.id):
            self.answer(421, id_, b"", [("X-Pollenmount-Not-Run", "1")])
        elif self.path == "/healthz":
            self.answer(200, id_, b"", [("X-Pollenmount-Instance-Id", replica.id)])
        else:
            replica.add_arrival(id_, self.client_address[0])
            time.sleep(replica.work_s)
            stamp = ("X-Pollenmount-Response-Stamp", f"{replica.id}.{id_}")
            self.answer(200, id_, f"{id_} at {replica.id}".encode(), [stamp])

    do_POST = do_GET  # noqa: N815

    def answer(self, status, id_, body, headers):
        """Send a complete response."""
        self.send_response(status)
        self.send_header("X-Pollenmount-Attempt-Id", id_)
        self.send_header("Keep-Alive", "timeout=15")
        self.send_header("Content-Length", str(len(body)))
        for name, value in headers:
            self.send_header(name, value)
        self.end_headers()
        self.wfile.write(body)


class ReplicaServer(http.server.ThreadingHTTPServer):
    """The server of one replica."""

    daemon_threads = True
    request_queue_size = 128

    def __init__(self, address, handler):
        super().__init__(address, handler)
        self.open_connections = set()

    def process_request(self, request, client_address):
        """Serve a connection in a thread of its own."""
        self.open_connections.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request):
        """Close a connection."""
        self.open_connections.discard(request)
        super().shutdown_request(request)

    def handle_error(self, request, client_address):
        """Ignore connections that break."""


class Replica:
    """A replica of one service, with heartbeats to the control VMs."""

    def __init__(self, record, id_, service, vm_zone, address, control_addresses):
        self.record = record
        self.id = id_
        self.service = service
        self.zone = vm_zone
        self.address = address
        self.control_addresses = control_addresses
        self.work_s = 0.02
        self.born = int(time.time() * MS_PER_S)
        self.cold_until = 0.0
        self.tolerated_per_s = math.inf
        self.stopping = threading.Event()
        self.arrivals = []
        self.start(0)

    def start(self, late_s):
        """Listen, and send heartbeats, of which the first arrives late."""
        self.stopping = threading.Event()
        host, _, port = self.address.rpartition(":")
        self.server = ReplicaServer((host, int(port)), ReplicaHandler)
        self.server.replica = self
        self.sequence = 0
        threading.Thread(
            target=self.server.serve_forever, args=(POLL_S,), daemon=True
        ).start()
        threading.Thread(
            target=self.send_heartbeats, args=(self.stopping, late_s), daemon=True
        ).start()

    def crash(self):
        """Stop at once: nothing listens any more, and all connections are reset."""
        if self.stopping.is_set():
            return
        self.stopping.set()
        self.record(f"replica {self.id} crashes")
        self.server.socket.close()
        for connection in [*self.server.open_connections]:
            with contextlib.suppress(OSError):
                connection.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
                )
                connection.shutdown(socket.SHUT_RDWR)
        self.server.shutdown()

    def restart(self, cold_s, late_s):
        """Start again under the same id, cold."""
        self.born = int(time.time() * MS_PER_S)
        self.cold_until = time.monotonic() + cold_s
        self.record(f"replica {self.id} is back, cold for {cold_s} s")
        self.start(late_s)

    def add_arrival(self, id_, peer):
        """Record a request that is run."""
        now = time.monotonic()
        self.arrivals.append(Arrival(now, id_, self.id, peer))
        self.record(f"replica {self.id} runs {id_} from {peer}")
        lately = sum(now - arrival.at < 1 for arrival in self.arrivals[-100:])
        if now < self.cold_until and lately > self.tolerated_per_s:
            self.crash()

    def send_heartbeats(self, stopping, late_s):
        """Send heartbeats; after a failure, to the next node."""
        position = random.randrange(len(self.control_addresses))
        while not stopping.wait(HEARTBEAT_MS / 1000 if self.sequence else late_s):
            self.sequence += 1
            for _ in self.control_addresses:
                address = self.control_addresses[position]
                status, _ = call(
                    address, "PUT", f"/-/instances/{self.id}", self.heartbeat()
                )
                if 200 <= status < 300:
                    break
                position = (position + 1) % len(self.control_addresses)
                time.sleep(0.05)

    def heartbeat(self):
        """Return the document of a heartbeat."""
        return json.dumps(
            {
                "backend": self.service,
                "addr": self.address,
                "zone": self.zone,
                "version": "v1",
                "slots": 16,
                "state": "ready",
                "warmup_left_ms": max(
                    0, int((self.cold_until - time.monotonic()) * MS_PER_S)
                ),
                "seq": self.sequence,
                "born": self.born,
            }
        )

    def close(self):
        """Stop the replica."""
        self.stopping.set()
        self.server.shutdown()
        self.server.server_close()


class Clients:
    """Clients of one region that send idempotent requests at a steady rate.

    `answers` has the status of each request by its id.
    """

    def __init__(self, record, region, zone, directories, path, per_s):
        self.record = record
        self.region = region
        self.zone = zone
        self.directories = directories
        self.path = path
        self.interval_s = 1 / per_s
        self.answers = {}
        self.stopping = threading.Event()
        self.sent = 0
        threading.Thread(target=self.run, daemon=True).start()

    def run(self):
        """Send requests until stopped, each in a thread of its own."""
        while not self.stopping.wait(self.interval_s):
            self.sent += 1
            threading.Thread(
                target=self.send, args=(f"{self.region}-{self.sent}",), daemon=True
            ).start()

    def resolve(self):
        """Return the addresses that the directory names for this region."""
        query = f"name={HOST}&region={self.region}&zone={self.zone}"
        for address in self.directories:
            status, body = call(address, "GET", f"/-/resolve?{query}")
            if status == 200:
                return json.loads(body)["addrs"]
        return []

    def send(self, id_):
        """Send one request to a VM that the directory names."""
        addresses = self.resolve()
        if not addresses:
            return
        address = random.choice(addresses)
        headers = {
            "Host": HOST,
            "X-Pollenmount-Attempt-Id": id_,
            "X-Pollenmount-Deadline-Ms": "3000",
        }
        status, _ = call(address, "GET", self.path, None, 3.5, headers)
        self.answers[id_] = status
        self.record(f"client {id_} at {address}: status {status}")

    def close(self):
        """Stop sending."""
        self.stopping.set()


def make_config(version, services, warmup_s=0.0, warmup_per_s=0.0):
    """Return a configuration with an idempotent route to each service."""
    return json.dumps(
        {
            "version": version,
            "routes": [
                {
                    "name": f"r-{service}",
                    "host": HOST,
                    "path_prefix": f"/{service}/",
                    "kind": "idempotent",
                    "timeout_ms": 3000,
                    "slo_ms": 400,
                    "prio": 0,
                    "backend": service,
                    "attempts": 2,
                }
                for service in services
            ],
            "services": [
                {
                    "name": service,
                    "health_path": "/healthz",
                    "max_conns": 400,
                    "protocol": "h1",
                    "tls": False,
                    "warmup_s": warmup_s,
                    "warmup_per_s": warmup_per_s,
                }
                for service in services
            ],
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 4194304,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
            },
        }
    )


def read_version(answer):
    """Return the version in the answer to a read of the configuration."""
    status, body = answer
    return json.loads(body)["version"] if status == 200 else None
