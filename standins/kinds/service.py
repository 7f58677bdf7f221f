"""Stand-in for a plain service: filing, lookup, contact, invoice, status.

`POST` runs count per idempotency key. With the fault `cut` an answer breaks off after
the run; with `--deduplicate` a repeat of a key gets the first answer again.
"""

import json

from pollenmount.api.web import Reply, json_reply
from pollenmount.plugin import register
from standins.base import FAMILY, Standin

__all__ = ["Service"]


@register(FAMILY, "service")
class Service(Standin):
    """A plain service that records what it is asked to do."""

    @classmethod
    def parser(cls):
        """Return the parser of the command-line flags."""
        parser = super().parser()
        parser.add_argument("--services", required=True, help="names, by commas")
        parser.add_argument("--deduplicate", action="store_true")
        return parser

    def __init__(self, args):
        super().__init__(args)
        self.answers = {}

    def offer(self):
        """Return the services it offers."""
        return {"kind": "service", "services": self.args.services.split(",")}

    def run(self, request, body):
        """Run one call."""
        headers = self.answer_id(request)
        if request.method in ("GET", "HEAD"):
            document = {"status": "open", "path": request.path, "by": self.args.name}
            return json_reply(document, 200, headers)
        key = request.header("Idempotency-Key")
        if self.args.deduplicate and key in self.answers:
            return json_reply(self.answers[key], 201, headers)
        self.runs[key] = self.runs.get(key, 0) + 1
        number = sum(self.runs.values())
        document = {"receipt": f"{self.args.name}-{number}", "bytes": len(body)}
        self.answers[key] = document
        if self.faults.get("cut"):
            return Reply(201, tuple(headers), cut_answer(json.dumps(document).encode()))
        return json_reply(document, 201, headers)


def cut_answer(data):
    """Yield half of the data, then break off."""
    yield data[: len(data) // 2]
    raise ConnectionError("cut by a fault switch")
