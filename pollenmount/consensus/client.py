"""Proposes commands from any node: finds the leader, and tells what is known."""

import msgspec
from result import Err, Ok

from pollenmount import task
from pollenmount.consensus.calls import Fate, Propose
from pollenmount.errors import Refusal, RefusalKind

__all__ = ["GroupClient"]

PROPOSE_TIMEOUT_MS = 4000
ROUND_MS = 100
RETRY_AFTER_MS = 1000


class GroupClient:
    """Proposes commands to groups, wherever their leaders are.

    `voters` maps group names to (VM name to control address); `local` the groups of
    this node by name, which are asked without a call at `own_address`.
    """

    def __init__(self, control, voters, clock, local=None, own_address=""):
        self.control = control
        self.voters = voters
        self.clock = clock
        self.local = local or {}
        self.own_address = own_address
        self.leaders = {}

    def propose(self, group, command, answer_type):
        """Return Ok(answer) or Err(Refusal), `not_run` only if surely not in the log.

        The command may be proposed again after a lost answer; machines take that.
        """
        body = msgspec.msgpack.encode(command)
        request = Propose(group, type(command).__name__, body)
        attempt = Attempt(self, request, self.clock.now() + PROPOSE_TIMEOUT_MS)
        answer = attempt.run()
        if answer is None:
            return Err(no_quorum(group, attempt.maybe_appended, attempt.fate))
        return Ok(msgspec.msgpack.decode(answer, type=answer_type))

    def ask(self, address, request, timeout_ms):
        """Return what one node replies to a request."""
        group = self.local.get(request.group)
        if group is not None and address == self.own_address:
            return Ok(group.propose(request))
        return self.control.call(address, request, timeout_ms)

    def addresses(self, group):
        """Return the addresses to ask, the last known leader first."""
        addresses = [*self.voters.get(group, {}).values()]
        leader = self.leaders.get(group)
        if leader:
            addresses = [leader, *(a for a in addresses if a != leader)]
        return addresses


class Attempt:
    """One proposal on its way.

    `maybe_appended` is set once a log may hold it; `fate` is what was last told.
    """

    def __init__(self, client, request, limit):
        self.client = client
        self.request = request
        self.limit = limit
        self.maybe_appended = False
        self.fate = Fate.NOT_APPENDED

    def run(self):
        """Ask until there is an answer or the time is up; return it or None."""
        while self.client.clock.now() < self.limit:
            for address in self.client.addresses(self.request.group):
                answer = self.ask(address)
                if answer is not None:
                    return answer
                if self.fate is Fate.NO_ROOM or self.client.clock.now() >= self.limit:
                    return None
            task.sleep(ROUND_MS)
        return None

    def ask(self, address, hops=2):
        """Ask one node, then the leader that it names; return the answer or None."""
        left_ms = max(1, self.limit - self.client.clock.now())
        reply = self.client.ask(address, self.request, left_ms)
        if isinstance(reply, Err):
            self.maybe_appended |= reply.err_value.sent
            return None
        reply = reply.ok_value
        self.fate = reply.fate
        if reply.applied:
            self.client.leaders[self.request.group] = address
            return reply.answer
        self.maybe_appended |= reply.fate is Fate.UNKNOWN
        if reply.leader and reply.leader != address and hops:
            return self.ask(reply.leader, hops - 1)
        return None


def no_quorum(group, maybe_appended, fate):
    """Return the refusal for a group that gave no answer."""
    problem = f"the log {group!r} has no leader in reach; come back later"
    if fate is Fate.NO_ROOM:
        problem = (
            f"the disk of the log {group!r} is full; make room in its data folder, "
            "then come back"
        )
    return Refusal(
        RefusalKind.NO_QUORUM,
        f"{problem} with the same key",
        not_run=not maybe_appended,
        retry_after_ms=RETRY_AFTER_MS,
    )
