"""HTTP interface for peers: calls forwarded from other failure domains.

A forwarded call runs on a target of this failure domain; it is not forwarded again.
"""

import contextlib

from pollenmount.api.web import Reply, refusal_reply
from pollenmount.errors import Refusal, RefusalKind
from pollenmount.memory.holding import holding_of
from pollenmount.plans.plan import (
    get_model_by_name,
    get_service_by_path,
    parse_model_name,
)
from pollenmount.routing import forward, pipeline
from pollenmount.routing.request import ModelRoute, ServiceRoute, is_idempotent
from pollenmount.routing.rules import check_caller_region, check_rights

__all__ = ["PeersApi"]


class PeersApi:
    """Handles `POST /v1/forward`."""

    def __init__(self, kernel):
        self.kernel = kernel

    def handle(self, request):
        """Return the reply to one forwarded call, with the call's id."""
        reply = self.reply_to(request)
        return reply._replace(headers=(*reply.headers, *forward.id_headers(request)))

    def reply_to(self, request):
        """Return the reply to one forwarded call."""
        if self.kernel.refusing:
            message = "this VM is stopping; use another one of its failure domain"
            return refuse(Refusal(RefusalKind.STOPPING, message, True, 1000))
        call_or_refusal = self.make_call(request)
        if isinstance(call_or_refusal, Refusal):
            return refuse(call_or_refusal)
        if is_idempotent(call_or_refusal.route):
            # A non-idempotent call runs on without its caller, so that its response
            # is recorded.
            request.cancel_on_disconnect()
        return self.serve_call(call_or_refusal)

    def serve_call(self, call):
        """Return the reply to a call that may run here."""
        with contextlib.ExitStack() as stack:
            # Counted as running, so that a planned stop waits for it.
            stack.enter_context(self.kernel.get("admission").count_running(call.caller))
            response = self.kernel.get("router").serve(call, may_forward=False)
            parts = stack.enter_context(contextlib.closing(response))
            head, rest = pipeline.split_first_part(parts)
            if isinstance(head, Refusal):
                return refuse(head, self.kernel.get("crash_guard").left_ms(call))
            body = stream_body(stack.pop_all(), rest)
        return Reply(200, (forward.encode_head(head),), body)

    def make_call(self, request):
        """Return the `Call`, checked against this node's own plan, or a `Refusal`."""
        kernel = self.kernel
        headers = {
            name: request.header(name)
            for name in (forward.CALL_HEADER, forward.KEY_HEADER)
        }
        forwarded = forward.decode_call(headers, kernel.settings.peer_key)
        if isinstance(forwarded, Refusal):
            return forwarded
        body = request.read(kernel.settings.max_body_bytes)
        if isinstance(body, Refusal):
            return body
        plan = kernel.get("plans").plan
        caller = plan.callers.get(forwarded.key_digest) if plan else None
        route = find_route(plan, forwarded) if plan else None
        if caller is None or route is None:
            message = (
                "the plan in force here lacks this caller or route; try again later"
            )
            return Refusal(RefusalKind.NO_PLAN, message, True, 1000)
        refusal = check_caller_region(caller, kernel.settings.region)
        refusal = refusal or check_rights(caller, route)
        if refusal:
            return refusal
        lease = None
        if not is_idempotent(route):
            attempt = forwarded.attempt
            lease = kernel.get("actions").confirm(caller, forwarded.key, attempt)
            if lease is None:
                message = "this VM cannot confirm the action's lease; send it again"
                return Refusal(RefusalKind.NO_QUORUM, message, True, 1000)
        now = kernel.clock.now()
        call = forward.to_call(forwarded, caller, route, body, now, lease)
        return call if lease else call._replace(holding=holding_of(request))


def find_route(plan, forwarded):
    """Return the route that a forwarded call names, or None."""
    if forwarded.offer:
        name = parse_model_name(forwarded.offer)
        model = get_model_by_name(plan, name)
        return ModelRoute(model, name.adapter) if model else None
    path = forwarded.path.partition("?")[0]
    service = get_service_by_path(plan, forwarded.method, path)
    return ServiceRoute(service) if service else None


def refuse(refusal, quarantine_ms=0):
    """Return the reply that transfers a refusal to the forwarding peer.

    `quarantine_ms` is for how long the request is in quarantine, 0 if it is not.
    """
    headers = [forward.encode_refusal(refusal)]
    return refusal_reply(refusal, headers + forward.encode_quarantine(quarantine_ms))


def stream_body(stack, parts):
    """Yield the bytes of a response; a broken one ends without a final chunk."""
    with stack:
        for part in parts:
            yield part.data
