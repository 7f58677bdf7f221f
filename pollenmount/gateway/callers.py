"""HTTP handlers of an entry VM: for callers, and for hops from other regions."""

import contextlib
import random
import traceback

from pollenmount.accounts.binding import bind_route
from pollenmount.api.endings import End, RequestEndedError, find_end
from pollenmount.api.reply import Reply
from pollenmount.errors import STOPPING_RETRY_MS, Refusal
from pollenmount.gateway.call import Call, ErrorResponse
from pollenmount.gateway.dispatch import (
    LEARNING_INTERVAL_MS,
    MAX_LEARNING_SHARE,
    BrokenResponseError,
)
from pollenmount.gateway.hop import (
    HOP_REQUEST,
    HOP_VERSION,
    decode_hop,
    hop_route,
    id_headers,
    is_hop_header,
    refusal_headers,
)
from pollenmount.gateway.progress import Progress
from pollenmount.gateway.replies import error_reply
from pollenmount.log import get_logger
from pollenmount.memory.holding import charge, holding_of
from pollenmount.routes.plan import RetryMode

__all__ = ["CallersApi", "HopsApi"]

UNAVAILABLE = 503
TOO_MANY_REQUESTS = 429
NOT_FOUND = 404
UNAUTHORIZED = 401
BAD_REQUEST = 400
NO_PLAN_RETRY_MS = 500
# Assumed for a caller that does not say how long it waits.
DEFAULT_TIMEOUT_MS = 2000

logger = get_logger("calls")


class CallersApi:
    """Handles requests of callers.

    `node` provides the settings, clock, store, dialect, dispatcher, budget and metrics
    of this VM.
    """

    def __init__(self, node):
        self.node = node

    def handle(self, request):
        """Return the reply to one request of a caller."""
        received_at = self.node.clock.now()
        info = self.node.dialect.read_caller(request.head)
        self.wait_for_plan(info, received_at)
        if self.node.store.has_accounts:
            info = self.node.dialect.read_caller(request.head, has_accounts=True)
        error_response = self.check_acceptable(info)
        if error_response:
            return self.reject(info, error_response)
        result = self.make_call(request, info, received_at)
        if not isinstance(result, Call):
            return self.reject(info, result)
        if result.route.retry_mode is not RetryMode.ONCE:
            request.cancel_on_disconnect()
        return CallResponder(self.node, request, result, may_hop=True).reply()

    def wait_for_plan(self, info, received_at):
        """Wait for the first plan if this VM has just started, for a bounded time."""
        node = self.node
        timeout_ms = info.timeout_ms or DEFAULT_TIMEOUT_MS
        wait_until = received_at + MAX_LEARNING_SHARE * timeout_ms
        while (
            node.store.plan is None
            and node.dispatcher.context.is_learning()
            and node.clock.now() < wait_until
            and not node.refusing
        ):
            node.dispatcher.sleep(LEARNING_INTERVAL_MS)

    def check_acceptable(self, info):
        """Return an `ErrorResponse` if this VM cannot take the request now, or None."""
        if self.node.refusing:
            return ErrorResponse(UNAVAILABLE, "this VM is stopping", STOPPING_RETRY_MS)
        if self.node.store.plan is None:
            return ErrorResponse(
                UNAVAILABLE, "no plan is in force yet", NO_PLAN_RETRY_MS
            )
        if not info.id:
            return ErrorResponse(BAD_REQUEST, "the request has no id; send one")
        return None

    def make_call(self, request, info, received_at):
        """Return the `Call` for a request, or an `ErrorResponse` or `Refusal`."""
        store = self.node.store
        path = request.target.partition("?")[0]
        route = store.find_route(info.host, path)
        if route is None:
            return ErrorResponse(NOT_FOUND, "no route matches this host and path")
        account = store.find_account(info.key)
        if account is None and store.has_accounts and not route.public:
            return ErrorResponse(UNAUTHORIZED, "unknown key; send one of your account")
        route = bind_route(route, account)
        if route is None:
            reason = "no region is a home of both the route and the account"
            return ErrorResponse(UNAVAILABLE, reason)
        plan = store.version
        if account:
            charge(request, account.name)
        body = request.read(store.limits.body_bytes)
        if isinstance(body, Refusal):
            return body
        wait_ms = self.admit(account, info, received_at) if account else 0
        if wait_ms:
            reason = "the quota of the account is used up"
            return ErrorResponse(TOO_MANY_REQUESTS, reason, wait_ms)
        timeout_ms = route.timeout_ms
        if info.timeout_ms is not None:
            timeout_ms = min(timeout_ms, info.timeout_ms)
        return Call(
            info,
            route,
            pick_service(route),
            request.method,
            request.target,
            body,
            received_at,
            received_at + timeout_ms,
            plan,
            account=account.name if account else "",
            holding=holding_of(request),
        )

    def admit(self, account, info, received_at):
        """Return 0 if the quota admits a request, else after how many ms it could.

        A VM that has stood still waits until it hears of the levels, for a bounded
        time.
        """
        node = self.node
        timeout_ms = info.timeout_ms or DEFAULT_TIMEOUT_MS
        wait_until = received_at + MAX_LEARNING_SHARE * timeout_ms
        while (
            node.quotas.awaits_news(account)
            and node.clock.now() < wait_until
            and not node.refusing
        ):
            node.dispatcher.sleep(LEARNING_INTERVAL_MS)
        return node.quotas.admit(account, info.prompt, info.id)

    def reject(self, info, error_response):
        """Log a request that is rejected before it becomes a call; return the reply."""
        if isinstance(error_response, Refusal):
            error_response = ErrorResponse(
                error_response.status,
                error_response.message,
                error_response.retry_after_ms,
            )
        self.node.metrics.count_refusal(error_response)
        logger.info(
            "refused",
            extra={
                "request": info.id,
                "host": info.host,
                "status": error_response.status,
                "reason": error_response.reason,
                "plan": self.node.store.version,
            },
        )
        return error_reply(error_response)


