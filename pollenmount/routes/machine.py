"""State machine of the replicated log of routes: the newest plan, and evacuations.

The highest version of a plan wins; one that isn't higher changes nothing and is
acknowledged. `revision` counts the changes, alike on every replica.
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
    """Command: accept the document of a plan under its version."""

    version: int
    document: bytes


class SetEvacuation(NamedTuple):
    """Command: empty a failure domain of requests, or take it back."""

    failure_domain: str
    evacuated: bool


class RoutesResult(NamedTuple):
    """The revision at which the command is in effect, and the newest version."""

    revision: int
    version: int


class RoutesState(NamedTuple):
    """The newest plan's document and the failure domains that are evacuated.

    `plan_revision` and `evacuations_revision` are those of the last change of each.
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
    """Applies commands in the order of the log."""

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
        """Take a plan of a higher version."""
        if command.version <= self.state.version:
            return
        self.state = self.state._replace(
            version=command.version,
            document=command.document,
            plan_revision=self.state.revision + 1,
        )

    def set_evacuation(self, command):
        """Change the set of evacuated failure domains."""
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
        """Return the whole state as bytes."""
        return msgspec.msgpack.encode(self.state)

    def restore(self, data):
        """Replace the state by that of a snapshot."""
        self.state = msgspec.msgpack.decode(data, type=RoutesState)
