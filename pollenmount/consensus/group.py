"""Replicated logs as the rest of the program sees them.

A `Group` applies commands to a state machine in one agreed order; `GroupClient` finds
its leader from any node.
"""

from typing import NamedTuple

import msgspec
from result import Err, Ok

from pollenmount.bridge.control import register_call
from pollenmount.errors import Refusal, RefusalKind

__all__ = ["Group", "GroupClient", "Propose", "ProposeReply"]

PROPOSE_TIMEOUT_MS = 3000
RETRY_AFTER_MS = 1000


class Propose(NamedTuple):
    """Call: apply an encoded command to a group's machine."""

    group: str
    command: str
    body: bytes


class ProposeReply(NamedTuple):
    """The encoded answer; `leader` names another VM to ask when this one isn't it."""

    applied: bool
    answer: bytes
    leader: str


register_call(Propose, ProposeReply)


class Group:
    """One log with a single voter, held in memory."""

    def __init__(self, machine, on_apply=lambda machine: None):
        self.machine = machine
        self.on_apply = on_apply
        self.types = {command.__name__: command for command in machine.commands}

    def propose(self, request):
        """Apply the command of a `Propose` and return its `ProposeReply`."""
        command = msgspec.msgpack.decode(request.body, type=self.types[request.command])
        answer = self.machine.apply(command)
        self.on_apply(self.machine)
        return ProposeReply(True, msgspec.msgpack.encode(answer), "")


class GroupClient:
    """Proposes commands to groups, wherever their leaders are.

    `voters` maps group names to (VM name to control address).
    """

    def __init__(self, control, voters):
        self.control = control
        self.voters = voters
        self.leaders = {}

    def propose(self, group, command, answer_type):
        """Return Ok(answer) or Err(Refusal); a lost answer is `outcome_unknown`."""
        body = msgspec.msgpack.encode(command)
        request = Propose(group, type(command).__name__, body)
        maybe_sent = False
        for address in self.addresses(group):
            reply = self.control.call(address, request, PROPOSE_TIMEOUT_MS)
            if isinstance(reply, Ok) and reply.ok_value.applied:
                self.leaders[group] = address
                answer = msgspec.msgpack.decode(reply.ok_value.answer, type=answer_type)
                return Ok(answer)
            if isinstance(reply, Err):
                maybe_sent = maybe_sent or reply.err_value.sent
        return Err(no_quorum(group, maybe_sent))

    def addresses(self, group):
        """Return the addresses to ask, the last known leader first."""
        addresses = [*self.voters.get(group, {}).values()]
        leader = self.leaders.get(group)
        return sorted(addresses, key=lambda address: address != leader)


def no_quorum(group, maybe_sent):
    """Return the refusal for a group that gave no answer."""
    return Refusal(
        RefusalKind.NO_QUORUM,
        f"the log {group!r} has no leader in reach; come back later with the same key",
        not_run=not maybe_sent,
        retry_after_ms=RETRY_AFTER_MS,
    )
