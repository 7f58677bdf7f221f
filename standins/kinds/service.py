"""Stand-in for an HTTP service such as filing, lookup, contact, invoice or status.

Runs of `POST` requests are counted by idempotency key. The fault `cut` truncates the
response after the request has run; with `--deduplicate`, a request with a known key
gets the first response again and doesn't run.
"""

import json

from pollenmount.api.web import Reply, json_reply
from pollenmount.plugin import register
from standins.base import FAMILY, Standin

__all__ = ["Service"]


@register(FAMILY, "service")
class Service(Standin):
    """A service that counts its runs by idempotency key."""

    @classmethod
    def parser(cls):
        """Return the parser of the command-line flags."""
        parser = super().parser()
        parser.add_argument(
            "--services", required=True, help="names, separated by commas"
        )
        parser.add_argument("--deduplicate", action="store_true")
        return parser

    def __init__(self, args):
        super().__init__(args)
        self.responses_by_key = {}

    def capabilities(self):
        """Return the names of the services."""
        return {"kind": "service", "services": self.args.services.split(",")}

    def run(self, request, body):
        """Respond to a read, or count a run and respond with a receipt."""
        headers = self.request_id_headers(request)
        if request.method in ("GET", "HEAD"):
            response = {"status": "open", "path": request.path, "by": self.args.name}
            return json_reply(response, 200, headers)
        key = request.header("Idempotency-Key")
        if self.args.deduplicate and key in self.responses_by_key:
            return json_reply(self.responses_by_key[key], 201, headers)
        self.run_counts[key] = self.run_counts.get(key, 0) + 1
        run_number = sum(self.run_counts.values())
        response = {"receipt": f"{self.args.name}-{run_number}", "bytes": len(body)}
        self.responses_by_key[key] = response
        if self.faults.get("cut"):
            return Reply(
                201, tuple(headers), truncated_body(json.dumps(response).encode())
            )
        return json_reply(response, 201, headers)


def truncated_body(data):
    """Yield half of the data, then fail as a lost connection does."""
    yield data[: len(data) // 2]
    raise ConnectionError("response truncated by the fault cut")
