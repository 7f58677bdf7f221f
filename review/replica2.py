"""Stand-in replica of the second review, as the users' pages describe one.

A request's path decides how it is answered: `/COUNT/` and a number in the query say how
many events or blocks the answer has and how long it pauses between them. `--unframed`
sends answers without a length, which end with their connection. `POST /standin/notice`
removes it at short notice: it reports `draining` with `remaining_ms`, and when that
time is over its process is killed.
"""

import argparse
import contextlib
import http.client
import http.server
import json
import os
import signal
import threading
import time
from urllib.parse import parse_qs, urlsplit


def block(id_, number):
    """Return one event of the answer to a request."""
    return f"id: {number}\ndata: {id_} {number}\n\n".encode()


def whole_answer(id_, count):
    """Return the whole answer to a request."""
    return b"".join(block(id_, number) for number in range(1, count + 1))


class Handler(http.server.BaseHTTPRequestHandler):
    """Answers requests, and prints a line for each that it has run."""

    protocol_version = "HTTP/1.1"

    def log_message(self, *args):
        """Log nothing."""

    def do_GET(self):
        """Answer one request."""
        options = self.server.options
        id_ = self.headers.get("X-Pollenmount-Attempt-Id", "")
        self.rfile.read(int(self.headers.get("Content-Length") or 0))
        parts = urlsplit(self.path)
        if parts.path == "/healthz":
            self.answer(200, id_, b"", False)
            return
        if parts.path == "/standin/notice":
            self.server.heartbeats.begin_notice()
            self.answer(200, id_, b"", False)
            return
        if self.headers.get("X-Pollenmount-Expect-Instance") not in (
            None,
            options.name,
        ):
            self.answer(421, id_, b"", True)
            return
        query = parse_qs(parts.query)
        count = int(query.get("count", ["1"])[0])
        pause_s = int(query.get("pause_ms", ["0"])[0]) / 1000
        print(f"RUN {time.monotonic():.3f} {id_} {self.path}", flush=True)
        self.answer_in_blocks(id_, count, pause_s)
        print(f"END {time.monotonic():.3f} {id_}", flush=True)

    do_POST = do_GET  # noqa: N815

    def answer(self, status, id_, body, not_run):
        """Send an answer with a length."""
        self.send_response(status)
        self.send_header("X-Pollenmount-Attempt-Id", id_)
        self.send_header("X-Pollenmount-Instance-Id", self.server.options.name)
        if not_run:
            self.send_header("X-Pollenmount-Not-Run", "1")
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def answer_in_blocks(self, id_, count, pause_s):
        """Send a success in blocks, one at a time."""
        is_unframed = self.server.options.unframed
        is_stream = "/stream/" in self.path
        self.send_response(200)
        self.send_header("X-Pollenmount-Attempt-Id", id_)
        self.send_header("X-Pollenmount-Response-Stamp", "3e1b.07.5a2.600.0.c9f2a4d1")
        if is_stream:
            self.send_header("Content-Type", "text/event-stream")
        if is_unframed:
            self.send_header("Connection", "close")
            self.close_connection = True
        elif is_stream:
            self.send_header("Transfer-Encoding", "chunked")
        else:
            self.send_header("Content-Length", str(len(whole_answer(id_, count))))
        self.end_headers()
        for number in range(1, count + 1):
            data = block(id_, number)
            if is_stream and not is_unframed:
                data = b"%x\r\n%s\r\n" % (len(data), data)
            self.wfile.write(data)
            self.wfile.flush()
            time.sleep(pause_s)
        if is_stream and not is_unframed:
            self.wfile.write(b"0\r\n\r\n")


class Server(http.server.ThreadingHTTPServer):
    """HTTP server that reports no broken connections."""

    daemon_threads = True
    request_queue_size = 128

    def handle_error(self, request, client_address):
        """Report nothing."""


class Heartbeats:
    """Sends heartbeats to the control VMs until the process ends."""

    def __init__(self, options):
        self.options = options
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.removed_at = None
        self.wakes = threading.Event()

    def run(self):
        """Send heartbeats, the first ones of a notice at once."""
        while True:
            self.send()
            self.wakes.wait(self.options.heartbeat_ms / 1000)
            self.wakes.clear()

    def begin_notice(self):
        """Begin to leave: this process ends when the time of the notice is over."""
        self.removed_at = time.monotonic() + self.options.remaining_ms / 1000
        threading.Thread(target=self.end_at_notice, daemon=True).start()
        self.wakes.set()

    def end_at_notice(self):
        """End this process when the time of the notice has run out."""
        time.sleep(max(0.0, self.removed_at - time.monotonic()))
        print(f"REMOVED {time.monotonic():.3f}", flush=True)
        os.kill(os.getpid(), signal.SIGKILL)

    def document(self):
        """Return the next heartbeat."""
        self.sequence += 1
        document = {
            "backend": self.options.service,
            "addr": self.options.listen,
            "zone": self.options.zone,
            "version": "v1",
            "slots": 128,
            "state": "ready",
            "warmup_left_ms": 0,
            "seq": self.sequence,
            "born": self.born,
        }
        if self.removed_at is not None:
            remaining_s = max(0.0, self.removed_at - time.monotonic())
            document["state"] = "draining"
            document["remaining_ms"] = int(1000 * remaining_s)
        return document

    def send(self):
        """Send a heartbeat to the first control VM that acknowledges it."""
        addresses = self.options.control.split(",")
        start = self.sequence % len(addresses)
        document = self.document()
        for address in (*addresses[start:], *addresses[:start]):
            if self.put(address, document):
                if document["state"] == "draining":
                    print(f"NOTICED {time.monotonic():.3f}", flush=True)
                return

    def put(self, address, document):
        """Send a heartbeat to one control VM; return whether it acknowledged it."""
        host, _, port = address.rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=1)
        with contextlib.closing(connection):
            try:
                path = f"/-/instances/{self.options.name}"
                connection.request("PUT", path, json.dumps(document))
                return connection.getresponse().status == 200
            except (OSError, http.client.HTTPException):
                return False


def main():
    """Run a replica until it is ended."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--name", required=True)
    parser.add_argument("--service", required=True)
    parser.add_argument("--zone", required=True)
    parser.add_argument("--listen", required=True)
    parser.add_argument("--control", required=True)
    parser.add_argument("--heartbeat-ms", type=int, default=1200)
    parser.add_argument("--unframed", action="store_true")
    parser.add_argument("--remaining-ms", type=int, default=2000)
    options = parser.parse_args()
    host, _, port = options.listen.rpartition(":")
    server = Server((host, int(port)), Handler)
    server.options = options
    server.heartbeats = Heartbeats(options)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    server.heartbeats.run()


if __name__ == "__main__":
    main()
