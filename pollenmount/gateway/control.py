"""HTTP handlers of a control VM: for operators, targets and the directory."""

import collections

from result import Err

from pollenmount.errors import Refusal, SheetError
from pollenmount.fleet.records import ENTRY
from pollenmount.fleet.server import RECONNECT_GRACE_MS
from pollenmount.gateway.call import ErrorResponse
from pollenmount.gateway.dialect import ControlRequestKind
from pollenmount.gateway.evacuation_orders import Order
from pollenmount.gateway.replies import document_reply, error_reply
from pollenmount.log import get_logger
from pollenmount.routes.check import find_faults

__all__ = ["ControlApi", "DirectoryApi"]

MAX_DOCUMENT_BYTES = 16 << 20
MAX_HEARTBEAT_BYTES = 1 << 20
NOT_FOUND = 404
BAD_REQUEST = 400
UNAVAILABLE = 503
RETRY_AFTER_MS = 300
# Targets turn to another VM after a second without a response.
MAX_REPORT_AGE_MS = 1000
MAX_DIRECTORY_ENTRIES = 64
STARTUP_DELAY_MS = 1200
# Until a VM whose link was lost, and that has not linked again, is dropped.
DROP_DELAY_MS = 500
EMPTY_DOCUMENT = b"{}"

logger = get_logger("control")


class ControlApi:
    """Handles requests of operators and targets.

    `log` is the replicated log, and `server` holds the links to members.
    """

    def __init__(self, node, log, server):
        self.node = node
        self.log = log
        self.server = server
        self.handlers = {
            ControlRequestKind.PUT_PLAN: self.put_plan,
            ControlRequestKind.GET_PLAN: self.get_plan,
            ControlRequestKind.EVACUATE: self.evacuate,
            ControlRequestKind.END_EVACUATION: self.end_evacuation,
            ControlRequestKind.HEARTBEAT: self.handle_heartbeat,
            ControlRequestKind.LEAVE: self.handle_leave,
        }

    def handle(self, request):
        """Return the reply to one request."""
        control_request = self.node.dialect.read_control_request(
            request.method, request.target
        )
        handler = self.handlers.get(control_request.kind) if control_request else None
        if handler is None:
            return error_reply(ErrorResponse(NOT_FOUND, "unknown method or path"))
        return handler(request, control_request)

    def put_plan(self, request, control_request):
        """Validate a plan and append it to the replicated log."""
        body = request.read(MAX_DOCUMENT_BYTES)
        if isinstance(body, Refusal):
            return self.reject("plan refused", to_error_response(body))
        try:
            plan = self.node.dialect.read_plan(body)
        except SheetError as error:
            return self.reject("plan refused", ErrorResponse(BAD_REQUEST, str(error)))
        faults = [str(fault) for fault in find_faults(plan)]
        if faults:
            return self.reject(
                "plan refused", ErrorResponse(BAD_REQUEST, "\n".join(faults))
            )
        result = self.log.accept(plan.version, body)
        if isinstance(result, Err):
            return self.reject("plan not accepted", to_error_response(result.err_value))
        logger.info(
            "plan accepted",
            extra={
                "plan": plan.version,
                "newest": result.ok_value.version,
                "revision": result.ok_value.revision,
            },
        )
        return document_reply(EMPTY_DOCUMENT)

    def get_plan(self, request, control_request):
        """Return the newest plan, by a linearizable read."""
        result = self.log.read()
        if isinstance(result, Err):
            return self.reject("plan not read", to_error_response(result.err_value))
        if not result.ok_value:
            return error_reply(
                ErrorResponse(UNAVAILABLE, "no plan has been accepted yet")
            )
        return document_reply(result.ok_value)

    def evacuate(self, request, control_request):
        """Evacuate a failure domain."""
        return self.set_evacuation(request, control_request.name, True)

    def end_evacuation(self, request, control_request):
        """End the evacuation of a failure domain."""
        return self.set_evacuation(request, control_request.name, False)

    def set_evacuation(self, request, failure_domain, evacuated):
        """Append the start or the end of an evacuation to the replicated log."""
        if failure_domain not in self.node.settings.failure_domains:
            return error_reply(ErrorResponse(NOT_FOUND, "unknown failure domain"))
        fields = {"domain": failure_domain, "evacuated": evacuated}
        received_at = self.node.clock.now()
        read_delay_ms = self.node.loop_monitor.read_delay_ms()
        self.log_order("order received", request, read_delay_ms=read_delay_ms, **fields)
        order = Order(failure_domain, evacuated, received_at - read_delay_ms)
        result = self.log.evacuate(order, request.has_caller)
        fields["elapsed_ms"] = self.node.clock.now() - received_at
        if isinstance(result, Err):
            return self.reject("evacuation not accepted", result.err_value, **fields)
        fields |= result.ok_value._asdict()
        self.log_order("evacuation accepted", request, **fields)
        return document_reply(EMPTY_DOCUMENT)

    def log_order(self, event, request, **fields):
        """Log an order, what is known of evacuations, and whether its caller waits."""
        extra = {
            **fields,
            "known_revision": self.node.fleet.evacuations.revision,
            "in_touch": self.log.has_quorum(),
            "caller_waits": request.has_caller(),
        }
        logger.info(event, extra=extra)

    def handle_heartbeat(self, request, control_request):
        """Handle a target's heartbeat."""
        body = request.read(MAX_HEARTBEAT_BYTES)
        if isinstance(body, Refusal):
            return error_reply(to_error_response(body))
        record = self.node.dialect.read_target(control_request.name, body)
        if record is None:
            error_response = ErrorResponse(
                BAD_REQUEST, "the heartbeat document is invalid"
            )
            return self.reject(
                "heartbeat refused", error_response, target=control_request.name
            )
        if self.may_be_outdated():
            return self.reject_outdated("heartbeat refused", control_request.name)
        self.server.targets.handle_heartbeat(record)
        return document_reply(self.node.dialect.write_heartbeat_reply())

    def handle_leave(self, request, control_request):
        """Handle a target's announcement that it leaves."""
        if self.may_be_outdated():
            return self.reject_outdated("leave refused", control_request.name)
        self.server.targets.handle_leave(control_request.name)
        logger.info("target leaves", extra={"target": control_request.name})
        return document_reply(EMPTY_DOCUMENT)

    def may_be_outdated(self):
        """Return whether a target may have sent what is read now some time ago.

        It has told another VM since, or has even ended and started again.
        """
        return self.node.loop_monitor.read_delay_ms() > MAX_REPORT_AGE_MS

    def reject_outdated(self, event, target):
        """Reject what a target may have sent before this VM stood still."""
        reason = "this VM stood still, and the target may have told others since"
        error_response = ErrorResponse(UNAVAILABLE, reason, RETRY_AFTER_MS)
        return self.reject(event, error_response, target=target)

    def reject(self, event, error_response, **more):
        """Log a rejected request under the message `event`; return the reply."""
        fields = {
            "status": error_response.status,
            "reason": error_response.reason,
            **more,
        }
        logger.info(event, extra=fields)
        return error_reply(error_response)


