"""The step function of a replica: `(state, message, now) -> (state, effects)`.

It is pure: it reads no clock, does no input or output and draws nothing at random. The
caller saves what the effects ask for before anything leaves, in the order given.
"""

from functools import singledispatch

from pollenmount.consensus import election, membership, replication
from pollenmount.consensus.dispatch import receive
from pollenmount.consensus.messages import (
    Append,
    AppendReply,
    Bootstrap,
    Compact,
    Entry,
    InstallSnapshot,
    Offer,
    PreVoteReply,
    PreVoteRequest,
    ProposeEntries,
    Read,
    Receive,
    Tick,
    Transfer,
    VoteReply,
    VoteRequest,
    configuration_entry,
)
from pollenmount.consensus.state import Appended, Rejected, Role, Turn

__all__ = ["step"]

FIRST_TERM = 1


def step(state, message, now):
    """Return the state after `message` and the effects to carry out."""
    turn = Turn(state, now)
    handle(message, turn)
    if turn.state.role is Role.LEADER:
        replication.lead(turn)
        membership.advance_change(turn)
    if turn.state.role is Role.LEADER:
        replication.lead(turn)
        replication.replicate(turn)
    return turn.state, tuple(turn.effects)


@singledispatch
def handle(message, turn):
    """Take in one message in the draft `turn`."""
    raise TypeError(f"no message for a replica: {type(message).__name__}")


@handle.register
def _(message: Tick, turn):
    state = turn.state
    if state.role is Role.LEADER:
        tick_leader(turn)
    elif turn.now >= state.election_at and state.configuration.can_vote(state.me):
        election.start_pre_vote(turn)


def tick_leader(turn):
    """Give up without a quorum in reach; else repair and send heartbeats."""
    state = turn.state
    limit_ms = state.timing.election_ms
    heard = {r for r, p in state.progress.items() if turn.now - p.heard_at < limit_ms}
    if not state.configuration.has_quorum({*heard, state.me}):
        turn.become_follower(state.term, None)
        return
    membership.repair(turn)
    if turn.now >= state.heartbeat_at:
        replication.track_members(turn)
        replication.heartbeat(turn)


@handle.register
def _(message: Receive, turn):
    sender, inner = message
    if is_ignored(turn, inner):
        return
    if inner.term > turn.state.term and raises_term(inner):
        turn.become_follower(inner.term, None)
    if inner.term < turn.state.term:
        refuse_old_term(turn, sender, inner)
        return
    if isinstance(inner, Append | InstallSnapshot) and turn.state.leader != sender:
        turn.become_follower(inner.term, sender)
    receive(inner, turn, sender)


def is_ignored(turn, inner):
    """Return whether a vote is asked for although a leader is live."""
    is_election = isinstance(inner, VoteRequest) and not inner.transfer
    return is_election and election.follows_live_leader(turn)


def raises_term(inner):
    """Return whether a message of a newer term proves that the term has begun."""
    if isinstance(inner, PreVoteRequest):
        return False
    return not (isinstance(inner, PreVoteReply) and inner.granted)


def refuse_old_term(turn, sender, inner):
    """Tell the sender of a request of an older term the present one."""
    term = turn.state.term
    if isinstance(inner, Append | InstallSnapshot):
        turn.send(sender, AppendReply(term, False, 0, 0))
    elif isinstance(inner, VoteRequest):
        turn.send(sender, VoteReply(term, False))
    elif isinstance(inner, PreVoteRequest):
        turn.send(sender, PreVoteReply(term, False))


@handle.register
def _(message: Bootstrap, turn):
    if not turn.state.is_blank:
        return
    turn.save_vote(FIRST_TERM, None)
    turn.append((configuration_entry(FIRST_TERM, message.configuration),))
    turn.update(election_at=turn.now)


@handle.register
def _(message: ProposeEntries, turn):
    state = turn.state
    if state.role is not Role.LEADER or turn.now < state.transfer_until:
        turn.emit(Rejected(message.id))
        return
    entries = [Entry(state.term, kind, body) for kind, body in message.commands]
    first_index = turn.append(entries)
    turn.emit(Appended(message.id, first_index, state.term))


@handle.register
def _(message: Read, turn):
    replication.read(turn, message.id)


@handle.register
def _(message: Transfer, turn):
    state = turn.state
    if state.role is not Role.LEADER:
        return
    voters = [v for v in state.configuration.voters if v in state.progress]
    if voters:
        best = max(voters, key=lambda voter: state.progress[voter].match)
        limit = turn.now + state.timing.election_ms
        turn.update(transfer_to=best, transfer_until=limit)


@handle.register
def _(message: Compact, turn):
    replication.compact(turn, message.index, message.data)


@handle.register
def _(message: Offer, turn):
    if turn.state.role is Role.LEADER:
        membership.offer(turn, message.replica)
