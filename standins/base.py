"""What the stand-ins share: HTTP server, announcements, fault switches, counts.

Every stand-in serves `POST /standin/faults` (a JSON object that replaces its fault
switches), `GET /standin/counts` and `POST /standin/leave` besides its own interface.
"""

import argparse
import json
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
    """Base of the stand-ins.

    Fault switches known to all: `silent` (never answers), `slow_ms` (added to each
    answer), `crossed` (answers with another request's id), `not_run` (refuses, unrun),
    `mute` (stops announcing), `load` (the load it reports).
    """

    @classmethod
    def parser(cls):
        """Return the parser of the command-line flags that all stand-ins have."""
        parser = argparse.ArgumentParser(description=cls.__doc__)
        parser.add_argument("--name", required=True)
        parser.add_argument("--listen", required=True, help="IP:port")
        parser.add_argument("--entries", required=True, help="targets' addresses")
        parser.add_argument("--slots", type=int, default=8)
        parser.add_argument("--faults", type=json.loads, default={}, help="JSON")
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
        """Return the part of the announcement that says what it can run."""
        raise NotImplementedError

    def run(self, request, body):
        """Run one request and return its reply."""
        raise NotImplementedError

    def handle(self, request):
        """Answer one request."""
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
        """Run one request under the fault switches."""
        self.calls += 1
        if self.faults.get("not_run"):
            return json_reply({}, 503, [("Pollenmount-Not-Run", "yes")])
        if self.faults.get("silent"):
            eventlet.sleep(3600)
        eventlet.sleep(self.faults.get("slow_ms", 0) / 1000)
        return self.run(request, body)

    def request_id_headers(self, request):
        """Return the headers that name the request this answers."""
        request_id = request.header("X-Request-Id")
        return [
            ("X-Request-Id", "another" if self.faults.get("crossed") else request_id)
        ]

    def counts(self):
        """Return what the stand-in did: calls, and runs by idempotency key."""
        return {"calls": self.calls, "runs": self.run_counts, "running": self.running}

    def make_announcement(self):
        """Return the next announcement."""
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
        """Post a document to every entry VM."""
        for address in self.args.entries.split(","):
            eventlet.spawn_n(self.post, f"http://{address}{path}", document)

    def post(self, url, document):
        """Post one document; an entry VM that is away is tried the next time."""
        try:
            reply = self.pool.request("POST", url, body=json.dumps(document))
        except urllib3.exceptions.HTTPError:
            return
        if reply.status == 200:
            self.handle_announce_reply(reply.json())

    def handle_announce_reply(self, document):
        """Take in what an entry VM answers to an announcement."""

    def leave(self):
        """Leave: take no more work, finish what runs."""
        self.draining = True
        document = {"name": self.args.name, "incarnation": self.incarnation}
        self.post_to_entries("/v1/leave", document)

    def announce_periodically(self):
        """Announce, for ever."""
        while True:
            if not self.draining and not self.faults.get("mute"):
                self.post_to_entries("/v1/announce", self.make_announcement())
            eventlet.sleep(ANNOUNCE_INTERVAL_S)


def serve(standin):
    """Serve a stand-in until the process is ended."""
    WebServer(standin.args.listen, make_app(standin.handle))
    standin.announce_periodically()
