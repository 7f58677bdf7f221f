"""Time until a replica that lost its disk votes, on links between regions.

The step function of each replica in virtual time; calls take as long as they do.
"""

import heapq
import itertools

import pytest

from pollenmount.consensus import messages as m
from pollenmount.consensus import state as s
from pollenmount.consensus.raft import step
from pollenmount.gateway.routes_log import (
    ELECTION_TIMEOUT_MS,
    HEARTBEAT_INTERVAL_MS,
    HELLO_INTERVAL_MS,
    VOTER_REPLACE_TIMEOUT_MS,
)

# Of the users' deployments: one way between regions, and `sync_s`, after which a VM
# that is back, or stands in for another, no longer counts as lost.
DELAY_MS = 55
RETURN_BOUND_MS = 4000
TICK_MS = 20
PROCESS_START_MS = 500
# Until gRPC has a connection, and the reply of a round of calls has come.
CONNECT_MS = 4 * DELAY_MS
DOWN_MS = 5000
TIMING = s.Timing(
    heartbeat_ms=HEARTBEAT_INTERVAL_MS,
    election_timeout_ms=ELECTION_TIMEOUT_MS,
    replace_voter_ms=VOTER_REPLACE_TIMEOUT_MS,
    max_voters=3,
)


class Group:
    """Replicas in virtual time; `up` has their states by name."""

    def __init__(self, seed):
        self.now = 0
        self.seed = seed
        self.order = itertools.count()
        self.waiting = []
        self.up = {}
        voters = [self.start(name, "1") for name in "abc"]
        self.step("a", m.Bootstrap(m.Configuration(tuple(voters))))

    def start(self, name, incarnation, domain=""):
        """Start an empty replica; return it. The seed differs its election timers."""
        replica = m.Replica(name, f"{incarnation}-{self.seed}", domain or name, name)
        self.up[name] = s.restore(replica, TIMING, self.now)
        return replica

    def step(self, name, message):
        self.up[name], effects = step(self.up[name], message, self.now)
        sender = self.up[name].me
        for effect in effects:
            if isinstance(effect, s.Send):
                item = m.Receive(sender, effect.message)
                self.send(effect.to, item, DELAY_MS)

    def send(self, to, message, delay_ms):
        due = self.now + delay_ms
        heapq.heappush(self.waiting, (due, next(self.order), to, message))

    def run(self, ms, joining=None):
        """Let time pass; `joining` announces itself as its `Joiner` would."""
        end = self.now + ms
        while self.now < end:
            self.now += TICK_MS
            while self.waiting and self.waiting[0][0] <= self.now:
                _, _, to, message = heapq.heappop(self.waiting)
                if to.name in self.up and self.up[to.name].me == to:
                    self.step(to.name, message)
            for name in [*self.up]:
                self.step(name, m.Tick())
            if joining and not self.now % HELLO_INTERVAL_MS:
                for state in [*self.up.values()]:
                    if state.me != joining:
                        self.send(state.me, m.JoinRequest(joining), CONNECT_MS)

    def leader(self):
        return next(k for k, v in self.up.items() if v.role is s.Role.LEADER)

    def votes(self, replica):
        """Return whether a replica is a voter by a committed configuration."""
        states = [v for v in self.up.values() if v.role is s.Role.LEADER]
        return any(
            replica in state.configuration.voters
            and not state.configuration.outgoing
            and state.commit >= state.configuration_index
            for state in states
        )

    def measure_return(self, name, domain=""):
        """Return the milliseconds from the start of a process until it votes."""
        started_at = self.now
        self.run(PROCESS_START_MS)
        replica = self.start(name, "2", domain)
        while not self.votes(replica):
            self.run(TICK_MS, replica)
            assert self.now - started_at <= RETURN_BOUND_MS, "it does not vote in time"
        return self.now - started_at


@pytest.fixture(params=range(4))
def group(request):
    group = Group(request.param)
    group.run(3000)
    return group


# A second disk may be lost once a VM counts as back: until then its replica must vote.
@pytest.mark.parametrize("lost", ["leader", "follower"])
def test_a_replica_with_an_empty_disk_votes_in_time(group, lost):
    leader = group.leader()
    name = leader if lost == "leader" else min(set("abc") - {leader})
    del group.up[name]
    group.run(DOWN_MS)
    group.measure_return(name)


# The VM that stands in has another name, so the old one must count as gone first.
def test_a_vm_at_another_address_votes_in_time(group):
    lost = min(set("abc") - {group.leader()})
    del group.up[lost]
    group.run(1000)
    group.measure_return("d", domain=lost)


# A leader's requests to join end with it, and are made again to the next.
def test_a_change_of_leader_meanwhile_costs_no_return(group):
    leader = group.leader()
    name = min(set("abc") - {leader})
    del group.up[name]
    group.run(DOWN_MS)
    group.step(leader, m.Transfer())
    group.measure_return(name)
