"""State machine of the replicated log of plans: the newest accepted plan.

A plan is identified by number and digest, so a retry after a lost reply is recognized,
and of several plans with one number only the first is accepted.
"""

from enum import StrEnum
from typing import NamedTuple

import msgspec

__all__ = [
    "GROUP",
    "AcceptPlan",
    "Acceptance",
    "AcceptedPlan",
    "PlanAnswer",
    "PlanMachine",
]

GROUP = "plans"
MAX_HISTORY = 4096


class Acceptance(StrEnum):
    """Result of a proposal to accept a plan."""

    ACCEPTED = "accepted"
    REPEATED = "repeated"
    REPLACED = "replaced"
    CONFLICT = "conflict"
    STALE = "stale"


class AcceptPlan(NamedTuple):
    """Command: accept this sheet."""

    number: int
    digest: str
    sheet: bytes


class AcceptedPlan(NamedTuple):
    """An accepted plan with its sheet."""

    number: int
    digest: str
    sheet: bytes


NO_PLAN = AcceptedPlan(0, "", b"")


class PlanAnswer(NamedTuple):
    """The result of `AcceptPlan`, and the newest accepted plan."""

    acceptance: Acceptance
    number: int
    digest: str


class PlanSnapshot(NamedTuple):
    """The complete state of a `PlanMachine`."""

    current: AcceptedPlan | None
    history: dict[int, str]


class PlanMachine:
    """The newest accepted plan, and the digests of accepted plans by number.

    The last `MAX_HISTORY` digests are kept; a retry of an older plan is answered as
    stale.
    """

    commands = (AcceptPlan,)

    def __init__(self):
        self.current = None
        self.history = {}

    def apply(self, command):
        """Apply one committed `AcceptPlan` and return its `PlanAnswer`."""
        acceptance = self.classify(command)
        if acceptance is Acceptance.ACCEPTED:
            self.current = AcceptedPlan(*command)
            self.history[command.number] = command.digest
            if len(self.history) > MAX_HISTORY:
                del self.history[min(self.history)]
        number, digest, _ = self.current or NO_PLAN
        return PlanAnswer(acceptance, number, digest)

    def classify(self, command):
        """Return the result of a command, without changing the state."""
        newest = self.current.number if self.current else 0
        if command.number > newest:
            return Acceptance.ACCEPTED
        accepted_digest = self.history.get(command.number)
        if accepted_digest is None:
            return Acceptance.STALE
        if accepted_digest != command.digest:
            return Acceptance.CONFLICT
        is_newest = command.number == newest
        return Acceptance.REPEATED if is_newest else Acceptance.REPLACED

    def snapshot(self):
        """Return the complete state as bytes."""
        return msgspec.msgpack.encode(PlanSnapshot(self.current, self.history))

    def restore(self, data):
        """Replace the state with that of a snapshot."""
        self.current, self.history = msgspec.msgpack.decode(data, type=PlanSnapshot)
