"""Slopes of the control traffic of one node, stored in bench/slopes.json.

Run with `python -m bench.control`. Messages are those of real heartbeats, carried by
the real bridge through a relay that counts bytes on the wire; the tables are measured
in one process on the fake network, at three sizes.
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
from bench.domains import build, make_target, measure, sheet
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
from scripts.examples import COLUMNS, INZIRA, caller, make_settings, sheet_rows
from standins.cluster import Cluster
from standins.relay import Relay

__all__ = ["main"]

NETWORK = 120
ADDRESS = "127.120.9.1:7000"
RELAYED = "127.120.9.2:7000"
HTTP_ADDRESS = "127.120.9.3:7000"
START_S = 4
READ_BYTES = 65_536
KEY = "a-key-for-measurements"
CALLS = 2000
SIZES = ((6, 14), (12, 14), (24, 14))
NEAR_SIZES = ((3, 7), (3, 14), (3, 28))
TICKS = 10
WARM_TICKS = 20
TARGETS = 30
CALLERS = 320
REPEATS = 200
US_PER_S = 1e6


def cpu_us(function, repeats):
    """Return the processor time of one call in microseconds."""
    started = time.process_time()
    for _ in range(repeats):
        function()
    return round((time.process_time() - started) / repeats * US_PER_S, 1)


def measure_bridge(heartbeat):
    """Return cost and bytes of one call of the real bridge, both ends together."""
    loop_executor = LoopExecutor()
    handlers = {Heartbeat: lambda message: message}
    server = ControlServer(loop_executor, ADDRESS, KEY, handlers)
    direct = ControlClient(loop_executor, KEY)
    direct.call(ADDRESS, heartbeat, 1000)
    call_us = cpu_us(lambda: direct.call(ADDRESS, heartbeat, 1000), CALLS)
    relay = Relay(RELAYED, ADDRESS)
    relayed = ControlClient(loop_executor, KEY)
    relayed.call(RELAYED, heartbeat, 3000)
    relay.bytes.clear()
    for _ in range(CALLS // 10):
        relayed.call(RELAYED, heartbeat, 3000)
    on_wire = sum(relay.bytes.values()) / (CALLS // 10)
    payload = 2 * len(msgspec.msgpack.encode(heartbeat))
    for part in (direct, relayed, server, relay):
        part.close()
    return {
        "call_us": call_us,
        "call_framing_bytes": round(on_wire - payload, 1),
    }


def measure_size(domains, members):
    """Return what one size costs: bytes, messages, processor time, memory."""
    tracemalloc.start()
    network = build(domains, members)
    network.tick(WARM_TICKS)
    state = tracemalloc.get_traced_memory()[0] / len(network.nodes)
    tracemalloc.stop()
    started = time.process_time()
    measured = measure(network, TICKS)
    spent = (time.process_time() - started) / TICKS / len(network.nodes)
    return {
        **measured._asdict(),
        "tables_us_a_second": round(spent * US_PER_S, 1),
        "state_bytes": round(state),
    }


def measure_sheet():
    """Return bytes and processor time of one change of a sheet."""
    old, new = (AcceptedPlan(n, f"{n:064x}", sheet(CALLERS, n)) for n in (1, 2))
    whole = make_update(new)
    edits = make_update(new, old)
    parse = bench_sheet(CALLERS)
    return {
        "sheet_bytes": len(new.sheet),
        "sheet_whole_bytes": len(msgspec.msgpack.encode(whole)),
        "sheet_edit_bytes": len(msgspec.msgpack.encode(edits)),
        "sheet_edit_us": cpu_us(lambda: make_update(new, old), REPEATS),
        "sheet_parse_us": cpu_us(lambda: parse_sheet(parse), REPEATS // 4),
    }


def bench_sheet(callers):
    """Return the bytes of a sound sheet with so many callers."""
    rows = sheet_rows(INZIRA)
    rows += [
        caller(f"account-{index:03d}", "kigali", "drafting+* lookup", "latency", "huye")
        for index in range(callers)
    ]
    file = io.StringIO(newline="")
    writer = csv.DictWriter(file, COLUMNS, lineterminator="\r\n")
    writer.writeheader()
    writer.writerows(rows)
    return file.getvalue().encode()


def measure_announcement(clock):
    """Return the cost of one announcement past HTTP, and of summing up targets."""
    table = TargetTable(clock, 3000)
    said = make_target(1).announcement
    data = msgspec.json.encode(said)
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
    """Return the processor time of one announcement, a bare client's included."""
    server = WebServer(HTTP_ADDRESS, make_app(api.handle))
    host, _, port = HTTP_ADDRESS.rpartition(":")
    head = f"POST /v1/announce HTTP/1.1\r\nHost: x\r\nContent-Length: {len(data)}"
    client = eventlet.connect((host, int(port)))

    def announce():
        client.sendall(head.encode() + b"\r\n\r\n" + data)
        answer = client.recv(READ_BYTES)
        if b" 200 " not in answer:
            raise RuntimeError(answer)

    announce()
    cost = cpu_us(announce, CALLS)
    client.close()
    server.close()
    return cost


def measure_memory():
    """Return the resident bytes of one node process that knows only itself."""
    settings = make_settings(INZIRA._replace(network=NETWORK))["huye-2"]
    with tempfile.TemporaryDirectory() as folder, Cluster(folder) as cluster:
        cluster.start_node(settings)
        time.sleep(START_S)
        pid = cluster.processes["huye-2"].pid
        status = Path(f"/proc/{pid}/status").read_text()
    kb = next(line.split()[1] for line in status.splitlines() if "VmRSS" in line)
    return int(kb) * 1024


def main():
    """Measure and store everything; print what was stored."""
    results = {}
    for domains, members in SIZES:
        results[f"members_{domains}x{members}"] = measure_size(domains, members)
    for domains, members in NEAR_SIZES:
        results[f"members_{domains}x{members}"] = measure_size(domains, members)
    network = build(3, 14)
    network.tick(WARM_TICKS)
    node = next(iter(network.nodes.values()))
    heartbeat = node.heartbeater.make_heartbeat()
    results["bridge"] = measure_bridge(heartbeat)
    results["sheet"] = measure_sheet()
    results["announcement"] = measure_announcement(network.clock)
    results["memory"] = {"node_bytes": measure_memory()}
    slopes.store(control=results)
    print(msgspec.json.format(msgspec.json.encode(results)).decode())
    return 0


if __name__ == "__main__":
    sys.exit(main())
