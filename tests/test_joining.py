"""How control VMs create their log or join it: `Joiner`s that call each other directly.

Their replicas are stand-ins: a group that is created is known at once to all of its
first voters that can be reached.
"""

import types

import pytest
from result import Err, Ok

from pollenmount.clock import ManualClock
from pollenmount.consensus.founding import FEW_WITNESSES_ROUNDS
from pollenmount.consensus.joining import Joiner
from pollenmount.consensus.messages import Configuration, Replica
from pollenmount.errors import TransportError

SEEDS = "abc"
ROUNDS = 40


class Replicas:
    """Control VMs with their joiners by name; those in `down` can't be reached.

    `founded` has the members of each group that was created, in order, and `joining`
    the names of VMs whose request reached the leader. Each VM calls those in `known`
    besides its seeds.
    """

    def __init__(self):
        self.clock = ManualClock()
        self.joiners = {}
        self.down = set()
        self.founded = []
        self.joining = set()
        self.leaders = []
        self.known = {*"abcdef"}
        self.cut_when_founded = set()

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
            more_addresses=lambda: sorted(self.known - {name}),
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
        self.down |= self.cut_when_founded
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


@pytest.mark.parametrize("first", SEEDS)
def test_a_seed_killed_at_the_first_start_does_not_hold_up_the_log(replicas, first):
    replicas.down = {first}
    replicas.run(3)
    assert not replicas.founded
    replicas.down = set()
    replicas.start(first)
    replicas.run()
    assert replicas.founded == [("a", "b", "c")]


@pytest.mark.parametrize("witness", SEEDS)
def test_one_seed_that_was_not_restarted_is_enough_after_some_rounds(replicas, witness):
    for name in {*SEEDS} - {witness}:
        replicas.start(name)
    replicas.run(FEW_WITNESSES_ROUNDS - 1)
    assert not replicas.founded
    replicas.run()
    assert replicas.founded == [("a", "b", "c")]


# Guards against a second log beside the first: the seeds had been exchanged for two VMs
# that lost their disks, and one that never had a vote, so had no data.
@pytest.mark.parametrize("others_are_known", [True, False])
def test_a_vm_that_never_had_a_vote_allows_no_second_log(replicas, others_are_known):
    replicas.run()
    replicas.join_all("c", "abcde")
    if not others_are_known:
        replicas.known = set()
    for name in "ab":
        replicas.start(name, "abf")
    replicas.run(ROUNDS)
    assert replicas.founded == [("a", "b", "c")]


def test_a_vm_without_a_vote_that_heard_of_no_log_allows_none(replicas):
    replicas.cut_when_founded = {"f"}
    replicas.run()
    replicas.join_all("c", "cde")
    for name in "ab":
        replicas.start(name, "abf")
    replicas.down = {*"cde"}
    replicas.run(ROUNDS)
    assert replicas.founded == [("a", "b", "c")]


# The same with more VMs that have no vote, of which one is restarted.
def test_vms_without_a_vote_that_are_seeds_now_create_no_second_log(replicas):
    replicas.run()
    replicas.known = set()
    replicas.start("d", "def")
    replicas.run(ROUNDS)
    assert replicas.founded == [("a", "b", "c")]


def lose_two_disks_beside_a_vm_that_was_cut_off(replicas, seeds=SEEDS):
    """Let a log be created, and get other voters, while `c` is cut off."""
    replicas.cut_when_founded = {"c"}
    replicas.run()
    replicas.join_all("d", "de")
    for name in "ab":
        replicas.start(name, seeds)
    replicas.down = set()


# A first voter that has not heard of the log, as it was cut off from the start, does
# not prove that there is none.
def test_a_first_voter_that_was_cut_off_allows_no_second_log(replicas):
    lose_two_disks_beside_a_vm_that_was_cut_off(replicas)
    replicas.known = set()
    replicas.run(FEW_WITNESSES_ROUNDS - 1)
    replicas.known = {*"abcdef"}
    replicas.run(ROUNDS)
    assert replicas.founded == [("a", "b", "c")]


def test_seeds_other_than_those_of_the_first_start_create_no_log(replicas):
    lose_two_disks_beside_a_vm_that_was_cut_off(replicas, "acf")
    replicas.known = set()
    replicas.run(ROUNDS)
    assert replicas.founded == [("a", "b", "c")]


def test_a_plan_that_is_known_shows_that_there_is_a_log(replicas):
    for name in "ab":
        replicas.start(name)
    replicas.joiners["c"].group_seen = lambda: True
    replicas.run(ROUNDS)
    assert not replicas.founded
