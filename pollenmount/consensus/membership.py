"""Membership: joint changes, and automatic replacement of lost voters.

A replica outside the group (a spare) asks to join. It is first added as a learner; once
it has caught up, one joint change replaces the lost voter with it.
"""

from pollenmount.consensus.messages import Configuration, configuration_entry
from pollenmount.consensus.state import Role

__all__ = ["complete_joint_change", "record_join_request", "repair"]


def record_join_request(ctx, replica):
    """Record a replica that asks to join; the newest request of each VM counts."""
    join_requests = {**ctx.state.join_requests, replica.name: (replica, ctx.now)}
    ctx.update(join_requests=join_requests)


def append_configuration(ctx, configuration):
    """Append a new configuration, which takes effect before it is committed."""
    ctx.append((configuration_entry(ctx.state.term, configuration),))


def complete_joint_change(ctx):
    """Complete a joint change once it is committed; step down if no longer a voter."""
    state = ctx.state
    configuration = state.configuration
    if state.commit < state.configuration_index:
        return
    if configuration.outgoing:
        append_configuration(
            ctx, Configuration(configuration.voters, (), configuration.learners)
        )
    elif state.me not in configuration.voters:
        ctx.become_follower(state.term, None)


def repair(ctx):
    """Take the next step of replacing a lost voter, or else of adding a voter.

    Voters are added while there are fewer than `max_voters`.

    There is one change at a time, and only after an entry of this term is committed.
    """
    state = ctx.state
    configuration = state.configuration
    can_start_change = (
        state.commit >= state.configuration_index
        and state.log.term_at(state.commit) == state.term
    )
    if configuration.outgoing or not can_start_change:
        return
    replacement = next(find_replacements(ctx), None)
    if replacement is not None:
        lost, spare = replacement
        voters = tuple(spare if v == lost else v for v in configuration.voters)
        add_replica(ctx, spare, voters)
    elif len(configuration.voters) < state.timing.max_voters:
        spare = choose_spare(ctx)
        if spare is not None:
            add_replica(ctx, spare, (*configuration.voters, spare))


def add_replica(ctx, spare, voters):
    """Add a spare as a learner; once it has caught up, change to `voters`."""
    configuration = ctx.state.configuration
    if spare not in configuration.learners:
        append_configuration(ctx, Configuration(configuration.voters, (), (spare,)))
    elif has_caught_up(ctx, spare):
        append_configuration(ctx, Configuration(voters, configuration.voters))


def choose_spare(ctx):
    """Return the spare to add, of a failure domain without a voter if there is one.

    A spare that is a learner already is preferred, so that spares are added one by one.
    """
    configuration = ctx.state.configuration
    domains = {voter.failure_domain for voter in configuration.voters}
    return min(
        live_spares(ctx),
        key=lambda replica: (
            replica not in configuration.learners,
            replica.failure_domain in domains,
            replica,
        ),
        default=None,
    )


def find_replacements(ctx):
    """Yield (lost voter, spare); new incarnations on the same VM come first."""
    state = ctx.state
    spares = list(live_spares(ctx))
    for voter in state.configuration.voters:
        if silence_ms(ctx, voter) >= state.timing.election_timeout_ms:
            yield from ((voter, s) for s in spares if s.name == voter.name)
    for voter in state.configuration.voters:
        if counted_silence_ms(ctx, voter) >= state.timing.replace_voter_ms:
            yield from (
                (voter, s) for s in spares if s.failure_domain == voter.failure_domain
            )


def live_spares(ctx):
    """Yield the replicas that are no voters and asked to join or replied lately."""
    state = ctx.state
    for replica, requested_at in state.join_requests.values():
        is_fresh = ctx.now - requested_at < state.timing.join_request_ttl_ms
        is_learning = silence_ms(ctx, replica) < state.timing.election_timeout_ms
        is_voter = replica in state.configuration.voters
        if (is_fresh or is_learning) and not is_voter:
            yield replica


def silence_ms(ctx, replica):
    """Return the time since a member was heard; `replace_voter_ms` for others."""
    state = ctx.state
    if replica == state.me:
        return 0
    progress = state.progress.get(replica)
    return ctx.now - progress.heard_at if progress else state.timing.replace_voter_ms


def counted_silence_ms(ctx, replica):
    """Return the silence of a member without the time in which this leader stood still.

    A voter that had no chance to reply meanwhile must not be replaced for that.
    """
    progress = ctx.state.progress.get(replica)
    return silence_ms(ctx, replica) - (progress.uncounted_ms if progress else 0)


def has_caught_up(ctx, replica):
    """Return whether a learner is live and holds every committed entry."""
    state = ctx.state
    progress = state.progress[replica]
    is_live = silence_ms(ctx, replica) < state.timing.election_timeout_ms
    return (
        is_live and progress.match_index >= state.commit and state.role is Role.LEADER
    )
