"""Targets that answer with bytes without end: `python -m tests.faults.flood`.

There is one of each of the `FLOODS`, with a service of its name and all at one address.
A path ends with the name of what is sent and `flood`, or `ping` for a complete answer.
One request is read on each connection; sending ends when the other end closes it.
"""

import argparse
import contextlib
import itertools
import json
import re
import socket
import threading
import time

from tests.soak.fleet import call
from tests.soak.replica import expected_event

__all__ = ["FLOODS"]

HEARTBEAT_INTERVAL_S = 0.3
BLOCK_BYTES = 1 << 18
READ_BYTES = 65_536
BLANK_COUNT = 4000
EVENTS_PER_BLOCK = 2000
SOUND_EVENTS = 5
REQUEST_ID = re.compile(rb"x-pollenmount-attempt-id: *([^\r\n]*)", re.IGNORECASE)
PATH = re.compile(rb"/([a-z_]+)/([a-z]*) HTTP")
FOREIGN_ID = b"another-request"
CHUNKED = b"Transfer-Encoding: chunked"


def head(id_, *lines):
    """Return the head of a successful response."""
    lines = (
        b"HTTP/1.1 200 OK",
        b"X-Pollenmount-Attempt-Id: " + id_,
        b"X-Pollenmount-Response-Stamp: stamp",
        *lines,
    )
    return b"\r\n".join([*lines, b"", b""])


def chunk(data):
    """Return one chunk of chunked encoding."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def repeat(start, unit):
    """Yield `start`, then `unit` again and again."""
    yield start
    yield from itertools.repeat(unit * max(1, BLOCK_BYTES // len(unit)))


def numbered_events(id_):
    """Yield a stream of complete events without end, each in a chunk of its own."""
    yield head(id_, CHUNKED)
    for first in itertools.count(1, EVENTS_PER_BLOCK):
        numbers = range(first, first + EVENTS_PER_BLOCK)
        yield b"".join(chunk(b"id: %d\ndata: x\n\n" % number) for number in numbers)


def late(id_):
    """Yield the first events of a sound stream, then bytes without end."""
    events = [expected_event(id_.decode(), n + 1) for n in range(SOUND_EVENTS)]
    return repeat(head(id_) + b"".join(events), b"x" * BLOCK_BYTES)


FLOODS = {
    "interim": lambda id_: repeat(b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
    "header": lambda id_: repeat(b"HTTP/1.1 200 OK\r\nX: ", b"x" * BLOCK_BYTES),
    "event": lambda id_: repeat(head(id_, CHUNKED), chunk(b"x" * READ_BYTES)),
    "until_close": lambda id_: repeat(head(id_), b"x" * BLOCK_BYTES),
    "small_chunks": lambda id_: repeat(head(id_, CHUNKED), chunk(b"data:")),
    "events": numbered_events,
    "late": late,
    "foreign": lambda id_: repeat(head(FOREIGN_ID), b"x" * BLOCK_BYTES),
    "foreign_chunks": lambda id_: repeat(head(FOREIGN_ID, CHUNKED), chunk(b"x")),
    "not_run": lambda id_: repeat(
        head(id_, b"X-Pollenmount-Not-Run: 1"), b"x" * BLOCK_BYTES
    ),
    "trailers": lambda id_: repeat(
        head(id_, CHUNKED) + chunk(b"id: 1\n\n") + b"0\r\n", b"a: b\r\n"
    ),
    "after": lambda id_: repeat(
        head(id_, b"Content-Length: 4") + b"done", b"x" * BLOCK_BYTES
    ),
    "blanks": lambda id_: [
        b"HTTP/1.1 200 OK\r\nX: " + b" " * BLANK_COUNT + b"\r.\r\n\r\n"
    ],
}


def serve(connection):
    """Answer the first request of a connection, until the other end closes it."""
    with contextlib.closing(connection), contextlib.suppress(OSError):
        request = b""
        while b"\r\n\r\n" not in request:
            request += connection.recv(READ_BYTES)
        id_ = REQUEST_ID.search(request)[1]
        kind, action = PATH.search(request).groups()
        if action == b"ping":
            connection.sendall(head(id_, b"Content-Length: 4", b"Connection: close"))
            connection.sendall(b"done")
            return
        for block in FLOODS[kind.decode()](id_):
            connection.sendall(block)


def send_heartbeats(address, failure_domain, control_addresses):
    """Report the targets to the control VMs until the process ends."""
    document = {
        **{"addr": address, "zone": failure_domain, "version": "v1", "slots": 16},
        **{"state": "ready", "warmup_left_ms": 0, "born": int(time.time() * 1000)},
    }
    for sequence in itertools.count(1):
        for name in FLOODS:
            body = json.dumps({**document, "backend": name, "seq": sequence})
            for control_address in control_addresses:
                if call(control_address, "PUT", f"/-/instances/{name}", body)[0] == 200:
                    break
        time.sleep(HEARTBEAT_INTERVAL_S)


def main():
    """Serve each connection in a thread until the process is killed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("address")
    parser.add_argument("failure_domain")
    parser.add_argument("control_addresses", nargs="+")
    flags = parser.parse_args()
    host, _, port = flags.address.rpartition(":")
    listener = socket.create_server((host, int(port)))
    heartbeat = (flags.address, flags.failure_domain, flags.control_addresses)
    threading.Thread(target=send_heartbeats, args=heartbeat, daemon=True).start()
    while True:
        connection, _ = listener.accept()
        threading.Thread(target=serve, args=(connection,), daemon=True).start()


if __name__ == "__main__":
    main()
