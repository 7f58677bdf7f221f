"""HTTP interface for callers: chat completions, models, entry VMs and services."""

import json
import re
import uuid

from result import Err, Ok

from pollenmount.api.call_runner import CallRunner
from pollenmount.api.entries import list_entries
from pollenmount.api.web import json_reply, refusal_reply
from pollenmount.documents import UnreadableDocumentError, check_depth
from pollenmount.errors import Refusal, RefusalKind
from pollenmount.log import get_logger
from pollenmount.memory.holding import charge, holding_of
from pollenmount.plans.plan import (
    CLASSES,
    INTERACTIVE,
    get_caller_by_key,
    get_model_by_name,
    get_service_by_path,
    parse_model_name,
)
from pollenmount.routing.attempt import HOP_BY_HOP_HEADERS, strip_headers
from pollenmount.routing.request import (
    Call,
    ModelRoute,
    ServiceRoute,
    is_idempotent,
    route_class,
)
from pollenmount.routing.rules import check_caller_region, check_rights

__all__ = ["CallersApi"]

ENTRIES_REQUEST = "GET /v1/entries"
MODELS_REQUEST = "GET /v1/models"
CHAT_PATH = "/v1/chat/completions"
RESERVED_PATH_PREFIX = "/v1/"
DROPPED_HEADERS = HOP_BY_HOP_HEADERS | {
    *("authorization", "x-request-id", "idempotency-key", "expect"),
}
DEFAULT_DEADLINE_MS = {INTERACTIVE: 30_000}
DEFAULT_DEFERRED_DEADLINE_MS = 600_000
MAX_DEADLINE_MS = 3_600_000
DEADLINE_FORMAT = re.compile("[0-9]{1,9}")
MAX_KEY_CHARS = 200
RETRY_AFTER_MS = 1000
UNKNOWN_TENANT = "unknown"
NO_CLASS = "none"

logger = get_logger("callers")