class HopsApi:
    """Handles requests that entry VMs of other regions forward here."""

    def __init__(self, node):
        self.node = node

    def handle(self, request):
        """Return the reply to one request of another entry VM, with its id."""
        info = self.node.dialect.read_caller(request.head)
        reply = self.reply_to(request, info)
        return reply._replace(headers=(*reply.headers, *id_headers(info.id)))

    def reply_to(self, request, info):
        """Return the reply to one request of another entry VM."""
        received_at = self.node.clock.now()
        headers = tuple(h for h in info.headers if not is_hop_header(h[0]))
        info = info._replace(headers=headers)
        hop = decode_hop(request.header(HOP_REQUEST))
        # A hop that is refused goes to another VM, so a VM that stops takes none, and
        # has its whole grace period for those that run.
        if hop is None or self.node.store.plan is None or self.node.stopping:
            reason = "this VM cannot accept requests from other regions now"
            error_response = ErrorResponse(UNAVAILABLE, reason, STOPPING_RETRY_MS)
            headers = refusal_headers(error_response, True, is_ready=False)
            return error_reply(error_response, headers)
        if hop.account:
            charge(request, hop.account)
        body = request.read(self.node.store.limits.body_bytes)
        if isinstance(body, Refusal):
            error_response = ErrorResponse(body.status, body.message)
            headers = refusal_headers(
                error_response, True, is_ready=not self.node.stopping
            )
            return error_reply(error_response, headers)
        call = Call(
            info,
            hop_route(hop),
            hop.service,
            request.method,
            request.target,
            body,
            received_at,
            received_at + hop.remaining_ms,
            hop.plan_version,
            hop.version,
            hop.account,
            holding_of(request),
        )
        request.cancel_on_disconnect()
        return CallResponder(self.node, request, call, may_hop=False).reply()


