"""Model of a group on a lossy network with a manual clock, which checks each step."""

import random
import zlib
from typing import NamedTuple

from pollenmount.consensus import messages as m
from pollenmount.consensus import state as s
from pollenmount.consensus.raft import step

TICK_MS = 50
TIMING = s.Timing(
    heartbeat_ms=100,
    election_timeout_ms=400,
    replace_voter_ms=2000,
    join_request_ttl_ms=1000,
    snapshot_resend_ms=300,
    retained_entries=3,
    max_message_bytes=1,
)


class SavedState(NamedTuple):
    """What a replica has saved on its disk."""

    term: int = 0
    voted_for: m.Replica | None = None
    snapshot: m.Snapshot = s.NO_SNAPSHOT
    log: s.Log = s.Log()


def apply_save(saved_state, effect):
    """Return the saved state after an effect that may save."""
    match effect:
        case s.SaveVote(term, voted_for):
            return saved_state._replace(term=term, voted_for=voted_for)
        case s.SaveEntries(first_index, entries):
            return saved_state._replace(
                log=saved_state.log.replaced_from(first_index, entries)
            )
        case s.SaveSnapshot(snapshot):
            if saved_state.log.term_at(snapshot.index) != snapshot.term:
                return saved_state._replace(
                    snapshot=snapshot, log=s.Log(snapshot.index, snapshot.term)
                )
            return saved_state._replace(snapshot=snapshot)
    return saved_state


class ModelNode:
    """One replica with its saved state, and a checksum of the entries it applied."""

    def __init__(self, replica, now):
        self.replica = replica
        self.saved_state = SavedState()
        self.start(now)

    def start(self, now, commit=0):
        self.state = s.restore(
            self.replica, TIMING, now, **self.saved_state._asdict(), commit=commit
        )
        self.applied = self.state.snapshot.index
        self.checksum = int(self.state.snapshot.data or 0)


