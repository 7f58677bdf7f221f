"""A replica of the users' platform that sends heartbeats and counts its runs."""

import collections
import contextlib
import hashlib
import http.client
import http.server
import json
import threading
import time

from standins.relay import Relay

EVENT_COUNT = 25
EVENT_INTERVAL_S = 0.03
EVENTS_BEFORE_CUT = 5
HEARTBEAT_INTERVAL_S = 0.3
CALL_TIMEOUT_S = 1
SLOW_S = 3
MODES = ("ok", "ok", "failing", "truncated", "mismatched", "overloaded", "slow")


def expected_body(id_):
    """Return the response body that belongs to a request."""
    return hashlib.sha256(id_.encode()).hexdigest().encode()


def expected_event(id_, number):
    """Return one event of the streamed response that belongs to a request."""
    return b"id: %d\ndata: %s\n\n" % (number, expected_body(f"{id_} {number}"))


class Handler(http.server.BaseHTTPRequestHandler):
    """Responds according to the replica's mode and counts runs by request ID."""

    protocol_version = "HTTP/1.1"

    def log_message(self, *args):
        """Log nothing."""

    def do_GET(self):
        """Refuse a request, or count and run it."""
        length = int(self.headers.get("Content-Length") or 0)
        self.rfile.read(length)
        replica = self.server.replica
        id_ = self.headers.get("X-Pollenmount-Attempt-Id", "")
        expected = self.headers.get("X-Pollenmount-Expect-Instance")
        if expected not in (None, replica.id):
            self.send_complete_response(421, id_, b"", False)
        elif replica.mode == "overloaded":
            self.send_complete_response(503, id_, b"", False)
        else:
            with replica.lock:
                replica.runs[id_] += 1
            self.run_request(replica.mode, id_)

    do_POST = do_GET  # noqa: N815

    def run_request(self, mode, id_):
        """Respond to a request that was counted as run."""
        if mode == "slow":
            time.sleep(SLOW_S)
        if mode == "truncated" and self.path.startswith("/stream/"):
            self.stream_events(id_, EVENTS_BEFORE_CUT)
        elif mode == "truncated":
            self.close_connection = True
            self.wfile.write(b"HTTP/1.1 200 OK\r\nContent-Length: 64\r\n\r\nhalf")
        elif mode == "mismatched":
            self.send_complete_response(
                200, "another-request", expected_body("another"), True
            )
        elif mode == "failing":
            self.send_complete_response(500, id_, b"failed", True)
        elif self.path.startswith("/stream/"):
            self.stream_events(id_)
        else:
            self.send_complete_response(200, id_, expected_body(id_), True)

    def send_complete_response(self, status, id_, body, was_run):
        """Send a complete response."""
        self.send_head(status, id_, was_run)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def send_head(self, status, id_, was_run):
        """Send the status line and the headers that tell whether the request ran."""
        self.send_response(status)
        self.send_header("X-Pollenmount-Attempt-Id", id_)
        if was_run:
            self.send_header("X-Pollenmount-Response-Stamp", "stamp")
        else:
            self.send_header("X-Pollenmount-Not-Run", "1")

    def stream_events(self, id_, count=EVENT_COUNT):
        """Send up to `count` events; disconnect if the stream is not complete."""
        self.send_head(200, id_, True)
        self.send_header("Content-Type", "text/event-stream")
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        first = int(self.headers.get("Last-Event-Id") or 0) + 1
        last = min(first + count - 1, EVENT_COUNT)
        for number in range(first, last + 1):
            event = expected_event(id_, number)
            self.wfile.write(b"%x\r\n%s\r\n" % (len(event), event))
            time.sleep(EVENT_INTERVAL_S)
        if last < EVENT_COUNT:
            self.close_connection = True
            return
        self.wfile.write(b"0\r\n\r\n")


class Server(http.server.ThreadingHTTPServer):
    """HTTP server of one replica; errors of broken connections are ignored."""

    daemon_threads = True

    def handle_error(self, request, client_address):
        """Report nothing."""


class Replica:
    """One replica behind a relay that can cut, delay or reset its connections.

    `control_addresses` are those of the control VMs, which receive its heartbeats.
    """

    def __init__(self, id_, service, zone, ip, control_addresses):
        self.id = id_
        self.service = service
        self.zone = zone
        self.control_addresses = control_addresses
        self.mode = "ok"
        self.runs = collections.Counter()
        self.lock = threading.Lock()
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.stopping = threading.Event()
        self.server = Server((ip, 9001), Handler)
        self.server.replica = self
        self.relay = Relay(f"{ip}:9000", f"{ip}:9001")
        self.threads = [
            threading.Thread(target=self.server.serve_forever, daemon=True),
            threading.Thread(target=self.send_heartbeats, daemon=True),
        ]
        for thread in self.threads:
            thread.start()

    def send_heartbeats(self):
        """Send heartbeats to the control VMs in rotation, skipping silent ones."""
        while not self.stopping.wait(HEARTBEAT_INTERVAL_S):
            self.sequence += 1
            offset = self.sequence % len(self.control_addresses)
            for address in (
                *self.control_addresses[offset:],
                *self.control_addresses[:offset],
            ):
                if self.send_heartbeat(address):
                    break

    def send_heartbeat(self, address):
        """Send one heartbeat; return whether it was acknowledged."""
        document = {
            "backend": self.service,
            "addr": f"{self.server.server_address[0]}:9000",
            "zone": self.zone,
            "version": "v1",
            "slots": 16,
            "state": "ready",
            "warmup_left_ms": 0,
            "seq": self.sequence,
            "born": self.born,
        }
        with contextlib.suppress(OSError, http.client.HTTPException):
            host, _, port = address.rpartition(":")
            connection = http.client.HTTPConnection(host, int(port), CALL_TIMEOUT_S)
            with contextlib.closing(connection):
                path = f"/-/instances/{self.id}"
                connection.request("PUT", path, json.dumps(document))
                return connection.getresponse().status == 200
        return False

    def close(self):
        """Stop the heartbeats, the relay and the server."""
        self.stopping.set()
        self.relay.close()
        self.server.shutdown()
        self.server.server_close()
