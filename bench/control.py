"""Measures what control traffic costs a node; stores it in bench/slopes.json.

Run with `python -m bench.control`. The bridge is measured with real heartbeats, sent
through a relay that counts bytes on the wire. The member tables are measured in one
process on the fake network, at three numbers of failure domains and three of members.
"""

import csv
import io
import sys
import tempfile
import time
import tracemalloc
from pathlib import Path

from pollenmount import task

if __name__ == "__main__":
    task.monkey_patch()

import eventlet
import msgspec

from bench import slopes
from bench.domains import build_network, make_sheet, make_target, measure_network
from pollenmount.api.targets import TargetsApi
from pollenmount.api.web import WebServer, make_app
from pollenmount.bridge.control import ControlClient, ControlServer
from pollenmount.bridge.loop_executor import LoopExecutor
from pollenmount.members.delta import make_update
from pollenmount.members.messages import Heartbeat
from pollenmount.members.summary import sum_offers
from pollenmount.plans.machine import AcceptedPlan
from pollenmount.plans.sheet import parse_sheet
from pollenmount.targets.table import Announcement, TargetTable
from scripts.examples import COLUMNS, INZIRA, caller_row, make_settings, sheet_rows
from standins.cluster import Cluster
from standins.relay import Relay

__all__ = ["main"]

NETWORK = 120
SERVER_ADDRESS = "127.120.9.1:7000"
RELAY_ADDRESS = "127.120.9.2:7000"
HTTP_ADDRESS = "127.120.9.3:7000"
STARTUP_WAIT_S = 4
READ_BYTES = 65_536
KEY = "a-key-for-measurements"
CALLS = 2000
DOMAIN_COUNT_SIZES = ((6, 14), (12, 14), (24, 14))
MEMBER_COUNT_SIZES = ((3, 7), (3, 14), (3, 28))
MEASURED_TICKS = 10
WARMUP_TICKS = 20
TARGETS = 30
CALLERS = 320
REPEATS = 200
US_PER_S = 1e6


def cpu_us(function, repeats):
    """Return the mean processor time of a function call in microseconds."""
    started = time.process_time()
    for _ in range(repeats):
        function()
    return round((time.process_time() - started) / repeats * US_PER_S, 1)