class Model:
    """All replicas, and a record of leaders, committed entries and reads to check with.

    `min_read_indexes` holds the highest index that was committed when a read started.
    """

    def __init__(self, names="abcd", voters="abc"):
        self.now = 0
        self.steps = 0
        self.incarnation = 0
        self.network = []
        self.down, self.partitioned, self.paused = set(), set(), set()
        self.leaders, self.committed, self.checksums = {}, {}, {0: 0}
        self.min_read_indexes = {}
        self.finished_reads = 0
        self.nodes = {name: ModelNode(self.new_replica(name), 0) for name in names}
        first = m.Configuration(tuple(self.nodes[name].replica for name in voters))
        self.step(voters[0], m.Bootstrap(first))

    def new_replica(self, name):
        self.incarnation += 1
        return m.Replica(name, str(self.incarnation), "x", name)

    def step(self, name, message):
        """Step one replica, save, send its messages, then check its state."""
        node = self.nodes[name]
        before = node.state
        node.state, effects = step(before, message, self.now)
        self.steps += 1
        for effect in effects:
            node.saved_state = apply_save(node.saved_state, effect)
        log = node.state.log
        if node.saved_state.log.base_index < log.base_index:
            node.saved_state = node.saved_state._replace(
                log=node.saved_state.log.compacted_to(log.base_index)
            )
        for effect in effects:
            if isinstance(effect, s.Send):
                self.network.append((effect.to, node.replica, effect.message))
            elif isinstance(effect, s.ReadReady):
                assert effect.index >= self.min_read_indexes[effect.id], "stale read"
                self.finished_reads += 1
        self.check(node, before)

    def check(self, node, before):
        state = node.state
        expected = (state.term, state.voted_for, state.snapshot, state.log)
        assert node.saved_state == expected, "state differs from what was saved"
        assert state.term >= before.term
        assert state.commit >= before.commit, "commit index went back"
        if state.role is s.Role.LEADER:
            leader = self.leaders.setdefault(state.term, node.replica)
            assert leader == node.replica, "two leaders in one term"
        if state.role is s.Role.LEADER and before.role is not s.Role.LEADER:
            for index, entry in self.committed.items():
                held = state.log.term_at(index)
                assert index < state.log.base_index or held == entry.term, "entry lost"
        self.apply(node)

    def apply(self, node):
        state = node.state
        if state.snapshot.index > node.applied:
            node.applied = state.snapshot.index
            node.checksum = int(state.snapshot.data)
            assert node.checksum == self.checksums[node.applied], "wrong snapshot"
        while node.applied < state.commit:
            node.applied += 1
            entry = state.log.entries[node.applied - state.log.base_index - 1]
            committed_entry = self.committed.setdefault(node.applied, entry)
            assert committed_entry == entry, "two entries committed at one index"
            node.checksum = zlib.crc32(repr(entry).encode(), node.checksum)
            self.checksums[node.applied] = node.checksum

    def live(self):
        return [name for name in self.nodes if name not in self.down | self.paused]

    def current_leaders(self):
        return [n for n in self.nodes if self.nodes[n].state.role is s.Role.LEADER]

    def deliver(self, position, keep=False):
        """Deliver one message, or drop it if its receiver is down or out of reach.

        It waits for a paused receiver; `keep` leaves it in the network as a duplicate.
        """
        to, sender, message = self.network[position]
        if to.name in self.paused:
            return
        if not keep:
            self.network[position] = self.network[-1]
            self.network.pop()
        is_partitioned = (to.name in self.partitioned) != (
            sender.name in self.partitioned
        )
        if (
            to.name not in self.down
            and not is_partitioned
            and self.nodes[to.name].replica == to
        ):
            self.step(to.name, m.Receive(sender, message))

    def run(self, ms, seed, loss=0.0):
        """Let time pass: ticks, and messages in any order, some lost or duplicated."""
        rng = random.Random(seed)
        for _ in range(0, ms, TICK_MS):
            self.now += TICK_MS
            for name in self.live():
                self.step(name, m.Tick())
            for _ in range(len(self.network)):
                position = rng.randrange(len(self.network))
                roll = rng.random()
                if roll < loss:
                    self.network.pop(position)
                elif roll < 0.8:
                    self.deliver(position, keep=rng.random() < loss / 4)
            self.send_join_requests()
            del self.network[:-200]

    def run_random_faults(self, seed, events):
        """Inject random faults and requests, with little time between them."""
        rng = random.Random(seed)
        faults = (
            *(self.down.add, self.paused.add, self.partitioned.add),
            *(self.restart, self.restart, self.restart, self.paused.discard),
            *(
                self.partitioned.discard,
                self.partitioned.discard,
                self.partitioned.discard,
            ),
            *(self.compact, self.lose_disk_safely, self.transfer, self.propose),
        )
        for _ in range(events):
            rng.choice(faults)(rng.choice("abcd"))
            for name in self.current_leaders():
                rng.choice((self.propose, self.read))(name)
            length = rng.choice((0, TICK_MS, 100, 300, 1000))
            self.run(length, rng.random(), rng.choice((0, 0.1, 0.5)))

    def send_join_requests(self):
        for name in self.live():
            node = self.nodes[name]
            if node.replica not in node.state.configuration.voters:
                for other in self.live():
                    if (name in self.partitioned) == (other in self.partitioned):
                        self.step(other, m.JoinRequest(node.replica))

    def propose(self, name):
        self.step(name, m.ProposeEntries(0, (("x", str(self.steps).encode()),)))

    def read(self, name):
        id_ = len(self.min_read_indexes)
        self.min_read_indexes[id_] = max(self.committed, default=0)
        self.step(name, m.Read(id_))

    def transfer(self, name):
        self.step(name, m.Transfer())

    def compact(self, name):
        node = self.nodes[name]
        self.step(name, m.Compact(node.applied, str(node.checksum).encode()))

    def restart(self, name):
        self.down.discard(name)
        self.paused.discard(name)
        node = self.nodes[name]
        node.start(self.now, node.state.commit if self.now % 100 else 0)

    def can_lose_disk(self, name):
        """Return whether all configurations in use keep a quorum without this disk."""
        intact = {node.replica for n, node in self.nodes.items() if n != name}
        configurations = [
            (node.state.configuration_index, node.state.configuration)
            for node in self.nodes.values()
        ]
        committed_configurations = [
            (index, m.decode_configuration(entry))
            for index, entry in self.committed.items()
            if entry.kind == m.CONFIGURATION
        ]
        newest = max(committed_configurations, default=(0, None))
        uncommitted_configurations = [c for c in configurations if c[0] > newest[0]]
        wanted = [c for _, c in [newest, *uncommitted_configurations] if c is not None]
        return bool(committed_configurations) and all(
            c.has_quorum(intact) for c in wanted
        )

    def lose_disk_safely(self, name):
        """Start a new replica on an empty disk, if all configurations keep a quorum."""
        if self.can_lose_disk(name):
            self.restart(name)
            self.nodes[name] = ModelNode(self.new_replica(name), self.now)

    def has_converged(self):
        """Return whether one leader leads voters that have all applied every entry."""
        leaders = self.current_leaders()
        if len(leaders) != 1:
            return False
        state = self.nodes[leaders[0]].state
        if state.commit < state.log.last_index:
            return False
        configuration = state.configuration
        nodes = [self.nodes[voter.name] for voter in configuration.voters]
        return (
            not configuration.outgoing
            and tuple(node.replica for node in nodes) == configuration.voters
            and {node.applied for node in nodes} == {max(self.committed)}
        )

    def heal_and_verify(self):
        """End all faults; a leader must be elected and commit, and all voters agree."""
        for name in self.down | self.paused:
            self.restart(name)
        self.partitioned.clear()
        for seed in range(40):
            self.run(1000, seed)
            if self.has_converged():
                break
        leaders = self.current_leaders()
        assert len(leaders) == 1, f"leaders after the faults ended: {leaders}"
        before = len(self.committed)
        self.propose(leaders[0])
        self.read(leaders[0])
        reads = self.finished_reads
        self.run(1000, 2)
        assert len(self.committed) > before, (
            "nothing is committed after the faults ended"
        )
        assert self.finished_reads > reads, "no read after the faults ended"
        assert self.has_converged(), (
            "a voter is not replaced or has not applied all entries"
        )
