"""State of one replica as immutable data, and the context of one step."""

import zlib
from enum import StrEnum
from typing import NamedTuple

from pollenmount.consensus.messages import (
    CONFIGURATION,
    EMPTY_CONFIGURATION,
    Configuration,
    Entry,
    Replica,
    Snapshot,
    decode_configuration,
)

__all__ = [
    "NO_SNAPSHOT",
    "Appended",
    "Log",
    "PendingRead",
    "ReadFailed",
    "ReadReady",
    "Rejected",
    "ReplicaProgress",
    "Role",
    "SaveEntries",
    "SaveSnapshot",
    "SaveVote",
    "Send",
    "State",
    "StepContext",
    "Timing",
    "restore",
]

NO_SNAPSHOT = Snapshot(0, 0, EMPTY_CONFIGURATION, b"")


class Role(StrEnum):
    """Role of a replica in its group at present."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class Timing(NamedTuple):
    """Intervals in milliseconds and limits of the log.

    `heartbeat_ms`
        Interval of the leader's heartbeats.
    `election_timeout_ms`
        Silence after which a leader counts as failed. Voters start an election after
        one to two times as long.
    `replace_voter_ms`
        Silence after which a voter is replaced by a replica on another VM of its
        failure domain.
    `join_request_ttl_ms`
        How long a request to join is valid.
    `snapshot_resend_ms`
        Time before a snapshot is sent to the same replica again.
    `retained_entries`
        Entries before the snapshot that are kept for replicas that lag.
    `max_in_flight_entries`
        Limit of the entries sent to a replica and not yet acknowledged by it, once it
        has acknowledged any.
    `max_voters`
        Replicas that ask to join become voters up to this number; 0 adds none.
    `max_message_bytes`
        Size of a message in bytes from which no further entry is added to it.
    """

    heartbeat_ms: int = 500
    election_timeout_ms: int = 1500
    replace_voter_ms: int = 300_000
    join_request_ttl_ms: int = 10_000
    snapshot_resend_ms: int = 2000
    retained_entries: int = 64
    max_in_flight_entries: int = 1024
    max_message_bytes: int = 1 << 20
    max_voters: int = 0


class Log(NamedTuple):
    """The entries after `base_index`."""

    base_index: int = 0
    base_term: int = 0
    entries: tuple[Entry, ...] = ()

    @property
    def last_index(self):
        """Return the index of the last entry."""
        return self.base_index + len(self.entries)

    @property
    def last_term(self):
        """Return the term of the last entry."""
        return self.entries[-1].term if self.entries else self.base_term

    def term_at(self, index):
        """Return the term of the entry at `index`, or None if it isn't held."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self.entries[index - self.base_index - 1].term
        return None

    def after(self, index):
        """Return the entries after `index`."""
        return self.entries[index - self.base_index :]

    def replaced_from(self, first_index, entries):
        """Return the log with everything from `first_index` replaced."""
        kept = self.entries[: first_index - 1 - self.base_index]
        return self._replace(entries=(*kept, *entries))

    def compacted_to(self, index):
        """Return the log without the entries up to `index`, which it holds."""
        return Log(index, self.term_at(index), self.after(index))


class ReplicaProgress(NamedTuple):
    """What a leader knows of another replica.

    `uncounted_ms` is for how long the leader has stood still since `heard_at`.
    """

    next_index: int
    heard_at: int
    match_index: int = 0
    round: int = 0
    snapshot_sent_at: int | None = None
    uncounted_ms: int = 0

    def silence_ms(self, now):
        """Return how long the replica has been silent to a leader that was running.

        A leader that stands still sends nothing that the replica could reply to.
        """
        return now - self.heard_at - self.uncounted_ms


class PendingRead(NamedTuple):
    """A read that waits until a quorum has answered `round`."""

    id: int
    index: int
    round: int


class State(NamedTuple):
    """The whole input of a replica's decisions. Its mappings are never mutated.

    `ticked_at` is when this leader handled its last tick, and `resumed_at` when it was
    elected, or went on after it had stood still.
    """

    me: Replica
    timing: Timing
    term: int = 0
    voted_for: Replica | None = None
    log: Log = Log()
    snapshot: Snapshot = NO_SNAPSHOT
    configuration: Configuration = EMPTY_CONFIGURATION
    configuration_index: int = 0
    commit: int = 0
    role: Role = Role.FOLLOWER
    leader: Replica | None = None
    votes: frozenset[Replica] = frozenset()
    heard_at: int = 0
    election_at: int = 0
    election_timer_resets: int = 0
    heartbeat_at: int = 0
    ticked_at: int = 0
    resumed_at: int = 0
    progress: dict[Replica, ReplicaProgress] = {}
    round: int = 0
    reads: tuple[PendingRead, ...] = ()
    join_requests: dict[str, tuple[Replica, int]] = {}
    transfer_to: Replica | None = None
    transfer_deadline: int = 0

    @property
    def is_uninitialized(self):
        """Return whether this replica belongs to no group yet and knows of no term."""
        return not self.configuration.voters and not self.term

    def has_heard_quorum_since(self, at):
        """Return whether replicas heard at a time or later are a quorum with this."""
        heard = {r for r, p in self.progress.items() if p.heard_at >= at}
        return self.configuration.has_quorum({*heard, self.me})


