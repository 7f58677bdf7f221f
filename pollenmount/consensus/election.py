"""Elections: asking beforehand, voting, leading, handing over."""

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
from pollenmount.consensus.state import Progress, Role

__all__ = ["follows_live_leader", "start_pre_vote"]


def start_pre_vote(turn):
    """Ask the voters whether an election would succeed, before any term is raised."""
    turn.set_election_timer()
    state = turn.state
    turn.update(role=Role.PRE_CANDIDATE, leader=None, votes=frozenset({state.me}))
    log = state.log
    request = PreVoteRequest(state.term + 1, log.last_index, log.last_term)
    ask_voters(turn, request)
    if has_won(turn):
        start_election(turn)


def start_election(turn, transfer=False):
    """Stand for election in the next term."""
    turn.set_election_timer()
    state = turn.state
    turn.save_vote(state.term + 1, state.me)
    turn.update(role=Role.CANDIDATE, leader=None, votes=frozenset({state.me}))
    log = state.log
    request = VoteRequest(turn.state.term, log.last_index, log.last_term, transfer)
    ask_voters(turn, request)
    if has_won(turn):
        become_leader(turn)


def ask_voters(turn, request):
    """Send a request to all other voters."""
    configuration = turn.state.configuration
    for voter in sorted({*configuration.voters, *configuration.outgoing}):
        if voter != turn.state.me:
            turn.send(voter, request)


def has_won(turn):
    """Return whether the votes so far are a quorum."""
    return turn.state.configuration.has_quorum(turn.state.votes)


def become_leader(turn):
    """Lead: commit an entry of this term, which commits all before it."""
    state = turn.state
    first = Progress(state.log.last_index + 1, turn.now)
    others = state.configuration.members - {state.me}
    turn.update(
        role=Role.LEADER,
        leader=state.me,
        votes=frozenset(),
        progress=dict.fromkeys(others, first),
        round=0,
        heartbeat_at=turn.now,
        reads=(),
        transfer_to=None,
        transfer_until=0,
        offers={},
    )
    turn.append((Entry(state.term, NOOP, b""),))


def follows_live_leader(turn):
    """Return whether a leader was heard lately, so that votes are refused."""
    state = turn.state
    if state.role is Role.LEADER:
        return True
    silent_ms = turn.now - state.heard_at
    return state.leader is not None and silent_ms < state.timing.election_ms


def is_current(state, request):
    """Return whether a candidate's log holds everything this replica's holds."""
    log = state.log
    mine = (log.last_term, log.last_index)
    return (request.last_term, request.last_index) >= mine


@receive.register
def _(message: PreVoteRequest, turn, sender):
    state = turn.state
    granted = (
        message.term > state.term
        and is_current(state, message)
        and not follows_live_leader(turn)
    )
    turn.send(sender, PreVoteReply(message.term if granted else state.term, granted))


@receive.register
def _(message: PreVoteReply, turn, sender):
    state = turn.state
    asked = state.role is Role.PRE_CANDIDATE and message.term == state.term + 1
    if not (asked and message.granted):
        return
    turn.update(votes=state.votes | {sender})
    if has_won(turn):
        start_election(turn)


@receive.register
def _(message: VoteRequest, turn, sender):
    state = turn.state
    granted = (
        message.term == state.term
        and state.voted_for in (None, sender)
        and is_current(state, message)
    )
    if granted:
        turn.save_vote(state.term, sender)
        turn.set_election_timer()
    turn.send(sender, VoteReply(state.term, granted))


@receive.register
def _(message: VoteReply, turn, sender):
    state = turn.state
    if state.role is not Role.CANDIDATE or not message.granted:
        return
    turn.update(votes=state.votes | {sender})
    if has_won(turn):
        become_leader(turn)


@receive.register
def _(message: TimeoutNow, turn, sender):
    state = turn.state
    if state.role is Role.FOLLOWER and state.configuration.can_vote(state.me):
        start_election(turn, transfer=True)
