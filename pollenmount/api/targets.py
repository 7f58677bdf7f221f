"""Targets' interface: announce and leave."""

import msgspec

from pollenmount.api.web import json_reply, refusal_reply
from pollenmount.errors import Refusal, RefusalKind
from pollenmount.targets.table import Announcement, Leave

__all__ = ["TargetsApi"]

MAX_BODY_BYTES = 1 << 20


class TargetsApi:
    """Handles `POST /v1/announce` and `POST /v1/leave`."""

    def __init__(self, table):
        self.table = table
        self.verbs = {
            "/v1/announce": (Announcement, table.announce),
            "/v1/leave": (Leave, table.leave),
        }

    def handle(self, request):
        """Answer one request of a target."""
        if request.path not in self.verbs or request.method != "POST":
            message = "use POST /v1/announce or POST /v1/leave"
            return refusal_reply(Refusal(RefusalKind.UNKNOWN_PATH, message))
        type_, take_in = self.verbs[request.path]
        body = request.read(MAX_BODY_BYTES)
        if isinstance(body, Refusal):
            return refusal_reply(body)
        try:
            said = msgspec.json.decode(body, type=type_)
        except msgspec.DecodeError as error:
            message = f"{error}; send the document of docs/OPERATORS.md"
            return refusal_reply(Refusal(RefusalKind.BAD_REQUEST, message))
        refusal = take_in(said)
        if refusal:
            return refusal_reply(refusal)
        resync = said.name in self.table.needs_resync
        return json_reply({"ttl_ms": self.table.ttl_ms, "cache_resync": resync})
