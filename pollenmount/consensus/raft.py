"""The step function of a replica: `(state, message, now) -> (state, effects)`.

It is pure: it reads no clock, does no input or output and uses no random numbers. The
caller saves what the effects ask for, in their order, before it sends any message.
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
    JoinRequest,
    PreVoteReply,
    PreVoteRequest,
    ProposeEntries,
    Read,
    Receive,
    StepDown,
    Tick,
    Transfer,
    VoteReply,
    VoteRequest,
    configuration_entry,
)
from pollenmount.consensus.state import Appended, Rejected, Role, StepContext

__all__ = ["step"]

FIRST_TERM = 1


def step(state, message, now):
    """Return the state after `message` and the effects to carry out."""
    ctx = StepContext(state, now)
    handle(message, ctx)
    if ctx.state.role is Role.LEADER:
        replication.advance_leader(ctx)
        membership.complete_joint_change(ctx)
    if ctx.state.role is Role.LEADER:
        replication.advance_leader(ctx)
        replication.replicate(ctx)
    return ctx.state, tuple(ctx.effects)


@singledispatch
def handle(message, ctx):
    """Handle one input of the replica in the step `ctx`."""
    raise TypeError(f"not an input of a replica: {type(message).__name__}")


@handle.register
def _(message: Tick, ctx):
    state = ctx.state
    if state.role is Role.LEADER:
        tick_leader(ctx)
    elif ctx.now >= state.election_at and state.configuration.can_vote(state.me):
        election.start_pre_vote(ctx)


def tick_leader(ctx):
    """Step down if no quorum was heard lately; else repair and send heartbeats."""
    note_standstill(ctx)
    state = ctx.state
    timeout_ms = state.timing.election_timeout_ms
    heard = {r for r, p in state.progress.items() if p.silence_ms(ctx.now) < timeout_ms}
    if not state.configuration.has_quorum({*heard, state.me}):
        ctx.become_follower(state.term, None)
        return
    membership.repair(ctx)
    if ctx.now >= state.heartbeat_at:
        replication.sync_progress_members(ctx)
        replication.heartbeat(ctx)


def note_standstill(ctx):
    """Note that this leader goes on, if it has stood still since its last tick.

    The sync of a file, or the machine, may have taken that long. Stepping down before
    the others can reply would leave them without a leader until their election timers
    end, which its last messages have just set. It is not noted if the others have given
    up this leader by now, or if no quorum was heard since the last time.
    """
    state, timeout_ms = ctx.state, ctx.state.timing.election_timeout_ms
    still_ms = ctx.now - state.ticked_at
    # Shorter ones leave enough of the time-out for a heartbeat and its replies.
    is_noted = timeout_ms / 2 <= still_ms < 2 * timeout_ms
    if is_noted and state.has_heard_quorum_since(state.resumed_at):
        ctx.update(resumed_at=ctx.now)
        for replica, progress in state.progress.items():
            uncounted_ms = min(still_ms, ctx.now - progress.heard_at)
            uncounted_ms += progress.uncounted_ms
            ctx.update_progress(replica, uncounted_ms=uncounted_ms)
    ctx.update(ticked_at=ctx.now)


@handle.register
def _(message: Receive, ctx):
    sender, peer_message = message
    if is_ignored_vote_request(ctx, peer_message):
        return
    if peer_message.term > ctx.state.term and raises_term(peer_message):
        ctx.become_follower(peer_message.term, None)
    if peer_message.term < ctx.state.term:
        reject_old_term(ctx, sender, peer_message)
        return
    if (
        isinstance(peer_message, Append | InstallSnapshot)
        and ctx.state.leader != sender
    ):
        ctx.become_follower(peer_message.term, sender)
    receive(peer_message, ctx, sender)


def is_ignored_vote_request(ctx, peer_message):
    """Return whether a message is a vote request that comes while a leader is live."""
    is_vote_request = (
        isinstance(peer_message, VoteRequest) and not peer_message.transfer
    )
    return is_vote_request and election.has_live_leader(ctx)


def raises_term(peer_message):
    """Return whether a message of a newer term proves that this term has begun."""
    if isinstance(peer_message, PreVoteRequest):
        return False
    return not (isinstance(peer_message, PreVoteReply) and peer_message.granted)


def reject_old_term(ctx, sender, peer_message):
    """Reject a request of an older term, with the present term."""
    term = ctx.state.term
    if isinstance(peer_message, Append | InstallSnapshot):
        ctx.send(sender, AppendReply(term, False, 0, 0))
    elif isinstance(peer_message, VoteRequest):
        ctx.send(sender, VoteReply(term, False))
    elif isinstance(peer_message, PreVoteRequest):
        ctx.send(sender, PreVoteReply(term, False))


@handle.register
def _(message: Bootstrap, ctx):
    if not ctx.state.is_uninitialized:
        return
    ctx.save_vote(FIRST_TERM, None)
    ctx.append((configuration_entry(FIRST_TERM, message.configuration),))
    ctx.update(election_at=ctx.now)


@handle.register
def _(message: ProposeEntries, ctx):
    state = ctx.state
    if state.role is not Role.LEADER or ctx.now < state.transfer_deadline:
        ctx.emit(Rejected(message.id))
        return
    entries = [Entry(state.term, kind, body) for kind, body in message.commands]
    first_index = ctx.append(entries)
    ctx.emit(Appended(message.id, first_index, state.term))


@handle.register
def _(message: Read, ctx):
    replication.read(ctx, message.id)


@handle.register
def _(message: Transfer, ctx):
    state = ctx.state
    if state.role is not Role.LEADER:
        return
    voters = [v for v in state.configuration.voters if v in state.progress]
    if voters:
        successor = max(voters, key=lambda voter: state.progress[voter].match_index)
        deadline = ctx.now + state.timing.election_timeout_ms
        ctx.update(transfer_to=successor, transfer_deadline=deadline)


@handle.register
def _(message: StepDown, ctx):
    ctx.become_follower(ctx.state.term, None)


@handle.register
def _(message: Compact, ctx):
    replication.compact(ctx, message.index, message.data)


@handle.register
def _(message: JoinRequest, ctx):
    if ctx.state.role is Role.LEADER:
        membership.record_join_request(ctx, message.replica)