class CallersApi:
    """Handles the requests of callers.

    `kernel` provides the plan, the clock and the parts that run calls.
    """

    def __init__(self, kernel):
        self.kernel = kernel
        self.call_runner = CallRunner(kernel)

    def handle(self, request):
        """Return the reply to one request of a caller."""
        method_and_path = f"{request.method} {request.path}"
        if method_and_path == ENTRIES_REQUEST and self.kernel.get("plans").plan is None:
            return self.entries_without_plan()
        caller_result = self.find_caller(request)
        if isinstance(caller_result, Err):
            return self.refuse(caller_result.err_value, UNKNOWN_TENANT)
        caller = caller_result.ok_value
        if method_and_path == ENTRIES_REQUEST:
            return self.entries(caller)
        refusal = check_caller_region(caller, self.kernel.settings.region)
        if refusal:
            return self.refuse(refusal, caller.name)
        if method_and_path == MODELS_REQUEST:
            return self.list_models(caller)
        return self.run_call(request, caller)

    def refuse(self, refusal, tenant):
        """Count and log a request that did not become a call; return the reply."""
        outcome = str(refusal.kind)
        self.kernel.get("metrics").outcomes.labels(tenant, NO_CLASS, outcome).inc()
        fields = {"request": uuid.uuid4().hex, "caller": tenant, "outcome": outcome}
        logger.info("refused", extra={**fields, "class": NO_CLASS, "target": ""})
        return refusal_reply(refusal, [("Pollenmount-Request-Id", fields["request"])])

    def find_caller(self, request):
        """Return Ok(caller) or Err(Refusal)."""
        plan = self.kernel.get("plans").plan
        if plan is None:
            return Err(no_plan_refusal())
        key = request.bearer_token()
        caller = get_caller_by_key(plan, key) if key else None
        if caller is None:
            message = "unknown key; send yours as 'Authorization: Bearer KEY'"
            return Err(Refusal(RefusalKind.UNAUTHENTICATED, message))
        return Ok(caller)

    def entries(self, caller):
        """Return the entry VMs that this caller may use."""
        document = list_entries(
            self.kernel.get("members").live(),
            caller.home,
            self.kernel.settings.failure_domain,
            caller.regions,
        )
        if not document["entries"]:
            return self.refuse(no_entries_refusal(), caller.name)
        return json_reply(document)

    def entries_without_plan(self):
        """Return the entry VMs of this region that have a plan.

        Without a plan, this VM can check neither the key nor the regions that may
        process the caller's data. It lists only its own region, which the caller chose.
        """
        settings = self.kernel.settings
        document = list_entries(
            self.kernel.get("members").live(),
            settings.region,
            settings.failure_domain,
            (settings.region,),
        )
        if not document["entries"]:
            return self.refuse(no_plan_refusal(), UNKNOWN_TENANT)
        return json_reply(document)

    def list_models(self, caller):
        """Return the models that this caller may use."""
        names = []
        for versions in self.kernel.get("plans").plan.models.values():
            for model in versions:
                if check_rights(caller, ModelRoute(model, "")) is None:
                    names.append(f"{model.name}@{model.version}")
        data = [{"id": name, "object": "model", "owned_by": "plan"} for name in names]
        return json_reply({"object": "list", "data": data})

    def run_call(self, request, caller):
        """Run a call to a model or a service and return the reply."""
        if self.kernel.refusing:
            message = "this VM is stopping; use another one from /v1/entries"
            refusal = Refusal(RefusalKind.STOPPING, message, True, RETRY_AFTER_MS)
            return self.refuse(refusal, caller.name)
        call_result = self.make_call(request, caller)
        if isinstance(call_result, Err):
            return self.refuse(call_result.err_value, caller.name)
        call = call_result.ok_value
        if is_idempotent(call.route):
            # A non-idempotent call runs on without its caller, so that a repeat finds
            # its response.
            request.cancel_on_disconnect()
        return self.call_runner.run(call)

    def make_call(self, request, caller):
        """Return Ok(Call) or Err(Refusal)."""
        charge(request, caller.name)
        body = request.read(self.kernel.settings.max_body_bytes)
        if isinstance(body, Refusal):
            return Err(body)
        route_result = self.route(request, body)
        if isinstance(route_result, Err):
            return route_result
        route, stream = route_result.ok_value
        refusal = check_rights(caller, route)
        if refusal:
            return Err(refusal)
        return self.finish_call(request, caller, body, route, stream)

    def finish_call(self, request, caller, body, route, stream):
        """Check class, deadline and key; return Ok(Call) or Err(Refusal)."""
        class_ = request.header("Pollenmount-Class") or route_class(route)
        if class_ not in CLASSES:
            message = f"unknown class; set Pollenmount-Class to one of {CLASSES}"
            return Err(Refusal(RefusalKind.BAD_REQUEST, message))
        default = DEFAULT_DEADLINE_MS.get(class_, DEFAULT_DEFERRED_DEADLINE_MS)
        deadline_text = request.header("Pollenmount-Deadline-Ms") or str(default)
        if (
            not DEADLINE_FORMAT.fullmatch(deadline_text)
            or not 0 < int(deadline_text) <= MAX_DEADLINE_MS
        ):
            message = f"set Pollenmount-Deadline-Ms from 1 to {MAX_DEADLINE_MS}"
            return Err(Refusal(RefusalKind.BAD_REQUEST, message))
        key = request.header("Idempotency-Key")
        if len(key) > MAX_KEY_CHARS or not key.isascii() or not key.isprintable():
            message = f"use an Idempotency-Key of 1 to {MAX_KEY_CHARS} ASCII characters"
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
                headers=forwarded_headers(request),
                body=body,
                class_=class_,
                deadline=self.kernel.clock.now() + int(deadline_text),
                key=key,
                stream=stream,
                # An action goes on without its caller, and must not fail for it.
                holding=holding_of(request) if is_idempotent(route) else None,
            )
        )

    def route(self, request, body):
        """Return Ok((route, stream)) or Err(Refusal)."""
        if request.path == CHAT_PATH and request.method == "POST":
            return self.route_chat(body)
        if request.path.startswith(RESERVED_PATH_PREFIX):
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
        document = parse_chat(body)
        if document is None:
            message = "send a JSON object with 'model' and 'messages', each key once"
            return Err(Refusal(RefusalKind.BAD_REQUEST, message))
        name = parse_model_name(document["model"])
        model = get_model_by_name(self.kernel.get("plans").plan, name)
        if model is None:
            message = "unknown model; use one of GET /v1/models"
            return Err(Refusal(RefusalKind.UNKNOWN_MODEL, message))
        stream = document.get("stream", False)
        if not isinstance(stream, bool):
            message = "'stream' must be true or false"
            return Err(Refusal(RefusalKind.BAD_REQUEST, message))
        return Ok((ModelRoute(model, name.adapter), stream))


def forwarded_headers(request):
    """Return the headers to forward to the target, in the order they were sent."""
    connection_options = request.header("Connection").lower().split(",")
    dropped_names = DROPPED_HEADERS | {option.strip() for option in connection_options}
    return strip_headers(request.headers(), dropped_names)


def parse_chat(body):
    """Return the document of a chat completion request, or None if it is invalid.

    Duplicate keys are rejected: an engine might use the other value.
    """
    try:
        check_depth(body)
        document = json.loads(
            body.decode(),
            object_pairs_hook=reject_duplicate_keys,
            parse_constant=reject_constant,
        )
    except (ValueError, UnreadableDocumentError):
        return None
    is_valid_chat = (
        isinstance(document, dict)
        and isinstance(document.get("model"), str)
        and isinstance(document.get("messages"), list)
        and all(isinstance(message, dict) for message in document["messages"])
    )
    return document if is_valid_chat else None


def reject_duplicate_keys(pairs):
    """Return the dict of the pairs, or raise `ValueError` on a duplicate key."""
    document = dict(pairs)
    if len(document) < len(pairs):
        raise ValueError("duplicate key")
    return document


def reject_constant(text):
    """Reject `NaN` and `Infinity`, which are not JSON."""
    raise ValueError(f"{text} is not JSON")


def no_entries_refusal():
    """Return the refusal of a VM that knows no entry VM for the caller yet."""
    message = "this VM knows no entry VM for you yet; try again later or ask another VM"
    return Refusal(RefusalKind.NO_TARGET, message, True, RETRY_AFTER_MS)


def no_plan_refusal():
    """Return the refusal of a VM that has no plan yet."""
    message = "no plan is in force on this VM yet; try again later or use another VM"
    return Refusal(RefusalKind.NO_PLAN, message, True, RETRY_AFTER_MS)
