"""HTTP interface for targets: announce and leave."""

from pollenmount.api.web import json_reply, refusal_reply
from pollenmount.documents import UnreadableDocumentError, decode_json
from pollenmount.errors import Refusal, RefusalKind
from pollenmount.settings_rules import find_address_problem
from pollenmount.targets.table import Announcement, Leave

__all__ = ["TargetsApi"]

MAX_BODY_BYTES = 1 << 20


class TargetsApi:
    """Handles `POST /v1/announce` and `POST /v1/leave`."""

    def __init__(self, table):
        self.table = table
        self.handlers = {
            "/v1/announce": (Announcement, self.announce),
            "/v1/leave": (Leave, table.leave),
        }

    def announce(self, announcement):
        """Store an announcement; return a `Refusal` or None."""
        problem = find_address_problem(announcement.address)
        if problem:
            message = f"announce an address IP:port, not one {problem}"
            return Refusal(RefusalKind.BAD_REQUEST, message)
        return self.table.announce(announcement)

    def handle(self, request):
        """Return the reply to one request of a target."""
        if request.path not in self.handlers or request.method != "POST":
            message = "use POST /v1/announce or POST /v1/leave"
            return refusal_reply(Refusal(RefusalKind.UNKNOWN_PATH, message))
        type_, apply = self.handlers[request.path]
        body = request.read(MAX_BODY_BYTES)
        if isinstance(body, Refusal):
            return refusal_reply(body)
        try:
            decoded = decode_json(body, type_)
        except UnreadableDocumentError as error:
            message = f"{error}; send the document described in docs/OPERATORS.md"
            return refusal_reply(Refusal(RefusalKind.BAD_REQUEST, message))
        refusal = apply(decoded)
        if refusal:
            return refusal_reply(refusal)
        resync = decoded.name in self.table.needs_resync
        return json_reply({"ttl_ms": self.table.ttl_ms, "cache_resync": resync})