class CallResponder:
    """Runs one call, converts the response into a reply, and logs the outcome.

    `node.calls` contains it until the call ends.
    """

    def __init__(self, node, request, call, may_hop):
        self.node = node
        self.request = request
        self.call = call
        self.may_hop = may_hop
        self.progress = Progress(call)
        self.finished = False
        node.calls.add(self)

    def reply(self):
        """Return the reply; the body of a stream is still to be generated."""
        stack = contextlib.ExitStack()
        response = self.node.dispatcher.serve(self.call, self.progress, self.may_hop)
        parts = stack.enter_context(contextlib.closing(response))
        try:
            head = next(parts)
        except RequestEndedError:
            stack.close()
            return self.reject(self.node.dispatcher.end_early(self.call, self.progress))
        except BaseException as error:
            self.finish_interrupted(error)
            raise
        if isinstance(head, ErrorResponse):
            stack.close()
            return self.reject(head)
        return self.start_response(head, parts, stack)

    def start_response(self, head, parts, stack):
        """Return the reply for a response whose head has arrived."""
        if self.call.route.retry_mode is RetryMode.STREAM and head.status < BAD_REQUEST:
            headers = head.headers
            if not self.may_hop:
                headers = (*headers, (HOP_VERSION, head.version))
            return Reply(head.status, headers, self.stream(parts, stack))
        with stack:
            body = b"".join(parts)
        self.finish("answered", head)
        length = ("Content-Length", str(len(body)))
        return Reply(head.status, (*head.headers, length), [body])

    def stream(self, parts, stack):
        """Yield the bytes of a stream; a broken one is ended without a final chunk."""
        progress = self.progress
        with stack:
            try:
                for part in parts:
                    yield part
                    progress.delivered_bytes += len(part)
            except BrokenResponseError as error:
                self.finish(f"broken: {error}", progress.head)
                raise
            except BaseException as error:
                self.finish_interrupted(error, progress.head)
                raise
            self.finish("answered", progress.head)

    def finish_interrupted(self, error, head=None):
        """Log the outcome of a call that `error` interrupted.

        The server closes the stream (`GeneratorExit`) after a failed write.
        """
        if isinstance(error, Exception) and not isinstance(error, RequestEndedError):
            frames = traceback.format_tb(error.__traceback__)
            detail = {"request": self.call.id, "error": type(error).__name__}
            logger.error("call failed", extra={**detail, "frames": frames})
            self.finish(f"failed: {type(error).__name__}", head)
        elif isinstance(error, GeneratorExit):
            self.finish(self.request.find_end() or End.CANCELLED, head)
        else:
            self.finish(find_end(error), head)

    def cut(self):
        """Log that the call ends with this process."""
        self.finish(End.CUT_AT_STOP, self.progress.head)

    def reject(self, error_response):
        """Return the reply for a call that got no response from a target."""
        self.finish(error_response.reason, error_response)
        is_charged = self.may_hop and bool(self.call.account)
        if is_charged and error_response.status == UNAVAILABLE:
            self.node.quotas.refund(self.call.account, self.call.info.prompt)
        headers = ()
        if not self.may_hop:
            not_run = error_response.status == UNAVAILABLE
            # Another VM of the region may still take what this one can't.
            paths = self.node.dispatcher.context.paths
            is_unfit = self.node.stopping or paths.is_lost
            is_ready = not (not_run and is_unfit)
            headers = refusal_headers(
                error_response, not_run, self.progress.sends, is_ready
            )
        return error_reply(error_response, headers)

    def finish(self, outcome, head=None):
        """Log and count the outcome of the call, once."""
        if self.finished:
            return
        self.finished = True
        self.node.calls.discard(self)
        call, progress = self.call, self.progress
        now = self.node.clock.now()
        elapsed_ms = now - call.received_at
        status = head.status if head else 0
        destination, prompt = progress.destination, call.info.prompt
        first_ms = (
            progress.first_chunk_at - call.received_at
            if progress.first_chunk_at
            else None
        )
        metrics = self.node.metrics
        metrics.count_call(call, status, outcome, elapsed_ms, self.may_hop)
        metrics.attempts.labels(call.service).inc(progress.sends)
        if self.may_hop:
            metrics.count_lateness(call, progress, now)
        logger.info(
            "call ended",
            extra={
                "request": call.id,
                "digest": progress.digest,
                "resumes": call.info.resumes,
                "route": call.route.name,
                "account": call.account,
                "service": call.service,
                "hop": not self.may_hop,
                "outcome": outcome,
                "status": status,
                "elapsed_ms": elapsed_ms,
                "waited_ms": progress.waited_ms,
                "expected_ms": progress.expected_ms,
                "first_ms": first_ms,
                "prompt_tokens": prompt.tokens if prompt else 0,
                "output_tokens": prompt.output_tokens if prompt else 0,
                "longest_gap_ms": progress.longest_gap_ms,
                "last_gap_ms": progress.last_gap_ms(now),
                "delivered_bytes": progress.delivered_bytes,
                "last_event": progress.last_id,
                "place": destination.name if destination else "",
                "version": destination.version if destination else "",
                "stream_version": progress.version,
                "versions": progress.versions,
                "origin_source": progress.origin_source,
                "view_age_ms": progress.view_age_ms,
                "ran_in": destination.region if destination else "",
                "sends": progress.sends,
                "runs": progress.runs,
                "attempts": call.route.attempts,
                "remaining_ms": progress.remaining_ms,
                "paused_ms": progress.paused_ms,
                "known_crashes": progress.known_crashes,
                "obstacles": progress.obstacles,
                "plan": call.plan_version,
                "evacuations": self.node.fleet.evacuations.revision,
                "belief": progress.belief._asdict() if progress.belief else None,
            },
        )


def pick_service(route):
    """Return a service of the route, drawn by the weights of its splits."""
    if len(route.splits) == 1:
        return route.splits[0].service
    names = [split.service for split in route.splits]
    weights = [split.weight for split in route.splits]
    return random.choices(names, weights)[0]
