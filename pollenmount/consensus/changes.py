"""Log lines on what a replica believes of its group: leader, members, join requests."""

from pollenmount.log import get_logger

__all__ = ["log_changes"]

logger = get_logger("consensus")


def log_changes(group, before, after):
    """Log how a replica's `State` differs after a step, once for each kind of change.

    `group` is the name of the group.
    """
    if (before.leader, before.role, before.term) != (
        after.leader,
        after.role,
        after.term,
    ):
        log_leader(group, after)
    if before.configuration != after.configuration:
        log_members(group, after)
    for name, (replica, _) in after.join_requests.items():
        known, _ = before.join_requests.get(name, (None, 0))
        if known != replica:
            log_join_request(group, after, replica)


def log_leader(group, state):
    """Log which leader this replica follows, and its own role."""
    logger.info(
        "leader changed",
        extra={
            "group": group,
            "leader": state.leader.name if state.leader else "",
            "role": state.role,
            "term": state.term,
            "last_index": state.log.last_index,
            "commit": state.commit,
        },
    )


def log_members(group, state):
    """Log the members that are in force, committed or not."""
    configuration = state.configuration
    logger.info(
        "members changed",
        extra={
            "group": group,
            "voters": describe(configuration.voters),
            "outgoing": describe(configuration.outgoing),
            "learners": describe(configuration.learners),
            "index": state.configuration_index,
            "commit": state.commit,
        },
    )


def log_join_request(group, state, replica):
    """Log the first request of a replica to join this leader's group."""
    logger.info(
        "join requested",
        extra={
            "group": group,
            "replica": describe((replica,))[0],
            "is_learner": replica in state.configuration.learners,
        },
    )


def describe(replicas):
    """Return names of replicas, each with the start of its incarnation."""
    return [f"{replica.name}/{replica.incarnation[:8]}" for replica in replicas]
