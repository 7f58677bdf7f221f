"""Elections: pre-votes, votes, becoming leader, leadership transfer."""

from pollenmount.consensus.dispatch import receive
from pollenmount.consensus.messages import (
    NOOP,
    Entry,
    PreVoteReply,
    PreVoteRequest,
    TimeoutNow,
    VoteReply,
    VoteRequest,
)
from pollenmount.consensus.state import ReplicaProgress, Role

__all__ = ["has_live_leader", "start_pre_vote"]


def start_pre_vote(ctx):
    """Ask the voters whether an election would succeed, without raising the term."""
    ctx.set_election_timer()
    state = ctx.state
    ctx.update(role=Role.PRE_CANDIDATE, leader=None, votes=frozenset({state.me}))
    log = state.log
    request = PreVoteRequest(state.term + 1, log.last_index, log.last_term)
    ask_voters(ctx, request)
    if has_won(ctx):
        start_election(ctx)


def start_election(ctx, transfer=False):
    """Become a candidate in the next term and request votes."""
    ctx.set_election_timer()
    state = ctx.state
    ctx.save_vote(state.term + 1, state.me)
    ctx.update(role=Role.CANDIDATE, leader=None, votes=frozenset({state.me}))
    log = state.log
    request = VoteRequest(ctx.state.term, log.last_index, log.last_term, transfer)
    ask_voters(ctx, request)
    if has_won(ctx):
        become_leader(ctx)


def ask_voters(ctx, request):
    """Send a request to all other voters."""
    configuration = ctx.state.configuration
    for voter in sorted({*configuration.voters, *configuration.outgoing}):
        if voter != ctx.state.me:
            ctx.send(voter, request)


def has_won(ctx):
    """Return whether the votes so far are a quorum."""
    return ctx.state.configuration.has_quorum(ctx.state.votes)


def become_leader(ctx):
    """Become leader and append a no-op.

    Committing an entry of this term commits all entries before it.
    """
    state = ctx.state
    initial = ReplicaProgress(state.log.last_index + 1, ctx.now)
    others = state.configuration.members - {state.me}
    ctx.update(
        role=Role.LEADER,
        leader=state.me,
        votes=frozenset(),
        progress=dict.fromkeys(others, initial),
        round=0,
        heartbeat_at=ctx.now,
        ticked_at=ctx.now,
        resumed_at=ctx.now,
        reads=(),
        transfer_to=None,
        transfer_deadline=0,
        join_requests={},
    )
    ctx.append((Entry(state.term, NOOP, b""),))


def has_live_leader(ctx):
    """Return whether a leader is live, so that votes are refused.

    That is this replica, or a leader heard within the election timeout.
    """
    state = ctx.state
    if state.role is Role.LEADER:
        return True
    silent_ms = ctx.now - state.heard_at
    return state.leader is not None and silent_ms < state.timing.election_timeout_ms


def is_log_up_to_date(state, request):
    """Return whether a candidate's log is at least as up to date as this one."""
    log = state.log
    own = (log.last_term, log.last_index)
    return (request.last_term, request.last_index) >= own


@receive.register
def _(message: PreVoteRequest, ctx, sender):
    state = ctx.state
    granted = (
        message.term > state.term
        and is_log_up_to_date(state, message)
        and not has_live_leader(ctx)
    )
    if granted and is_preferred(state, message, sender):
        # Two that ask at the same time would both get votes enough to start an
        # election, and then each refuse the other's vote.
        ctx.update(role=Role.FOLLOWER, votes=frozenset())
    ctx.send(sender, PreVoteReply(message.term if granted else state.term, granted))


def is_preferred(state, message, sender):
    """Return whether this replica asks for pre-votes too, and `sender` goes before it.

    The one with the newer log does, or else the one whose name sorts last.
    """
    log = state.log
    own = (log.last_term, log.last_index, state.me)
    asked = (message.last_term, message.last_index, sender)
    return state.role is Role.PRE_CANDIDATE and asked > own


@receive.register
def _(message: PreVoteReply, ctx, sender):
    state = ctx.state
    asked = state.role is Role.PRE_CANDIDATE and message.term == state.term + 1
    if not (asked and message.granted):
        return
    ctx.update(votes=state.votes | {sender})
    if has_won(ctx):
        start_election(ctx)


@receive.register
def _(message: VoteRequest, ctx, sender):
    state = ctx.state
    granted = (
        message.term == state.term
        and state.voted_for in (None, sender)
        and is_log_up_to_date(state, message)
    )
    if granted:
        ctx.save_vote(state.term, sender)
        ctx.set_election_timer()
    ctx.send(sender, VoteReply(state.term, granted))


@receive.register
def _(message: VoteReply, ctx, sender):
    state = ctx.state
    if state.role is not Role.CANDIDATE or not message.granted:
        return
    ctx.update(votes=state.votes | {sender})
    if has_won(ctx):
        become_leader(ctx)


@receive.register
def _(message: TimeoutNow, ctx, sender):
    state = ctx.state
    if state.role is Role.FOLLOWER and state.configuration.can_vote(state.me):
        start_election(ctx, transfer=True)
