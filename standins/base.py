"""Common base of the stand-ins: HTTP server, announcements, fault switches, counters.

Besides its own interface, every stand-in serves `POST /standin/faults` (a JSON object
that replaces its fault switches), `GET /standin/counts` and `POST /standin/leave`.
"""

import argparse
import json
import os
import signal
import uuid

import eventlet
import urllib3

from pollenmount.api.web import WebServer, json_reply, make_app

__all__ = ["FAMILY", "Standin", "serve"]

FAMILY = "standins.kinds"
ANNOUNCE_INTERVAL_S = 1.0
POST_TIMEOUT_S = 1.0
MAX_BODY_BYTES = 16 << 20


class Standin:
    """Base class of the stand-ins.

    Fault switches that every stand-in supports: `silent` (accepts requests and doesn't
    respond), `slow_ms` (delay added to each response), `crossed` (responds with a wrong
    request id), `not_run` (refuses requests without running them), `mute` (stops
    sending announcements), `load` (number of running requests that it reports),
    `end_on` (text in the body of a request that ends the process) and `end_after_ms`
    (how long after such a request arrives that is, meanwhile it runs).
    """

    @classmethod
    def parser(cls):
        """Return a parser for the command-line flags common to all stand-ins."""
        parser = argparse.ArgumentParser(description=cls.__doc__)
        parser.add_argument("--name", required=True)
        parser.add_argument("--listen", required=True, help="IP:port")
        parser.add_argument(
            "--entries",
            required=True,
            help="IP:port of the VMs to announce to, separated by commas",
        )
        parser.add_argument("--slots", type=int, default=8)
        parser.add_argument(
            "--faults",
            type=json.loads,
            default={},
            help="initial fault switches, a JSON object",
        )
        return parser

    def __init__(self, args):
        self.args = args
        self.incarnation = uuid.uuid4().hex
        self.sequence = 0
        self.faults = dict(args.faults)
        self.run_counts = {}
        self.calls = 0
        self.running = 0
        self.waiting = 0
        self.draining = False
        self.pool = urllib3.PoolManager(retries=False, timeout=POST_TIMEOUT_S)

    def capabilities(self):
        """Return the fields of the announcement that say what this target can run."""
        raise NotImplementedError

    def run(self, request, body):
        """Run one request and return its response."""
        raise NotImplementedError

    def handle(self, request):
        """Handle one HTTP request."""
        body = request.read(MAX_BODY_BYTES)
        if request.path == "/standin/faults":
            self.faults = json.loads(body)
            return json_reply(self.faults)
        if request.path == "/standin/counts":
            return json_reply(self.counts())
        if request.path == "/standin/leave":
            self.leave()
            return json_reply({})
        return self.run_with_faults(request, body)

    def run_with_faults(self, request, body):
        """Run one request, with the faults that are switched on."""
        self.calls += 1
        end_on = self.faults.get("end_on")
        if end_on and end_on.encode() in body:
            self.end_process(self.faults.get("end_after_ms", 0))
        if self.faults.get("not_run"):
            return json_reply({}, 503, [("Pollenmount-Not-Run", "yes")])
        if self.faults.get("silent"):
            eventlet.sleep(3600)
        eventlet.sleep(self.faults.get("slow_ms", 0) / 1000)
        return self.run(request, body)

    def end_process(self, after_ms):
        """End this process by SIGKILL, at once or a while later."""
        kill = os.getpid(), signal.SIGKILL
        if after_ms:
            eventlet.spawn_after(after_ms / 1000, os.kill, *kill)
        else:
            os.kill(*kill)

    def request_id_headers(self, request):
        """Return the response headers that carry the id of the request."""
        request_id = request.header("X-Request-Id")
        return [
            ("X-Request-Id", "another" if self.faults.get("crossed") else request_id)
        ]

    def counts(self):
        """Return the counters of calls, runs by idempotency key and running calls."""
        return {"calls": self.calls, "runs": self.run_counts, "running": self.running}

    def make_announcement(self):
        """Return an announcement with the next sequence number."""
        self.sequence += 1
        return {
            "name": self.args.name,
            "incarnation": self.incarnation,
            "sequence": self.sequence,
            "address": self.args.listen,
            "slots": self.args.slots,
            "running": self.faults.get("load", self.running),
            "waiting": self.waiting,
            "draining": self.draining,
            **self.capabilities(),
        }

    def post_to_entries(self, path, document):
        """Post a document to every entry VM, without waiting for the responses."""
        for address in self.args.entries.split(","):
            eventlet.spawn_n(self.post, f"http://{address}{path}", document)

    def post(self, url, document):
        """Post one document; failures are ignored, as announcements are repeated."""
        try:
            reply = self.pool.request("POST", url, body=json.dumps(document))
        except urllib3.exceptions.HTTPError:
            return
        if reply.status == 200:
            self.handle_announce_reply(reply.json())

    def handle_announce_reply(self, document):
        """Handle the reply of an entry VM to an announcement."""

    def leave(self):
        """Start draining: notify the entry VMs and stop announcing."""
        self.draining = True
        document = {"name": self.args.name, "incarnation": self.incarnation}
        self.post_to_entries("/v1/leave", document)

    def announce_periodically(self):
        """Send announcements at a fixed interval until the process ends."""
        while True:
            if not self.draining and not self.faults.get("mute"):
                self.post_to_entries("/v1/announce", self.make_announcement())
            eventlet.sleep(ANNOUNCE_INTERVAL_S)


def serve(standin):
    """Serve a stand-in until the process ends."""
    WebServer(standin.args.listen, make_app(standin.handle))
    standin.announce_periodically()
