"""Fuzz tests of the step function; POLLENMOUNT_FUZZ sets the number of examples.

A longer run than in CI: POLLENMOUNT_FUZZ=2000 pytest tests/stateful/test_raft.py -s
--hypothesis-seed=7 (it prints how many steps were run).
"""

import os

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from tests.stateful.raft_model import Model

EXAMPLES = int(os.environ.get("POLLENMOUNT_FUZZ", "0"))
NAMES = st.sampled_from("abcd")
SEEDS = st.integers(0, 1 << 30)
TOTALS = {"steps": 0, "reads": 0, "commits": 0, "terms": 0, "replaced": 0}


class RaftMachine(RuleBasedStateMachine):
    """Crashes, partitions, pauses, lost disks and lost messages, in any order."""

    def __init__(self):
        super().__init__()
        self.model = Model()
        self.model.run(2000, 0)

    @rule(
        ms=st.sampled_from([100, 600, 3000]),
        seed=SEEDS,
        loss=st.sampled_from([0, 0.1, 0.5]),
    )
    def run(self, ms, seed, loss):
        self.model.run(ms, seed, loss)

    @precondition(lambda self: self.model.network)
    @rule(seed=SEEDS, keep=st.booleans())
    def deliver(self, seed, keep):
        self.model.deliver(seed % len(self.model.network), keep)

    @precondition(lambda self: self.model.current_leaders())
    @rule(seed=SEEDS, count=st.integers(1, 5))
    def propose(self, seed, count):
        leaders = self.model.current_leaders()
        for _ in range(count):
            self.model.propose(leaders[seed % len(leaders)])

    @precondition(lambda self: self.model.current_leaders())
    @rule(seed=SEEDS)
    def read(self, seed):
        leaders = self.model.current_leaders()
        self.model.read(leaders[seed % len(leaders)])

    @rule(name=NAMES)
    def compact(self, name):
        self.model.compact(name)

    @precondition(lambda self: self.model.current_leaders())
    @rule(seed=SEEDS)
    def transfer(self, seed):
        leaders = self.model.current_leaders()
        self.model.transfer(leaders[seed % len(leaders)])

    @rule(name=NAMES)
    def kill(self, name):
        self.model.down.add(name)

    @rule(name=NAMES)
    def pause(self, name):
        self.model.paused.add(name)

    @rule(name=NAMES)
    def resume(self, name):
        self.model.paused.discard(name)

    @rule(name=NAMES)
    def restart(self, name):
        self.model.restart(name)

    @rule(name=NAMES)
    def partition(self, name):
        self.model.partitioned ^= {name}

    @rule(name=NAMES)
    def lose_disk(self, name):
        self.model.lose_disk_safely(name)

    @rule(seed=SEEDS)
    def run_random_faults(self, seed):
        self.model.run_random_faults(seed, 10)

    def teardown(self):
        self.model.heal_and_verify()
        TOTALS["steps"] += self.model.steps
        TOTALS["reads"] += self.model.finished_reads
        TOTALS["commits"] += len(self.model.committed)
        TOTALS["terms"] += len(self.model.leaders)
        TOTALS["replaced"] += self.model.incarnation - 4
        if EXAMPLES:
            print("\r", TOTALS, end="")


RaftMachine.TestCase.settings = settings(
    max_examples=EXAMPLES or 60,
    stateful_step_count=40,
    deadline=None,
    derandomize=not EXAMPLES,
    database=None,
    phases=[Phase.generate],
    suppress_health_check=list(HealthCheck),
)
TestRaft = RaftMachine.TestCase


@pytest.mark.parametrize("first", [0, 1000, 2000])
def test_random_faults(first):
    for seed in range(first, first + (EXAMPLES or 25)):
        model = Model()
        model.run(2000, 0)
        model.run_random_faults(seed, 100)
        model.heal_and_verify()
