"""Data and messages of a replicated log.

`Entry`, `Configuration` and `Snapshot` are what replicas keep. The remaining types are
what a replica is told: by other replicas (with a `term`) or by its own node.
"""

from typing import NamedTuple

import msgspec

__all__ = [
    "CONFIGURATION",
    "EMPTY_CONFIGURATION",
    "NOOP",
    "Append",
    "AppendReply",
    "Bootstrap",
    "Compact",
    "Configuration",
    "Entry",
    "InstallSnapshot",
    "JoinRequest",
    "PreVoteReply",
    "PreVoteRequest",
    "ProposeEntries",
    "Read",
    "Receive",
    "Replica",
    "Snapshot",
    "Tick",
    "TimeoutNow",
    "Transfer",
    "VoteReply",
    "VoteRequest",
    "configuration_entry",
    "decode_configuration",
]

CONFIGURATION = "#configuration"
NOOP = "#noop"


class Replica(NamedTuple):
    """One member of a group.

    `incarnation` is drawn when its journal is made: an empty disk is a new replica.
    """

    name: str
    incarnation: str
    failure_domain: str
    address: str


class Entry(NamedTuple):
    """One entry of the log. `kind` is a command's name, or starts with `#`."""

    term: int
    kind: str
    body: bytes


class Configuration(NamedTuple):
    """Members of a group; `outgoing` holds the old voters during a joint change."""

    voters: tuple[Replica, ...]
    outgoing: tuple[Replica, ...] = ()
    learners: tuple[Replica, ...] = ()

    @property
    def members(self):
        """Return all members as a set."""
        return {*self.voters, *self.outgoing, *self.learners}

    @property
    def voter_sets(self):
        """Return the sets of voters of which each needs a majority."""
        return (self.voters, self.outgoing) if self.outgoing else (self.voters,)

    def can_vote(self, replica):
        """Return whether `replica` is a voter, old ones in a joint change included."""
        return replica in self.voters or replica in self.outgoing

    def has_quorum(self, replicas):
        """Return whether `replicas` hold a majority of each set of voters."""
        return all(holds_majority(voters, replicas) for voters in self.voter_sets)


EMPTY_CONFIGURATION = Configuration(())


class Snapshot(NamedTuple):
    """The state machine after `index`, with the members as of then."""

    index: int
    term: int
    configuration: Configuration
    data: bytes


class PreVoteRequest(NamedTuple):
    """Asks whether a vote in `term` would be granted; changes nothing."""

    term: int
    last_index: int
    last_term: int


class PreVoteReply(NamedTuple):
    """The asked term when granted, the replier's own term when not."""

    term: int
    granted: bool


class VoteRequest(NamedTuple):
    """Asks for a vote. `transfer` is set when the leader hands over."""

    term: int
    last_index: int
    last_term: int
    transfer: bool


class VoteReply(NamedTuple):
    """Tells whether the vote was granted."""

    term: int
    granted: bool


class Append(NamedTuple):
    """Entries after `prev_index`; without any it is a heartbeat."""

    term: int
    prev_index: int
    prev_term: int
    entries: tuple[Entry, ...]
    commit: int
    round: int


class AppendReply(NamedTuple):
    """`index` is the last matching entry, or where to try again when not accepted."""

    term: int
    accepted: bool
    index: int
    round: int


class InstallSnapshot(NamedTuple):
    """A snapshot for a replica that needs entries no longer in the log."""

    term: int
    snapshot: Snapshot
    round: int


class TimeoutNow(NamedTuple):
    """Tells a voter to start an election at once."""

    term: int


class Tick(NamedTuple):
    """Time has passed."""


class Receive(NamedTuple):
    """A message of another replica has arrived."""

    sender: Replica
    message: tuple


class Bootstrap(NamedTuple):
    """The first members of a new group are known."""

    configuration: Configuration


class ProposeEntries(NamedTuple):
    """Commands of this node, as pairs of kind and body, under one `id`."""

    id: int
    commands: tuple[tuple[str, bytes], ...]


class Read(NamedTuple):
    """A linearizable read is wanted."""

    id: int


class Transfer(NamedTuple):
    """Leadership is to move to another voter."""


class Compact(NamedTuple):
    """The state machine as of `index` was encoded as `data`."""

    index: int
    data: bytes


class JoinRequest(NamedTuple):
    """A replica outside the group can join it."""

    replica: Replica


def holds_majority(voters, replicas):
    """Return whether `replicas` contain more than voters of `voters`."""
    held = sum(voter in replicas for voter in voters)
    return held * 2 > len(voters)


def configuration_entry(term, configuration):
    """Return the entry that makes `configuration` the members of the group."""
    return Entry(term, CONFIGURATION, msgspec.msgpack.encode(configuration))


def decode_configuration(entry):
    """Return the configuration that an entry holds."""
    return msgspec.msgpack.decode(entry.body, type=Configuration)