def to_error_response(refusal):
    """Return the `ErrorResponse` for a `Refusal`."""
    return ErrorResponse(refusal.status, refusal.message, refusal.retry_after_ms)


class DirectoryApi:
    """Serves the directory, which tells callers the entry VMs to use."""

    def __init__(self, node):
        self.node = node
        self.started_at = node.clock.now()
        self.last_addresses = {}

    def handle(self, request):
        """Return the reply to one look-up in the directory."""
        dialect, settings = self.node.dialect, self.node.settings
        control_request = dialect.read_control_request(request.method, request.target)
        if (
            control_request is None
            or control_request.kind != ControlRequestKind.ENTRIES
        ):
            return error_reply(ErrorResponse(NOT_FOUND, "unknown method or path"))
        addresses = self.choose(
            control_request.region, control_request.name, control_request.host
        )
        has_started = self.node.clock.now() - self.started_at >= STARTUP_DELAY_MS
        is_known = has_started and not self.has_stood_still()
        if not addresses or not is_known or self.node.stopping:
            reason = "no ready entry VM is known yet"
            return error_reply(ErrorResponse(UNAVAILABLE, reason, RETRY_AFTER_MS))
        self.log_if_changed(control_request, addresses)
        ttl_s = min(1, settings.bounds.entries_ttl_s)
        return document_reply(dialect.write_entries(addresses, ttl_s))

    def has_stood_still(self):
        """Return whether VMs may have ended while this one stood still.

        Their links are found broken, and those that do not return in time are dropped,
        shortly after it goes on.
        """
        since_ms = self.node.loop_monitor.since_long_stall_ms()
        return since_ms is not None and since_ms < RECONNECT_GRACE_MS + DROP_DELAY_MS

    def log_if_changed(self, control_request, addresses):
        """Log the addresses for a failure domain and host whenever they change."""
        location = (control_request.name, control_request.host)
        if self.last_addresses.get(location) != addresses:
            self.last_addresses[location] = addresses
            extra = {
                "domain": control_request.name,
                "host": control_request.host,
                "entries": addresses,
            }
            logger.info("directory changed", extra=extra)

    def choose(self, region, failure_domain, host):
        """Return the addresses of the nearest ready entry VMs for a host's callers.

        Outside the caller's region, those in the home regions of the host's routes come
        first, since data of these routes may be sent there.
        """
        entries = [m for m in self.node.fleet.members.live() if m.role == ENTRY]
        ready = [m for m in entries if m.ready and not m.stopping]
        host_homes = self.homes_of(host)
        for members, is_preferred in (
            (ready, lambda member: member.failure_domain == failure_domain),
            (ready, lambda member: member.region == region),
            (ready, lambda member: member.region in host_homes),
            # Data bound to home regions may not be sent elsewhere. A stopping VM in the
            # caller's region can still serve or refuse such requests.
            (
                entries,
                lambda member: bool(host_homes) and member.region == region,
            ),
            (ready, lambda member: True),
        ):
            addresses = sorted(
                member.caller_address for member in members if is_preferred(member)
            )
            if addresses:
                return addresses[:MAX_DIRECTORY_ENTRIES]
        return []

    def homes_of(self, host):
        """Return the regions that are the home of the most routes of a host."""
        routes = self.node.store.by_host.get(host.lower(), ())
        counts = collections.Counter(
            region for route in routes for region in route.homes
        )
        most = max(counts.values(), default=0)
        return {region for region, count in counts.items() if count == most}
