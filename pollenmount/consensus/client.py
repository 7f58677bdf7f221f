"""Client of replicated logs: proposes commands from any node to the leader."""

import msgspec
from result import Err, Ok

from pollenmount import task
from pollenmount.consensus.calls import ProposalOutcome, Propose
from pollenmount.errors import Refusal, RefusalKind

__all__ = ["PROPOSE_TIMEOUT_MS", "GroupClient", "is_always", "no_quorum_refusal"]

PROPOSE_TIMEOUT_MS = 5000
CALL_TIMEOUT_MS = 1000
SUSPECT_TTL_MS = 5000
RETRY_INTERVAL_MS = 100
RETRY_AFTER_MS = 1000


def is_always():
    """Return that a proposal is wanted, whatever happens."""
    return True


class GroupClient:
    """Proposes commands to groups, wherever their leaders are.

    `voters` maps each group name to its voters' control addresses by VM name. `local`
    maps group names to the replicas on this node, which are reached without a call when
    the address is `own_address`.
    """

    def __init__(self, control, voters, clock, local=None, own_address=""):
        self.control = control
        self.voters = voters
        self.clock = clock
        self.local = local or {}
        self.own_address = own_address
        self.leaders = {}
        self.suspects = {}

    def propose(
        self,
        group,
        command,
        answer_type,
        timeout_ms=PROPOSE_TIMEOUT_MS,
        is_wanted=is_always,
    ):
        """Return Ok(answer) or Err(Refusal).

        The command is proposed for `timeout_ms`, as long as `is_wanted` returns true.

        `not_run` is set in the refusal only if the command is certainly not in the log.
        After a lost reply the command is proposed again, so it may be applied twice:
        state machines must apply commands idempotently.
        """
        body = msgspec.msgpack.encode(command)
        request = Propose(group, type(command).__name__, body)
        deadline = self.clock.now() + timeout_ms
        attempt = ProposalAttempt(self, request, deadline, is_wanted)
        answer = attempt.run()
        if answer is None:
            return Err(
                no_quorum_refusal(group, attempt.maybe_appended, attempt.outcome)
            )
        return Ok(msgspec.msgpack.decode(answer, type=answer_type))

    def ask(self, address, request, timeout_ms):
        """Return the reply of one node, which is suspected for a while if it fails.

        A call takes `CALL_TIMEOUT_MS` at most, a replica on this node `timeout_ms`.
        """
        local_group = self.local.get(request.group)
        if local_group is not None and address == self.own_address:
            return Ok(local_group.propose(request, timeout_ms))
        return self.call(address, request, min(timeout_ms, CALL_TIMEOUT_MS))

    def call(self, address, request, timeout_ms):
        """Call a node, which is suspected for a while if it does not reply."""
        reply = self.control.call(address, request, timeout_ms)
        if isinstance(reply, Err):
            self.suspects[address] = self.clock.now()
        else:
            self.suspects.pop(address, None)
        return reply

    def is_suspect(self, address):
        """Return whether a call to the node failed within `SUSPECT_TTL_MS`."""
        failed_at = self.suspects.get(address)
        return failed_at is not None and self.clock.now() - failed_at < SUSPECT_TTL_MS

    def addresses(self, group):
        """Return the addresses to ask: likely leaders first, suspected nodes last."""
        local_group = self.local.get(group)
        known_leader = local_group.state.leader if local_group else None
        likely_leaders = (
            known_leader.address if known_leader else None,
            self.leaders.get(group),
        )
        addresses = dict.fromkeys(
            (*likely_leaders, *self.voters.get(group, {}).values())
        )
        return sorted(filter(None, addresses), key=self.is_suspect)


class ProposalAttempt:
    """One proposal, retried until its deadline while `is_wanted` returns true.

    `maybe_appended` is set once a log may hold the command; `outcome` is the outcome in
    the newest reply.
    """

    def __init__(self, client, request, deadline, is_wanted=is_always):
        self.client = client
        self.request = request
        self.deadline = deadline
        self.is_wanted = is_wanted
        self.maybe_appended = False
        self.outcome = ProposalOutcome.NOT_APPENDED

    def run(self):
        """Ask nodes while it may, until one answers or the disk is full."""
        while self.may_ask():
            for address in self.client.addresses(self.request.group):
                answer = self.ask(address)
                if answer is not None:
                    return answer
                if self.outcome is ProposalOutcome.DISK_FULL or not self.may_ask():
                    return None
            task.sleep(RETRY_INTERVAL_MS)
        return None

    def may_ask(self):
        """Return whether the proposal is wanted and its deadline has not passed."""
        return self.client.clock.now() < self.deadline and self.is_wanted()

    def ask(self, address, hops=2):
        """Ask one node, then the leader that it names; return the answer or None.

        `hops` limits how many further leaders are asked.
        """
        remaining_ms = max(1, self.deadline - self.client.clock.now())
        reply = self.client.ask(address, self.request, remaining_ms)
        if isinstance(reply, Err):
            self.maybe_appended |= reply.err_value.sent
            return None
        reply = reply.ok_value
        self.outcome = reply.outcome
        if reply.applied:
            self.client.leaders[self.request.group] = address
            return reply.answer
        self.maybe_appended |= reply.outcome is ProposalOutcome.UNKNOWN
        if hops and reply.leader != address and self.is_worth_asking(reply.leader):
            return self.ask(reply.leader, hops - 1)
        return None

    def is_worth_asking(self, leader):
        """Return whether the reply names a leader that isn't suspected."""
        return bool(leader) and not self.client.is_suspect(leader)


def no_quorum_refusal(group, maybe_appended, outcome=ProposalOutcome.NOT_APPENDED):
    """Return the refusal for a proposal or read that no leader has answered."""
    problem = f"the log {group!r} has no reachable leader; retry later"
    if outcome is ProposalOutcome.DISK_FULL:
        problem = (
            f"the disk of the log {group!r} is full; free space for its data folder, "
            "then retry"
        )
    return Refusal(
        RefusalKind.NO_QUORUM,
        f"{problem} with the same key",
        not_run=not maybe_appended,
        retry_after_ms=RETRY_AFTER_MS,
    )
