"""Reads answers without end: `python -m tests.faults.flooded READER ADDRESS KIND`.

The process is set up as a VM is. It sends four requests at once by one reader of
responses, and prints a JSON `Reading`.
"""

import json
import os
import sys
import threading
import time
from types import SimpleNamespace
from typing import NamedTuple

import eventlet

from pollenmount import task
from pollenmount.clock import Clock
from pollenmount.commands.base import NodeError, request_json
from pollenmount.gateway.attempt import (
    Attempt,
    AttemptDestination,
    ResponseObserver,
    Sender,
)
from pollenmount.routing.attempt import read_checked
from pollenmount.targets.upstream import Upstream, UpstreamError
from pollenmount.wire.errors import ExchangeError
from pollenmount.wire.pool import ConnectionPool
from tests.gateway_harness import EntryHarness, make_route
from tests.test_gateway_sender import DIALECT

__all__ = ["CALLS", "READERS", "TIMEOUT_MS", "Reading"]

CALLS = 4
TIMEOUT_MS = 1500
TICK_MS = 10
KB = 1024


class Reading(NamedTuple):
    """How the calls ended, when the last one did, and at what cost.

    That is the longest time without a turn for others, and the most memory in use.
    """

    outcomes: list[str]
    ended_ms: int
    longest_gap_ms: int
    memory_kb: int


def read_by_routes(address, kind):
    """Read as the HTTP gateway reads from targets; return how it ended."""
    clock = Clock()
    call = EntryHarness().make_call(make_route(), request_target=f"/{kind}")
    now = clock.now()
    call = call._replace(received_at=now, deadline=now + TIMEOUT_MS)
    destination = AttemptDestination("a", address, 1, "west", "a")
    attempt = Attempt(call, destination, "", ResponseObserver())
    try:
        sender = Sender(ConnectionPool(clock), DIALECT, clock, lambda *args: False)
        for part in sender.run(attempt):
            last = part
    except ExchangeError as error:
        return type(error).__name__
    return str(last)


def read_by_own_interface(address, kind):
    """Read as the own interface reads from targets; return how it ended."""
    clock = Clock()
    call = SimpleNamespace(stream=False, deadline=clock.now() + TIMEOUT_MS)
    attempter = SimpleNamespace(clock=clock)
    upstream = Upstream()
    try:
        response = upstream.open(address, "GET", f"/{kind}", {}, b"", TIMEOUT_MS)
        parts = [
            chunk.data[-4:]
            for chunk in read_checked(response, attempter, call, response.status)
        ]
    except UpstreamError as error:
        return type(error).__name__
    finally:
        upstream.close()
    return f"{response.status} {parts[-1:]}"


def read_by_operators(address, kind):
    """Read as operators' commands do, which have a longer timeout of their own."""
    from pollenmount.commands import base

    base.REQUEST_TIMEOUT_S = TIMEOUT_MS / 1000
    try:
        return str(request_json("GET", f"http://{address}/{kind}", "", ""))
    except NodeError as error:
        return type(error).__name__


READERS = {
    "routes": read_by_routes,
    "own interface": read_by_own_interface,
    "operators": read_by_operators,
}


def watch_turns(gaps):
    """Note the longest time between two turns of this task."""
    last = time.monotonic()
    while True:
        task.sleep(TICK_MS)
        now = time.monotonic()
        gaps[:] = [max(*gaps, now - last)]
        last = now


def memory_kb():
    """Return the most memory that this process has used."""
    with open("/proc/self/status", encoding="ascii") as lines:
        return next(int(x.split()[1]) for x in lines if x.startswith("VmHWM:"))


def report(outcomes, started_at, gaps, before_kb):
    """Print what was read."""
    now = time.monotonic()
    ms = [round(1000 * value) for value in (now - started_at, max(gaps, default=now))]
    reading = Reading(outcomes, *ms, memory_kb() - before_kb)
    print(json.dumps(reading), flush=True)


def give_up(started_at, gaps, before_kb):
    """Print that the calls did not end, and end the process."""
    report(["endless"], started_at, gaps, before_kb)
    os._exit(0)


def main():
    """Send the requests, and report."""
    task.monkey_patch()
    reader, address, kind = sys.argv[1:]
    gaps = [0.0, 0.0]
    task.spawn(watch_turns, gaps)
    task.sleep(2 * TICK_MS)
    before_kb, started_at = memory_kb(), time.monotonic()
    # A thread of the system, as the event loop may never have its turn again.
    timer = threading.Timer(
        4 * TIMEOUT_MS / 1000, give_up, (started_at, gaps, before_kb)
    )
    timer.daemon = True
    timer.start()
    calls = [eventlet.spawn(READERS[reader], address, kind) for _ in range(CALLS)]
    report([call.wait() for call in calls], started_at, gaps, before_kb)
    os._exit(0)


if __name__ == "__main__":
    main()
