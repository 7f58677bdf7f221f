"""Membership: joint changes, and automatic repair of a voter that is lost.

A replica outside the group offers itself. It first learns the log; once it has caught
up, one joint change swaps it for the lost voter.
"""

from pollenmount.consensus.messages import Configuration, configuration_entry
from pollenmount.consensus.state import Role

__all__ = ["advance_change", "offer", "repair"]


def offer(turn, replica):
    """Remember a replica that can join; the newest of each VM counts."""
    offers = {**turn.state.offers, replica.name: (replica, turn.now)}
    turn.update(offers=offers)


def change(turn, configuration):
    """Append a new configuration; it is in effect at once."""
    turn.append((configuration_entry(turn.state.term, configuration),))


def advance_change(turn):
    """End a joint change once it is committed; leave if no longer a voter."""
    state = turn.state
    configuration = state.configuration
    if state.commit < state.configuration_index:
        return
    if configuration.outgoing:
        change(turn, Configuration(configuration.voters, (), configuration.learners))
    elif state.me not in configuration.voters:
        turn.become_follower(state.term, None)


def repair(turn):
    """Take the next step of swapping one lost voter for a replica that offers itself.

    One change at a time, and only on top of an entry committed in this term.
    """
    state = turn.state
    configuration = state.configuration
    is_settled = (
        state.commit >= state.configuration_index
        and state.log.term_at(state.commit) == state.term
    )
    if configuration.outgoing or not is_settled:
        return
    swap = next(find_swaps(turn), None)
    if swap is not None:
        lost, spare = swap
        voters = tuple(spare if v == lost else v for v in configuration.voters)
        take_in(turn, spare, voters)
    elif len(configuration.voters) < state.timing.voters:
        spare = choose_addition(turn)
        if spare is not None:
            take_in(turn, spare, (*configuration.voters, spare))


def take_in(turn, spare, voters):
    """Let a spare learn the log; once it has caught up, change to `voters`."""
    configuration = turn.state.configuration
    if spare not in configuration.learners:
        change(turn, Configuration(configuration.voters, (), (spare,)))
    elif has_caught_up(turn, spare):
        change(turn, Configuration(voters, configuration.voters))


def choose_addition(turn):
    """Return the spare to add, of a failure domain without a voter if there is one.

    A spare that learns already goes first, so that one is taken in after the other.
    """
    configuration = turn.state.configuration
    domains = {voter.failure_domain for voter in configuration.voters}
    return min(
        live_offers(turn),
        key=lambda replica: (
            replica not in configuration.learners,
            replica.failure_domain in domains,
            replica,
        ),
        default=None,
    )


def find_swaps(turn):
    """Yield (lost voter, spare); a new incarnation of the same VM goes first."""
    state = turn.state
    spares = list(live_offers(turn))
    for voter in state.configuration.voters:
        if silence_ms(turn, voter) >= state.timing.election_ms:
            yield from ((voter, s) for s in spares if s.name == voter.name)
    for voter in state.configuration.voters:
        if silence_ms(turn, voter) >= state.timing.replace_ms:
            yield from (
                (voter, s) for s in spares if s.failure_domain == voter.failure_domain
            )


def live_offers(turn):
    """Yield the replicas outside the voters that offered themselves lately."""
    state = turn.state
    for replica, offered_at in state.offers.values():
        is_fresh = turn.now - offered_at < state.timing.offer_ms
        is_learning = silence_ms(turn, replica) < state.timing.election_ms
        is_voter = replica in state.configuration.voters
        if (is_fresh or is_learning) and not is_voter:
            yield replica


def silence_ms(turn, replica):
    """Return how long a member has been silent; far back for other replicas."""
    state = turn.state
    if replica == state.me:
        return 0
    progress = state.progress.get(replica)
    return turn.now - progress.heard_at if progress else state.timing.replace_ms


def has_caught_up(turn, replica):
    """Return whether a learner is live and holds every committed entry."""
    state = turn.state
    progress = state.progress[replica]
    is_live = silence_ms(turn, replica) < state.timing.election_ms
    return is_live and progress.match >= state.commit and state.role is Role.LEADER