class Send(NamedTuple):
    """Effect: send `message`, once everything before it is saved."""

    to: Replica
    message: tuple


class SaveVote(NamedTuple):
    """Effect: save term and vote."""

    term: int
    voted_for: Replica | None


class SaveEntries(NamedTuple):
    """Effect: save entries in place of all from `first_index` on."""

    first_index: int
    entries: tuple[Entry, ...]


class SaveSnapshot(NamedTuple):
    """Effect: save a snapshot, then drop the entries that are no longer needed."""

    snapshot: Snapshot


class Appended(NamedTuple):
    """Effect: the proposal `id` is in the log from `first_index` on."""

    id: int
    first_index: int
    term: int


class Rejected(NamedTuple):
    """Effect: the proposal `id` was not appended."""

    id: int


class ReadReady(NamedTuple):
    """Effect: the read `id` may be answered once `index` is applied."""

    id: int
    index: int


class ReadFailed(NamedTuple):
    """Effect: the read `id` can't be answered here."""

    id: int


class StepContext:
    """The context of one step: the state as it changes, and its effects so far."""

    def __init__(self, state, now):
        self.state = state
        self.now = now
        self.effects = []

    def update(self, **changes):
        """Change fields of the state."""
        self.state = self.state._replace(**changes)

    def emit(self, effect):
        """Add an effect."""
        self.effects.append(effect)

    def send(self, to, message):
        """Add the effect of sending `message`."""
        self.emit(Send(to, message))

    def save_vote(self, term, voted_for):
        """Change term and vote, and save them."""
        self.update(term=term, voted_for=voted_for)
        self.emit(SaveVote(term, voted_for))

    def replace_entries(self, first_index, entries):
        """Replace the log from `first_index` on, and save that."""
        log = self.state.log.replaced_from(first_index, entries)
        keeps_configuration = first_index > self.state.log.last_index and not any(
            entry.kind == CONFIGURATION for entry in entries
        )
        self.update(log=log)
        self.emit(SaveEntries(first_index, tuple(entries)))
        if not keeps_configuration:
            self.update(**find_configuration(log, self.state.snapshot))

    def append(self, entries):
        """Add entries at the end of the log; return the index of the first."""
        first_index = self.state.log.last_index + 1
        self.replace_entries(first_index, entries)
        return first_index

    def update_progress(self, replica, **changes):
        """Change fields of the progress of another replica."""
        progress = self.state.progress[replica]._replace(**changes)
        self.update(progress={**self.state.progress, replica: progress})

    def set_election_timer(self):
        """Set the election timer, with jitter that differs by replica and attempt."""
        state = self.state
        seed = f"{state.me.name} {state.me.incarnation} {state.election_timer_resets}"
        jitter = zlib.crc32(seed.encode()) % state.timing.election_timeout_ms
        self.update(
            election_at=self.now + state.timing.election_timeout_ms + jitter,
            election_timer_resets=state.election_timer_resets + 1,
        )

    def become_follower(self, term, leader):
        """Follow `leader` in `term`; pending reads fail."""
        if term > self.state.term:
            self.save_vote(term, None)
        for read in self.state.reads:
            self.emit(ReadFailed(read.id))
        if self.state.role is Role.LEADER or leader != self.state.leader:
            self.set_election_timer()
        self.update(
            role=Role.FOLLOWER,
            leader=leader,
            votes=frozenset(),
            progress={},
            reads=(),
            transfer_to=None,
        )


def find_configuration(log, snapshot):
    """Return the newest configuration and its index, committed or not, as fields."""
    for index in range(log.last_index, max(log.base_index, snapshot.index), -1):
        entry = log.entries[index - log.base_index - 1]
        if entry.kind == CONFIGURATION:
            return {
                "configuration": decode_configuration(entry),
                "configuration_index": index,
            }
    return {
        "configuration": snapshot.configuration,
        "configuration_index": snapshot.index,
    }


def restore(
    me, timing, now, term=0, voted_for=None, snapshot=NO_SNAPSHOT, log=Log(), commit=0
):
    """Return the state of a replica that starts from what it has saved."""
    state = State(
        me,
        timing,
        term=term,
        voted_for=voted_for,
        log=log,
        snapshot=snapshot,
        commit=max(snapshot.index, min(commit, log.last_index)),
        heard_at=now - timing.election_timeout_ms,
        **find_configuration(log, snapshot),
    )
    ctx = StepContext(state, now)
    ctx.set_election_timer()
    return ctx.state
