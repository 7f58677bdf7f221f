"""Data and messages of a replicated log.

`Entry`, `Configuration` and `Snapshot` are the data that replicas store. The remaining
types are inputs of the step function: messages of other replicas, which have a `term`,
and events on the replica's own node.
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
    "StepDown",
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

    `incarnation` is a random identifier made with its journal, so that a VM that lost
    its disk comes back as a new replica.
    """

    name: str
    incarnation: str
    failure_domain: str
    address: str


class Entry(NamedTuple):
    """One entry of the log.

    `kind` is the name of a command, or starts with `#` if the entry is for Raft itself.
    """

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
        """Return the sets of voters, each of which must reach a majority."""
        return (self.voters, self.outgoing) if self.outgoing else (self.voters,)

    def can_vote(self, replica):
        """Return whether `replica` is a voter; in a joint change, old or new."""
        return replica in self.voters or replica in self.outgoing

    def has_quorum(self, replicas):
        """Return whether `replicas` hold a majority of each set of voters."""
        return all(holds_majority(voters, replicas) for voters in self.voter_sets)


EMPTY_CONFIGURATION = Configuration(())


class Snapshot(NamedTuple):
    """The encoded state machine after `index`, with the members as of then."""

    index: int
    term: int
    configuration: Configuration
    data: bytes


class PreVoteRequest(NamedTuple):
    """Asks whether a vote in `term` would be granted; changes no state."""

    term: int
    last_index: int
    last_term: int


class PreVoteReply(NamedTuple):
    """Reply to a pre-vote request.

    `term` is the requested term if granted, else the present term of the sender.
    """

    term: int
    granted: bool


class VoteRequest(NamedTuple):
    """Asks for a vote. `transfer` is set when the leader transfers leadership."""

    term: int
    last_index: int
    last_term: int
    transfer: bool


class VoteReply(NamedTuple):
    """Tells whether the vote was granted."""

    term: int
    granted: bool


class Append(NamedTuple):
    """Entries after `prev_index`; without any it is a heartbeat.

    `round` is the number of the newest heartbeat; the reply repeats it.
    """

    term: int
    prev_index: int
    prev_term: int
    entries: tuple[Entry, ...]
    commit: int
    round: int


class AppendReply(NamedTuple):
    """Reply to `Append` and `InstallSnapshot`.

    `index` is the last matching entry if accepted, else the last that may match.
    """

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
    """Time has passed: timers may be due."""


class Receive(NamedTuple):
    """A message of another replica was received."""

    sender: Replica
    message: tuple


class Bootstrap(NamedTuple):
    """A new group is created with these members."""

    configuration: Configuration


class ProposeEntries(NamedTuple):
    """Commands to append, as pairs of kind and body; `id` is in their effect."""

    id: int
    commands: tuple[tuple[str, bytes], ...]


class Read(NamedTuple):
    """A linearizable read was requested."""

    id: int


class StepDown(NamedTuple):
    """Input: give up the leader, which may be this replica, without a new term."""


class Transfer(NamedTuple):
    """Leadership is to move to another voter."""


class Compact(NamedTuple):
    """The state machine as of `index` was encoded as `data`, for a snapshot."""

    index: int
    data: bytes


class JoinRequest(NamedTuple):
    """A replica outside the group asks to join it."""

    replica: Replica


def holds_majority(voters, replicas):
    """Return whether `replicas` contain more than half of `voters`."""
    held = sum(voter in replicas for voter in voters)
    return held * 2 > len(voters)


def configuration_entry(term, configuration):
    """Return the entry that makes `configuration` the members of the group."""
    return Entry(term, CONFIGURATION, msgspec.msgpack.encode(configuration))


def decode_configuration(entry):
    """Return the configuration that an entry holds."""
    return msgspec.msgpack.decode(entry.body, type=Configuration)
