"""The state of a replica as operators see it."""

from typing import NamedTuple

__all__ = ["GroupStatus", "describe_group"]

LABEL_INCARNATION_CHARS = 8


class GroupStatus(NamedTuple):
    """One replica as operators see it; replicas are named by their `label`."""

    group: str
    replica: str
    role: str
    term: int
    leader: str
    voters: tuple[str, ...]
    outgoing: tuple[str, ...]
    learners: tuple[str, ...]
    commit: int
    applied: int
    snapshot_index: int
    journal_bytes: int
    saved_commit: int
    failure: str


def describe_group(group):
    """Return the `GroupStatus` of this node's replica."""
    state = group.state
    configuration = state.configuration
    return GroupStatus(
        group.name,
        label(group.me),
        str(state.role),
        state.term,
        label(state.leader) if state.leader else "",
        tuple(map(label, configuration.voters)),
        tuple(map(label, configuration.outgoing)),
        tuple(map(label, configuration.learners)),
        state.commit,
        group.applied,
        state.snapshot.index,
        group.journal.size,
        group.journal.commit,
        group.failure,
    )


def label(replica):
    """Return a replica's VM name with the start of its incarnation."""
    return f"{replica.name}/{replica.incarnation[:LABEL_INCARNATION_CHARS]}"
