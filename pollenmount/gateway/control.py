"""Operators', targets' and directory's interfaces of a control VM."""

import collections

from result import Err

from pollenmount.errors import Refusal, SheetError
from pollenmount.fleet.messages import ENTRY
from pollenmount.gateway.call import ErrorResponse
from pollenmount.gateway.dialect import OrderKind
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
MAX_ENTRIES = 64
SETTLE_MS = 1200
EMPTY = b"{}"

logger = get_logger("control")


class ControlApi:
    """Handles calls of operators and targets.

    `log` is the replicated log, `server` the links to members.
    """

    def __init__(self, node, log, server):
        self.node = node
        self.log = log
        self.server = server
        self.handlers = {
            OrderKind.PUT_PLAN: self.put_plan,
            OrderKind.GET_PLAN: self.get_plan,
            OrderKind.EVACUATE: self.evacuate,
            OrderKind.TAKE_BACK: self.take_back,
            OrderKind.HEARTBEAT: self.heartbeat,
            OrderKind.LEAVE: self.leave,
        }

    def handle(self, request):
        """Answer one call."""
        order = self.node.dialect.read_order(request.method, request.target)
        handler = self.handlers.get(order.kind) if order else None
        if handler is None:
            return error_reply(ErrorResponse(NOT_FOUND, "no such call here"))
        return handler(request, order)

    def put_plan(self, request, order):
        """Check a plan and put it into the log."""
        body = request.read(MAX_DOCUMENT_BYTES)
        if isinstance(body, Refusal):
            return self.tell("plan refused", refuse(body))
        try:
            plan = self.node.dialect.read_plan(body)
        except SheetError as error:
            return self.tell("plan refused", ErrorResponse(BAD_REQUEST, str(error)))
        faults = [str(fault) for fault in find_faults(plan)]
        if faults:
            return self.tell(
                "plan refused", ErrorResponse(BAD_REQUEST, "\n".join(faults))
            )
        answer = self.log.accept(plan.version, body)
        if isinstance(answer, Err):
            return self.tell("plan not accepted", refuse(answer.err_value))
        logger.info(
            "plan accepted",
            extra={
                "plan": plan.version,
                "newest": answer.ok_value.version,
                "revision": answer.ok_value.revision,
            },
        )
        return document_reply(EMPTY)

    def get_plan(self, request, order):
        """Return the newest plan, if it is sure to be the newest."""
        answer = self.log.read()
        if isinstance(answer, Err):
            return self.tell("plan not read", refuse(answer.err_value))
        if not answer.ok_value:
            return error_reply(ErrorResponse(UNAVAILABLE, "no plan was accepted yet"))
        return document_reply(answer.ok_value)

    def evacuate(self, request, order):
        """Empty a failure domain."""
        return self.set_evacuation(order.name, True)

    def take_back(self, request, order):
        """Take a failure domain back."""
        return self.set_evacuation(order.name, False)

    def set_evacuation(self, failure_domain, evacuated):
        """Put an evacuation, or its end, into the log."""
        if failure_domain not in self.node.settings.failure_domains:
            return error_reply(ErrorResponse(NOT_FOUND, "unknown failure domain"))
        answer = self.log.evacuate(failure_domain, evacuated)
        if isinstance(answer, Err):
            return self.tell("evacuation not accepted", refuse(answer.err_value))
        logger.info(
            "evacuation accepted",
            extra={
                "domain": failure_domain,
                "evacuated": evacuated,
                "revision": answer.ok_value.revision,
            },
        )
        return document_reply(EMPTY)

    def heartbeat(self, request, order):
        """Take in a target's heartbeat."""
        body = request.read(MAX_HEARTBEAT_BYTES)
        if isinstance(body, Refusal):
            return error_reply(refuse(body))
        record = self.node.dialect.read_target(order.name, body)
        if record is None:
            refused = ErrorResponse(BAD_REQUEST, "the heartbeat can't be read")
            return self.tell("heartbeat refused", refused, target=order.name)
        self.server.heard(record)
        return document_reply(self.node.dialect.write_heartbeat_reply())

    def leave(self, request, order):
        """Take in that a target leaves."""
        self.server.left(order.name)
        logger.info("target leaves", extra={"target": order.name})
        return document_reply(EMPTY)

    def tell(self, event, refused, **more):
        """Log a refusal and return its reply."""
        said = {"status": refused.status, "reason": refused.reason, **more}
        logger.info(event, extra=said)
        return error_reply(refused)


def refuse(refusal):
    """Return a `Refusal` as `ErrorResponse`."""
    return ErrorResponse(refusal.status, refusal.message, refusal.retry_after_ms)


class DirectoryApi:
    """Tells callers which entry VMs to use."""

    def __init__(self, node):
        self.node = node
        self.began = node.clock.now()
        self.last_addresses = {}

    def handle(self, request):
        """Answer one caller of the directory."""
        dialect, settings = self.node.dialect, self.node.settings
        order = dialect.read_order(request.method, request.target)
        if order is None or order.kind != OrderKind.ENTRIES:
            return error_reply(ErrorResponse(NOT_FOUND, "no such call here"))
        addresses = self.choose(order.region, order.name, order.host)
        is_settled = self.node.clock.now() - self.began >= SETTLE_MS
        if not addresses or not is_settled or self.node.stopping:
            reason = "no entry VM is known here yet"
            return error_reply(ErrorResponse(UNAVAILABLE, reason, RETRY_AFTER_MS))
        self.log_change(order, addresses)
        ttl_s = min(1, settings.bounds.entries_ttl_s)
        return document_reply(dialect.write_entries(addresses, ttl_s))

    def log_change(self, order, addresses):
        """Log what callers of a place are told, once for each change."""
        location = (order.name, order.host)
        if self.last_addresses.get(location) != addresses:
            self.last_addresses[location] = addresses
            extra = {"domain": order.name, "host": order.host, "entries": addresses}
            logger.info("directory changed", extra=extra)

    def choose(self, region, failure_domain, host):
        """Return the addresses of the nearest ready entry VMs for a host's callers.

        Outside the caller's region those in the homes of the host's routes go first:
        data may be sent there.
        """
        entries = [m for m in self.node.fleet.members.live() if m.role == ENTRY]
        ready = [m for m in entries if m.ready and not m.stopping]
        homes = self.homes_of(host)
        for members, is_near in (
            (ready, lambda member: member.failure_domain == failure_domain),
            (ready, lambda member: member.region == region),
            (ready, lambda member: member.region in homes),
            # A VM that stops still refuses or serves bound data where it may be.
            (entries, lambda member: bool(homes) and member.region == region),
            (ready, lambda member: True),
        ):
            near = sorted(member.callers for member in members if is_near(member))
            if near:
                return near[:MAX_ENTRIES]
        return []

    def homes_of(self, host):
        """Return the regions that are home to the most routes of a host."""
        routes = self.node.store.by_host.get(host.lower(), ())
        counts = collections.Counter(home for route in routes for home in route.homes)
        most = max(counts.values(), default=0)
        return {home for home, count in counts.items() if count == most}
