"""How control VMs create their log or join it: `Joiner`s that call each other directly.

Their replicas are stand-ins: a group that is created is known at once to all of its
first voters that can be reached.
"""

import types

import pytest
from result import Err, Ok

from pollenmount.clock import ManualClock
from pollenmount.consensus.joining import Joiner
from pollenmount.consensus.messages import Configuration, Replica
from pollenmount.errors import TransportError

SEEDS = "abc"
ROUNDS = 40


class Replicas:
    """Control VMs with their joiners by name; `down` and `cut` get no calls.

    `founded` has the members of each group that was created, in order, and `joining`
    the names of VMs whose request reached the leader.
    """

    def __init__(self):
        self.clock = ManualClock()
        self.joiners = {}
        self.down = set()
        self.founded = []
        self.joining = set()
        self.leaders = []

    def start(self, name, seeds=SEEDS, first_start=False):
        """Start a VM with an empty disk."""
        replica = Replica(name, f"{name}-{len(self.joiners)}", name, name)
        group = types.SimpleNamespace(
            name="routes",
            me=replica,
            clock=self.clock,
            state=types.SimpleNamespace(
                is_uninitialized=True,
                leader=None,
                heard_at=0,
                configuration=Configuration(()),
            ),
        )
        group.bootstrap = lambda replicas: self.found(name, replicas)
        group.request_join = lambda replica: self.request_join(name, replica)
        joiner = Joiner(
            group,
            types.SimpleNamespace(call=lambda *call: self.call(name, *call)),
            {seed: seed for seed in seeds},
            may_bootstrap=first_start,
            more_addresses=lambda: [other for other in self.joiners if other != name],
        )
        joiner.close()
        self.joiners[name] = joiner

    def call(self, sender, address, request, timeout_ms):
        """Deliver a call, if both VMs are up."""
        if address not in self.joiners or self.down & {sender, address}:
            return Err(TransportError(address, "refused", sent=False))
        return Ok(self.joiners[address].answer_hello(request))

    def request_join(self, name, replica):
        """Record a request to join that reaches the leader."""
        if self.leaders and name == self.leaders[-1]:
            self.joining.add(replica.name)

    def found(self, name, replicas):
        """Let a VM create a group, and lead it."""
        self.founded.append(tuple(replica.name for replica in replicas))
        self.join_all(name, [replica.name for replica in replicas])

    def join_all(self, leader, names):
        """Let all VMs of `names` that are up belong to the group of a leader."""
        self.leaders.append(leader)
        for name in {*names, leader} - self.down:
            state = self.joiners[name].group.state
            state.is_uninitialized = False
            state.leader = self.joiners[leader].group.me

    def run(self, rounds=1):
        """Let each VM that is up and has no group announce itself, in turn."""
        for _ in range(rounds):
            for name, joiner in self.joiners.items():
                if name not in self.down and joiner.group.state.is_uninitialized:
                    joiner.announce()


@pytest.fixture
def replicas():
    """Return six VMs at the first start of the fleet; the first three are seeds."""
    started = Replicas()
    for name in "abcdef":
        started.start(name, first_start=True)
    return started


def test_the_first_start_creates_one_group_at_once(replicas):
    replicas.run()
    assert replicas.founded == [("a", "b", "c")]


# Guards against a VM that never votes again: the first seed had lost its disk while the
# leader was none of the seeds, and asked only the seeds.
def test_a_first_seed_without_data_asks_a_leader_that_is_no_seed(replicas):
    replicas.run()
    replicas.join_all("e", "bcde")
    replicas.start("a")
    replicas.run()
    assert "a" in replicas.joining
    assert replicas.founded == [("a", "b", "c")]
