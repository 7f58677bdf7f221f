"""Callers and an operator at work; each keeps what it saw."""

import contextlib
import http.client
import random
import threading
import time
from typing import NamedTuple

from tests.soak.fleet import PORTS, REGIONS, ROUTES
from tests.soak.replica import EVENTS, body_of, event_of

TIMEOUT_S = 6
PAUSE_S = 0.03
PLAN_PAUSE_S = 0.4
KEPT_REQUESTS = 20


class Seen(NamedTuple):
    """One request as its caller saw it; `status` is 0 without an answer.

    `whole` is whether the answer ended as its framing says.
    """

    id: str
    route: str
    status: int
    body: bytes
    whole: bool
    stamped: bool


class Caller(threading.Thread):
    """Sends requests from one region, on a connection that it keeps for a while."""

    def __init__(self, fleet, name, seed, closing):
        super().__init__(daemon=True)
        self.fleet = fleet
        self.caller = name
        self.region = name.split("-")[0]
        self.random = random.Random(seed)
        self.closing = closing
        self.seen = []
        self.connection = None

    def run(self):
        """Send requests until told to stop."""
        number = 0
        while not self.closing.wait(PAUSE_S):
            number += 1
            if self.connection is None or number % KEPT_REQUESTS == 0:
                self.connect()
            if self.connection is not None:
                route = self.random.choice(sorted(ROUTES))
                self.seen.append(self.ask(f"{self.caller}-{number}", route))

    def connect(self):
        """Open a connection to an entry VM that the directory names."""
        self.drop()
        control = f"control-{self.random.choice((self.region, *REGIONS))}"
        addresses = self.fleet.resolve(self.region, control)
        if addresses:
            host, _, port = self.random.choice(addresses).rpartition(":")
            self.connection = http.client.HTTPConnection(
                host, int(port), timeout=TIMEOUT_S
            )

    def drop(self):
        """Close the connection."""
        if self.connection is not None:
            self.connection.close()
            self.connection = None

    def ask(self, id_, route):
        """Send one request and read its answer."""
        headers = {
            "Host": "soak.example",
            "X-Pollenmount-Attempt-Id": id_,
            "X-Pollenmount-Deadline-Ms": "4000",
        }
        status, stamped, body = 0, False, b""
        method = "GET" if route == "read" else "POST"
        try:
            self.connection.request(method, f"/{route}/x", headers=headers)
            answer = self.connection.getresponse()
            status = answer.status
            stamped = answer.getheader("X-Pollenmount-Response-Stamp") is not None
            body = answer.read()
        except http.client.IncompleteRead as error:
            self.drop()
            return Seen(id_, route, status, error.partial, False, stamped)
        except (OSError, http.client.HTTPException):
            self.drop()
            return Seen(id_, route, status, body, False, stamped)
        return Seen(id_, route, status, body, True, stamped)


class Operator(threading.Thread):
    """Offers plans with rising versions and reads the newest one back."""

    def __init__(self, fleet, seed, closing, first_version):
        super().__init__(daemon=True)
        self.fleet = fleet
        self.random = random.Random(seed)
        self.closing = closing
        self.version = first_version
        self.acknowledged = first_version
        self.faults = []

    def run(self):
        """Offer and read until told to stop."""
        while not self.closing.wait(PLAN_PAUSE_S):
            self.version += self.random.randint(1, 3)
            if self.fleet.put_plan(self.pick(), self.version) == 200:
                self.acknowledged = self.version
            expected = self.acknowledged
            read = self.fleet.read_version(self.pick())
            if read is not None and read < expected:
                self.faults.append(f"read plan {read} after {expected}")

    def pick(self):
        """Return a control VM's address."""
        return self.random.choice(self.fleet.operators)


def find_faults(seen, runs):
    """Yield what is wrong with what one caller saw; `runs` counts runs by id."""
    count = runs[seen.id]
    if seen.route == "once" and count > 1:
        yield f"{seen.id} ran {count} times"
    if seen.route == "once" and seen.status in (408, 421, 429, 503) and count:
        yield f"{seen.id} was told {seen.status} and ran"
    if seen.status == 200 and not seen.stamped:
        yield f"{seen.id} got a success that no replica vouches for"
    if seen.status == 200 and seen.route == "stream":
        yield from find_stream_faults(seen)
    elif seen.status == 200 and seen.whole and seen.body != body_of(seen.id):
        yield f"{seen.id} got another answer"


def find_stream_faults(seen):
    """Yield what is wrong with a stream, whole or not."""
    whole = b"".join(event_of(seen.id, number) for number in range(1, EVENTS + 1))
    if seen.whole and seen.body != whole:
        yield f"{seen.id} got a stream that looks whole and isn't"
    if not whole.startswith(seen.body):
        yield f"{seen.id} got events out of order"


def is_served(fleet, region):
    """Return whether a caller of a region is served by some entry VM there."""
    closing = threading.Event()
    caller = Caller(fleet, f"{region}-last-{time.monotonic_ns()}", 1, closing)
    with contextlib.closing(caller_connection(caller)):
        return caller.connection is not None and (
            caller.ask(f"{caller.caller}-1", "read").status == 200
        )


def caller_connection(caller):
    """Return the caller with a connection, to be closed."""
    caller.connect()
    caller.close = caller.drop
    return caller


__all__ = ["PORTS", "Caller", "Operator", "Seen", "find_faults", "is_served"]
