"""Runs streams in a process whose standard output is a pipe, as on the platform.

`python -m tests.log_pipe NETWORK` prints how many of its streams were whole, on
standard error.
"""

import sys

from pollenmount import task

task.monkey_patch()

import eventlet  # noqa: E402

from pollenmount import log  # noqa: E402
from tests.gateway_sockets import (  # noqa: E402
    STREAM_END,
    ScriptedTarget,
    SocketEntry,
    read_stream,
    request_bytes,
)

CALLERS = 8
EVENTS = 5
BARRIER_MS = 300


def stream_to_barrier(exchange):
    """Send a stream whose last bytes come at the same moment as those of the others."""
    exchange.start()
    for number in range(1, EVENTS + 1):
        exchange.send_event(number)
    task.sleep(BARRIER_MS)
    exchange.end()


def read_one(entry, number):
    """Return whether one caller received a whole stream."""
    with entry.connect() as peer:
        peer.sendall(request_bytes(f"id-{number}"))
        return read_stream(peer).endswith(STREAM_END)


def main(network):
    """Run the streams; print the number of whole ones."""
    writer = log.configure("INFO", vm="v")
    address = f"127.{network}.5.2:7300"
    target = ScriptedTarget(address, stream_to_barrier)
    entry = SocketEntry(f"127.{network}.5.1:7300")
    entry.add_target("t", address=address)
    with task.flush_in_background(writer):
        threads = [eventlet.spawn(read_one, entry, n) for n in range(CALLERS)]
        whole = sum(thread.wait() for thread in threads)
    target.close()
    entry.close()
    print(whole, file=sys.stderr)


if __name__ == "__main__":
    main(sys.argv[1])
