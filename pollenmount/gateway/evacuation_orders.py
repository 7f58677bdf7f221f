"""Orders to evacuate failure domains: none takes effect after a newer one.

The state machine counts the orders on each failure domain. An order carries the count
of the moment at which it arrived, as confirmed by the leader; once more have been
applied it changes nothing, however late or often it is proposed. A caller that has left
may have given a newer order elsewhere, before that moment: its order is dropped. So is
one that may be older than a caller waits, whose end may not have been heard of.
"""

from typing import NamedTuple

from result import Err, Ok

from pollenmount import task
from pollenmount.bridge.control import register_call
from pollenmount.consensus.client import no_quorum_refusal
from pollenmount.gateway.call import ErrorResponse
from pollenmount.routes.machine import GROUP, SetEvacuation

__all__ = ["EvacuationOrders", "Order", "OrderResult", "ReadOrders"]

ORDER_TIMEOUT_MS = 2000
# Operators go on to another VM after a second without a response. The rest is for the
# way of the order, and for stalls too short to be noted.
MAX_ORDER_AGE_MS = 700
READ_INTERVAL_MS = 100
# Several round trips between regions; other nodes are asked after it.
CALL_TIMEOUT_MS = 500
RETRY_AFTER_MS = 300
UNAVAILABLE = 503
OUTDATED = "the order may be older than its caller waits; send it again"


class ReadOrders(NamedTuple):
    """Call between nodes: return the number of orders on a failure domain so far."""

    failure_domain: str


class ReadOrdersReply(NamedTuple):
    """That number; `confirmed` is false if the sender may not lead.

    `leader` is the address of the leader that it follows, '' for none.
    """

    confirmed: bool
    count: int
    leader: str = ""


register_call(ReadOrders, ReadOrdersReply)


class Order(NamedTuple):
    """An order on a failure domain, and when its caller may have sent it."""

    failure_domain: str
    evacuated: bool
    sent_at: int


class OrderResult(NamedTuple):
    """The revision that includes an order, and the count that it was based on."""

    revision: int
    base: int


class EvacuationOrders:
    """Runs orders in the `RoutesLog` `log`."""

    def __init__(self, log, clock):
        self.log = log
        self.clock = clock

    def handle_read(self, request):
        """Return the count if a quorum confirms that this replica leads."""
        group = self.log.group
        if not group.read_barrier():
            leader = group.state.leader
            return ReadOrdersReply(False, 0, leader.address if leader else "")
        orders = self.log.machine.state.orders
        return ReadOrdersReply(True, orders.get(request.failure_domain, 0))

    def run(self, order, has_caller):
        """Return Ok(OrderResult) once an order is durable, or Err(ErrorResponse).

        `has_caller` returns whether the caller still waits.
        """
        deadline = self.clock.now() + ORDER_TIMEOUT_MS
        found = self.find_base(order, has_caller)
        if isinstance(found, Err):
            return found
        base = found.ok_value
        command = SetEvacuation(order.failure_domain, order.evacuated, base)
        timeout_ms = max(1, deadline - self.clock.now())
        result = self.log.propose(command, timeout_ms, has_caller)
        if isinstance(result, Err):
            return to_error(result.err_value)
        if result.ok_value.superseded:
            return refuse("a newer order on this failure domain was applied meanwhile")
        return Ok(OrderResult(result.ok_value.revision, base))

    def find_base(self, order, has_caller):
        """Return Ok(count) at a moment at which the caller waited, or an Err.

        Whether it waits is asked after the count was read: what it gives elsewhere once
        it has left comes after that count then.
        """
        deadline = order.sent_at + MAX_ORDER_AGE_MS
        if self.clock.now() > deadline:
            return refuse(OUTDATED)
        base = self.read_base(order.failure_domain, deadline, has_caller)
        if not has_caller():
            return refuse("the caller has left; its order is dropped")
        if base is None:
            return to_error(no_quorum_refusal(GROUP, False))
        return refuse(OUTDATED) if self.clock.now() > deadline else Ok(base)

    def read_base(self, failure_domain, deadline, has_caller):
        """Return the count that the leader confirms, or None if none does in time."""
        request = ReadOrders(failure_domain)
        self.log.add_proposal_addresses()
        while self.clock.now() < deadline and has_caller():
            for reply in self.ask_nodes(request, deadline, has_caller):
                if reply.confirmed:
                    return reply.count
            task.sleep(READ_INTERVAL_MS)
        return None

    def ask_nodes(self, request, deadline, has_caller):
        """Yield the replies of nodes that may lead, and of leaders that they name."""
        asked, addresses = set(), self.log.client.addresses(GROUP)
        while addresses and self.clock.now() < deadline and has_caller():
            address = addresses.pop(0)
            reply = None
            if address not in asked:
                reply = self.ask(address, request, deadline)
            asked.add(address)
            if reply is not None:
                yield reply
                addresses[:0] = [reply.leader] if reply.leader else []

    def ask(self, address, request, deadline):
        """Return the reply of one node, or None."""
        if address == self.log.group.me.address:
            return self.handle_read(request)
        timeout_ms = min(CALL_TIMEOUT_MS, max(1, deadline - self.clock.now()))
        result = self.log.client.call(address, request, timeout_ms)
        return result.ok_value if isinstance(result, Ok) else None


def refuse(reason):
    """Return the Err(ErrorResponse) of an order that changes nothing."""
    return Err(ErrorResponse(UNAVAILABLE, reason, RETRY_AFTER_MS))


def to_error(refusal):
    """Return Err(ErrorResponse) for a `Refusal`."""
    return Err(ErrorResponse(refusal.status, refusal.message, refusal.retry_after_ms))
