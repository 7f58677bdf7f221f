"""State machine of the replicated log of routes: the newest plan, and evacuations.

A plan replaces one of a lower version; any other plan is acknowledged without effect,
so proposals can be retried. `revision` counts the changes, identically on each replica.

An order on evacuations carries the number of orders on its failure domain that it knows
of. Once more have been applied it is superseded: it changes nothing, however late or
often it is proposed.
"""

from typing import NamedTuple

import msgspec

__all__ = [
    "GROUP",
    "AcceptRoutes",
    "RoutesResult",
    "RoutesMachine",
    "RoutesState",
    "SetEvacuation",
]

GROUP = "routes"


class AcceptRoutes(NamedTuple):
    """Command: store the document of a plan if its version is the highest."""

    version: int
    document: bytes


class SetEvacuation(NamedTuple):
    """Command: evacuate a failure domain, or end its evacuation.

    `base` is the number of orders on the failure domain that were applied before this
    one was given, None in entries of builds that counted none; these are not counted.
    """

    failure_domain: str
    evacuated: bool
    base: int | None = None


class RoutesResult(NamedTuple):
    """The revision that includes the command, and the newest plan version.

    `superseded` is set if a newer order has the opposite effect, so that the command
    changed nothing.
    """

    revision: int
    version: int
    superseded: bool = False


class RoutesState(NamedTuple):
    """The document of the newest plan, and the evacuated failure domains.

    `plan_revision` and `evacuations_revision` are the revisions of their last change.
    `orders` counts the orders on each failure domain, evacuated or not.
    """

    version: int = 0
    document: bytes = b""
    plan_revision: int = 0
    evacuated: tuple[str, ...] = ()
    evacuations_revision: int = 0
    orders: dict[str, int] = {}

    @property
    def revision(self):
        """Return the revision of the last change."""
        return max(self.plan_revision, self.evacuations_revision)


class RoutesMachine:
    """Applies committed commands in log order."""

    commands = (AcceptRoutes, SetEvacuation)

    def __init__(self):
        self.state = RoutesState()

    def apply(self, command):
        """Apply one command; return its `RoutesResult`."""
        superseded = False
        if isinstance(command, AcceptRoutes):
            self.accept_plan(command)
        elif self.count_order(command):
            self.set_evacuation(command)
        else:
            is_evacuated = command.failure_domain in self.state.evacuated
            superseded = is_evacuated != command.evacuated
        return RoutesResult(self.state.revision, self.state.version, superseded)

    def accept_plan(self, command):
        """Store a plan if its version is higher than the current one."""
        if command.version <= self.state.version:
            return
        self.state = self.state._replace(
            version=command.version,
            document=command.document,
            plan_revision=self.state.revision + 1,
        )

    def count_order(self, command):
        """Count an order; return false if more were applied than it knows of.

        An order that changes nothing counts too: one that was given before must not
        take effect after it has been acknowledged.
        """
        if command.base is None:
            return True
        orders = self.state.orders
        count = orders.get(command.failure_domain, 0)
        if count > command.base:
            return False
        orders = {**orders, command.failure_domain: count + 1}
        self.state = self.state._replace(orders=orders)
        return True

    def set_evacuation(self, command):
        """Add a failure domain to the evacuated ones, or remove it."""
        evacuated = {*self.state.evacuated} - {command.failure_domain}
        if command.evacuated:
            evacuated.add(command.failure_domain)
        if evacuated == {*self.state.evacuated}:
            return
        self.state = self.state._replace(
            evacuated=tuple(sorted(evacuated)),
            evacuations_revision=self.state.revision + 1,
        )

    def snapshot(self):
        """Return the serialised state."""
        return msgspec.msgpack.encode(self.state)

    def restore(self, data):
        """Replace the state by a snapshot."""
        self.state = msgspec.msgpack.decode(data, type=RoutesState)