def measure_bridge(heartbeat):
    """Return processor time and framing bytes of a bridge call, for both ends."""
    loop_executor = LoopExecutor()
    handlers = {Heartbeat: lambda message: message}
    server = ControlServer(loop_executor, SERVER_ADDRESS, KEY, handlers)
    direct_client = ControlClient(loop_executor, KEY)
    direct_client.call(SERVER_ADDRESS, heartbeat, 1000)
    call_us = cpu_us(lambda: direct_client.call(SERVER_ADDRESS, heartbeat, 1000), CALLS)
    relay = Relay(RELAY_ADDRESS, SERVER_ADDRESS)
    relayed_client = ControlClient(loop_executor, KEY)
    relayed_client.call(RELAY_ADDRESS, heartbeat, 3000)
    relay.bytes.clear()
    for _ in range(CALLS // 10):
        relayed_client.call(RELAY_ADDRESS, heartbeat, 3000)
    wire_bytes = sum(relay.bytes.values()) / (CALLS // 10)
    payload_bytes = 2 * len(msgspec.msgpack.encode(heartbeat))
    for resource in (direct_client, relayed_client, server, relay):
        resource.close()
    return {
        "call_us": call_us,
        "call_framing_bytes": round(wire_bytes - payload_bytes, 1),
    }


def measure_size(domains, members):
    """Return bytes, messages, processor time and memory per node at one size."""
    tracemalloc.start()
    network = build_network(domains, members)
    network.tick(WARMUP_TICKS)
    state_bytes = tracemalloc.get_traced_memory()[0] / len(network.nodes)
    tracemalloc.stop()
    started = time.process_time()
    costs = measure_network(network, MEASURED_TICKS)
    cpu_s = (time.process_time() - started) / MEASURED_TICKS / len(network.nodes)
    return {
        **costs._asdict(),
        "tables_us_a_second": round(cpu_s * US_PER_S, 1),
        "state_bytes": round(state_bytes),
    }


def measure_sheet():
    """Return the size and the processor time of a change to the plan sheet."""
    old, new = (AcceptedPlan(n, f"{n:064x}", make_sheet(CALLERS, n)) for n in (1, 2))
    full_update = make_update(new)
    edit_update = make_update(new, old)
    valid_sheet = make_valid_sheet(CALLERS)
    return {
        "sheet_bytes": len(new.sheet),
        "sheet_whole_bytes": len(msgspec.msgpack.encode(full_update)),
        "sheet_edit_bytes": len(msgspec.msgpack.encode(edit_update)),
        "sheet_edit_us": cpu_us(lambda: make_update(new, old), REPEATS),
        "sheet_parse_us": cpu_us(lambda: parse_sheet(valid_sheet), REPEATS // 4),
    }


def make_valid_sheet(callers):
    """Return a valid plan sheet with the given number of additional callers."""
    rows = sheet_rows(INZIRA)
    rows += [
        caller_row(
            f"account-{index:03d}", "kigali", "drafting+* lookup", "latency", "huye"
        )
        for index in range(callers)
    ]
    file = io.StringIO(newline="")
    writer = csv.DictWriter(file, COLUMNS, lineterminator="\r\n")
    writer.writeheader()
    writer.writerows(rows)
    return file.getvalue().encode()


def measure_announcement(clock):
    """Return the costs of one announcement and of summarizing all targets."""
    table = TargetTable(clock, 3000)
    announcement = make_target(1).announcement
    data = msgspec.json.encode(announcement)
    numbers = iter(range(10**9))

    def announce():
        decoded = msgspec.json.decode(data, type=Announcement)
        table.announce(msgspec.structs.replace(decoded, sequence=next(numbers)))

    targets = [make_target(index) for index in range(TARGETS)]
    return {
        "announcement_http_us": measure_http(TargetsApi(table), data),
        "announcement_bytes": len(data),
        "announcement_table_us": cpu_us(announce, REPEATS * 10),
        "sum_offers_us": cpu_us(lambda: sum_offers(targets), REPEATS),
    }


def measure_http(api, data):
    """Return the processor time of an announcement over HTTP, client included."""
    server = WebServer(HTTP_ADDRESS, make_app(api.handle))
    host, _, port = HTTP_ADDRESS.rpartition(":")
    request_head = (
        f"POST /v1/announce HTTP/1.1\r\nHost: x\r\nContent-Length: {len(data)}"
    )
    client = eventlet.connect((host, int(port)))

    def announce():
        client.sendall(request_head.encode() + b"\r\n\r\n" + data)
        response = client.recv(READ_BYTES)
        if b" 200 " not in response:
            raise RuntimeError(response)

    announce()
    cost_us = cpu_us(announce, CALLS)
    client.close()
    server.close()
    return cost_us


def measure_memory():
    """Return the resident memory of a node process without peers, in bytes."""
    settings = make_settings(INZIRA._replace(network=NETWORK))["huye-2"]
    with tempfile.TemporaryDirectory() as folder, Cluster(folder) as cluster:
        cluster.start_node(settings)
        time.sleep(STARTUP_WAIT_S)
        pid = cluster.processes["huye-2"].pid
        status = Path(f"/proc/{pid}/status").read_text()
    resident_kb = next(
        line.split()[1] for line in status.splitlines() if "VmRSS" in line
    )
    return int(resident_kb) * 1024


def main():
    """Run all measurements, store and print the results."""
    results = {}
    for domains, members in DOMAIN_COUNT_SIZES:
        results[f"members_{domains}x{members}"] = measure_size(domains, members)
    for domains, members in MEMBER_COUNT_SIZES:
        results[f"members_{domains}x{members}"] = measure_size(domains, members)
    network = build_network(3, 14)
    network.tick(WARMUP_TICKS)
    node = next(iter(network.nodes.values()))
    heartbeat = node.heartbeater.make_heartbeat()
    results["bridge"] = measure_bridge(heartbeat)
    results["sheet"] = measure_sheet()
    results["announcement"] = measure_announcement(network.clock)
    results["memory"] = {"node_bytes": measure_memory()}
    slopes.update_stored_results(control=results)
    print(msgspec.json.format(msgspec.json.encode(results)).decode())
    return 0


if __name__ == "__main__":
    sys.exit(main())
