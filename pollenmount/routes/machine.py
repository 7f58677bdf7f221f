"""State machine of the replicated log of routes: the newest plan, and evacuations.

A plan replaces one of a lower version; any other plan is acknowledged without effect,
so proposals can be retried. `revision` counts the changes, identically on each replica.
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
    """Command: evacuate a failure domain, or end its evacuation."""

    failure_domain: str
    evacuated: bool


class RoutesResult(NamedTuple):
    """The revision that includes the command, and the newest plan version."""

    revision: int
    version: int


class RoutesState(NamedTuple):
    """The document of the newest plan, and the evacuated failure domains.

    `plan_revision` and `evacuations_revision` are the revisions of their last change.
    """

    version: int = 0
    document: bytes = b""
    plan_revision: int = 0
    evacuated: tuple[str, ...] = ()
    evacuations_revision: int = 0

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
        if isinstance(command, AcceptRoutes):
            self.accept_plan(command)
        else:
            self.set_evacuation(command)
        return RoutesResult(self.state.revision, self.state.version)

    def accept_plan(self, command):
        """Store a plan if its version is higher than the current one."""
        if command.version <= self.state.version:
            return
        self.state = self.state._replace(
            version=command.version,
            document=command.document,
            plan_revision=self.state.revision + 1,
        )

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
