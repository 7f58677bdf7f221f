"""What the plays with real targets share: the plan, places of targets, one request."""

import contextlib
import http.client
import json
import random
from typing import NamedTuple

from standins.cluster import wait_until
from tests.soak.fleet import PORTS, call

__all__ = ["Outcome", "apply_plan", "make_route", "send_request", "target_places"]

# Two targets in one region and one in another; callers of the third come by hops.
TARGET_REGIONS = (1, 1, 2)
DOMAINS = ("west-a", "east-a")
TARGET_PORT = 9100
HOST = "soak.example"


class Outcome(NamedTuple):
    """How a request ended: its status or why there is none, and the body so far."""

    ending: str
    body: bytes = b""


def target_places(fleet, name, host):
    """Yield the id, address and failure domain of each target of a service."""
    for place, region in enumerate(TARGET_REGIONS):
        address = f"{fleet.ip(region, host)}:{TARGET_PORT + place}"
        yield f"i-{name}-{place}", address, DOMAINS[region - 1]


def make_route(name, kind, timeout_ms, attempts=2, resumable=False):
    """Return the document of a route to the service of its name."""
    return {
        **{"name": name, "host": HOST, "path_prefix": f"/{name}/", "kind": kind},
        **{"backend": name, "timeout_ms": timeout_ms, "attempts": attempts},
        **{"resumable": resumable, "slo_ms": 1000},
    }


def apply_plan(fleet, routes):
    """Put the first plan, until it is acknowledged."""
    services = [{"name": route["name"]} for route in routes]
    body = json.dumps({"version": 1, "routes": routes, "services": services})
    address = fleet.operator_addresses[0]
    wait_until(lambda: call(address, "PUT", "/-/config", body)[0] == 200)


def send_request(fleet, path, id_, timeout_ms, leave_s=0.0, last_event=0, more=()):
    """Send a request to the entry VM that its id draws; return its `Outcome`.

    `more` are further headers. The caller closes the connection after `leave_s`, if it
    is not 0 and there is no answer yet, or a while after the time that it names.
    """
    ip = random.Random(id_).choice(sorted(fleet.entry_ips.values()))
    connection = http.client.HTTPConnection(
        ip, PORTS["callers"], timeout=leave_s or 1 + timeout_ms / 1000
    )
    headers = {
        "Host": HOST,
        "X-Pollenmount-Attempt-Id": id_,
        "X-Pollenmount-Deadline-Ms": str(timeout_ms),
        **dict(more),
    }
    if last_event:
        headers["Last-Event-Id"] = str(last_event)
    with contextlib.closing(connection):
        try:
            connection.request("POST", path, headers=headers)
            response = connection.getresponse()
            if leave_s and response.status == 200:
                return Outcome("left", response.read1())
            return Outcome(str(response.status), response.read())
        except http.client.IncompleteRead as error:
            return Outcome("broken", error.partial)
        except (OSError, http.client.HTTPException) as error:
            return Outcome(type(error).__name__)
