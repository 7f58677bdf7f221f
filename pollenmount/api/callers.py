"""Callers' interface: chat completions, models, entries, and calls to services."""

import json
import uuid

from result import Err, Ok

from pollenmount.api.answer import Answerer
from pollenmount.api.entries import list_entries
from pollenmount.api.web import json_reply, refusal_reply
from pollenmount.errors import Refusal, RefusalKind
from pollenmount.plans.plan import (
    CLASSES,
    INTERACTIVE,
    get_caller_by_key,
    get_model_by_name,
    get_service_by_path,
    parse_model_name,
)
from pollenmount.routing.attempt import HOP_HEADERS, clean_headers
from pollenmount.routing.request import (
    Call,
    ModelRoute,
    ServiceRoute,
    is_idempotent,
    route_class,
)
from pollenmount.routing.rules import check_caller_region, check_rights

__all__ = ["CallersApi"]

CHAT_PATH = "/v1/chat/completions"
OWN_PREFIX = "/v1/"
DROPPED_HEADERS = HOP_HEADERS | {"authorization", "x-request-id", "idempotency-key"}
DEADLINE_MS = {INTERACTIVE: 30_000}
DEFERRED_DEADLINE_MS = 600_000
MAX_DEADLINE_MS = 3_600_000
MAX_KEY_CHARS = 200


class CallersApi:
    """Handles the requests of callers.

    `kernel` gives the view, the clock and the parts that run calls.
    """

    def __init__(self, kernel):
        self.kernel = kernel
        self.answerer = Answerer(kernel)

    def handle(self, request):
        """Answer one request of a caller."""
        found = self.find_caller(request)
        if isinstance(found, Err):
            return refusal_reply(found.err_value)
        caller = found.ok_value
        if request.method == "GET" and request.path == "/v1/entries":
            return self.entries(caller)
        refusal = check_caller_region(caller, self.kernel.settings.region)
        if refusal:
            return refusal_reply(refusal)
        if request.method == "GET" and request.path == "/v1/models":
            return self.models(caller)
        return self.run(request, caller)

    def find_caller(self, request):
        """Return Ok(caller) or Err(Refusal)."""
        plan = self.kernel.get("plans").plan
        if plan is None:
            message = "no plan is in force here yet; come back or use another VM"
            return Err(Refusal(RefusalKind.NO_PLAN, message, True, 1000))
        key = request.bearer()
        caller = get_caller_by_key(plan, key) if key else None
        if caller is None:
            message = "unknown key; send yours as 'Authorization: Bearer KEY'"
            return Err(Refusal(RefusalKind.UNAUTHENTICATED, message))
        return Ok(caller)

    def entries(self, caller):
        """Return the entry VMs that this caller may use."""
        settings = self.kernel.settings
        members = self.kernel.get("members").live()
        document = list_entries(
            members, settings.region, settings.failure_domain, caller.regions
        )
        return json_reply(document)

    def models(self, caller):
        """Return the models that this caller may use."""
        names = []
        for versions in self.kernel.get("plans").plan.models.values():
            for model in versions:
                if check_rights(caller, ModelRoute(model, "")) is None:
                    names.append(f"{model.name}@{model.version}")
        data = [{"id": name, "object": "model", "owned_by": "plan"} for name in names]
        return json_reply({"object": "list", "data": data})

    def run(self, request, caller):
        """Run a call of a model or a service and return its answer."""
        if self.kernel.refusing:
            message = "this VM is stopping; use another one of /v1/entries"
            return refusal_reply(Refusal(RefusalKind.STOPPING, message, True, 1000))
        made = self.make_call(request, caller)
        if isinstance(made, Err):
            return refusal_reply(made.err_value)
        return self.answerer.answer(made.ok_value, request.connection)

    def make_call(self, request, caller):
        """Return Ok(Call) or Err(Refusal)."""
        body = request.read(self.kernel.settings.max_body_bytes)
        if isinstance(body, Refusal):
            return Err(body)
        routed = self.route(request, body)
        if isinstance(routed, Err):
            return routed
        route, stream = routed.ok_value
        refusal = check_rights(caller, route)
        if refusal:
            return Err(refusal)
        return self.finish_call(request, caller, body, route, stream)

    def finish_call(self, request, caller, body, route, stream):
        """Return Ok(Call) with class, deadline and key checked, or Err(Refusal)."""
        class_ = request.header("Pollenmount-Class") or route_class(route)
        if class_ not in CLASSES:
            message = f"unknown class; set Pollenmount-Class to one of {CLASSES}"
            return Err(Refusal(RefusalKind.BAD_REQUEST, message))
        default = DEADLINE_MS.get(class_, DEFERRED_DEADLINE_MS)
        wanted = request.header("Pollenmount-Deadline-Ms") or str(default)
        if not wanted.isdecimal() or not 0 < int(wanted) <= MAX_DEADLINE_MS:
            message = f"set Pollenmount-Deadline-Ms from 1 to {MAX_DEADLINE_MS}"
            return Err(Refusal(RefusalKind.BAD_REQUEST, message))
        key = request.header("Idempotency-Key")
        if len(key) > MAX_KEY_CHARS or not key.isprintable():
            message = f"use an Idempotency-Key of at most {MAX_KEY_CHARS} characters"
            return Err(Refusal(RefusalKind.BAD_REQUEST, message))
        if not key and not is_idempotent(route):
            key = uuid.uuid4().hex
        return Ok(
            Call(
                id=uuid.uuid4().hex,
                caller=caller,
                route=route,
                method=request.method,
                path=request.target,
                headers=clean_headers(request.headers(), DROPPED_HEADERS),
                body=body,
                class_=class_,
                deadline=self.kernel.clock.now() + int(wanted),
                key=key,
                stream=stream,
            )
        )

    def route(self, request, body):
        """Return Ok((route, stream)) or Err(Refusal)."""
        if request.path == CHAT_PATH and request.method == "POST":
            return self.route_chat(body)
        if request.path.startswith(OWN_PREFIX):
            message = f"unknown path; use {CHAT_PATH}, /v1/models or /v1/entries"
            return Err(Refusal(RefusalKind.UNKNOWN_PATH, message))
        plan = self.kernel.get("plans").plan
        service = get_service_by_path(plan, request.method, request.path)
        if service is None:
            message = "no service has this method and path; see your operator's plan"
            return Err(Refusal(RefusalKind.UNKNOWN_PATH, message))
        return Ok((ServiceRoute(service), False))

    def route_chat(self, body):
        """Return Ok((ModelRoute, stream)) or Err(Refusal) for a chat completion."""
        try:
            document = json.loads(body)
        except (ValueError, RecursionError):
            document = None
        if not isinstance(document, dict) or not isinstance(
            document.get("messages"), list
        ):
            message = "send a JSON object with 'model' and 'messages'"
            return Err(Refusal(RefusalKind.BAD_REQUEST, message))
        name = parse_model_name(str(document.get("model", "")))
        model = get_model_by_name(self.kernel.get("plans").plan, name)
        if model is None:
            message = "unknown model; use one of GET /v1/models"
            return Err(Refusal(RefusalKind.UNKNOWN_MODEL, message))
        stream = document.get("stream", False)
        if not isinstance(stream, bool):
            message = "'stream' must be true or false"
            return Err(Refusal(RefusalKind.BAD_REQUEST, message))
        return Ok((ModelRoute(model, name.adapter), stream))
