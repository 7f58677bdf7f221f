"""Acceptance of plans under concurrent operators, lost replies and restarts."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from pollenmount.plans import machine as machine_module
from pollenmount.plans.machine import AcceptPlan, PlanMachine
from pollenmount.plans.sheet import parse_sheet
from pollenmount.plans.store import PlanStore

NODES = 3
MAX_HISTORY = 5
UNREADABLE_EVERY = 3


def make_command(number, region):
    """Return a command with a sheet; no node can parse each third number's."""
    rows = f"record,name,failure_domains\nplan,{number},\nregion,{region},a\n"
    digest = parse_sheet(rows.encode()).digest
    if number % UNREADABLE_EVERY == 0:
        rows += "tomorrow,x,\n"
    return AcceptPlan(number, digest, rows.encode())


class PlansUnderRaces(RuleBasedStateMachine):
    """The oracle is the list of accepted commands, in order."""

    def __init__(self):
        super().__init__()
        self.machine = PlanMachine()
        self.accepted = []
        self.commands = []
        self.stores = [PlanStore() for _ in range(NODES)]
        self.highest = [0] * NODES

    def expected(self, command):
        numbers = [accepted.number for accepted in self.accepted]
        if not numbers or command.number > numbers[-1]:
            self.accepted.append(command)
            return "accepted"
        if command.number not in numbers[-MAX_HISTORY:]:
            return "stale"
        if command not in self.accepted:
            return "conflict"
        return "repeated" if command.number == numbers[-1] else "replaced"

    def apply_and_check(self, command):
        answer = self.machine.apply(command)
        assert answer.acceptance == self.expected(command)
        newest = self.accepted[-1]
        assert (answer.number, answer.digest) == newest[:2]

    @rule(step=st.integers(-4, 2), region=st.sampled_from(["kigali", "huye"]))
    def offer(self, step, region):
        newest = self.accepted[-1].number if self.accepted else 1
        command = make_command(max(1, newest + step), region)
        self.commands.append(command)
        self.apply_and_check(command)

    @precondition(lambda self: self.commands)
    @rule(index=st.integers(0, 50))
    def resend_after_a_lost_answer(self, index):
        self.apply_and_check(self.commands[index % len(self.commands)])

    @rule()
    def restart_log(self):
        data = self.machine.snapshot()
        self.machine = PlanMachine()
        self.machine.restore(data)

    @precondition(lambda self: self.accepted)
    @rule(node=st.integers(0, NODES - 1), index=st.integers(-4, -1))
    def reach_node(self, node, index):
        """Let a node receive a plan, perhaps an old one, from the log or a peer."""
        accepted = self.accepted[max(index, -len(self.accepted))]
        self.stores[node].put_if_newer(machine_module.AcceptedPlan(*accepted))

    @precondition(lambda self: self.accepted)
    @rule(node=st.integers(0, NODES - 1))
    def restart_without_disk(self, node):
        """Restart a node with an empty store; it fetches the plans of its peers."""
        store = PlanStore()
        for peer in self.stores:
            store.put_if_newer(peer.accepted)
        self.stores[node] = store

    @invariant()
    def nodes_never_go_back(self):
        for node, store in enumerate(self.stores):
            assert store.number >= self.highest[node]
            self.highest[node] = store.number
            if store.plan:
                assert store.plan.number % UNREADABLE_EVERY
                assert store.plan.digest == store.accepted.digest
                assert store.accepted in self.accepted

    def teardown(self):
        """Deliver all plans to all nodes; each must have the newest readable one."""
        for accepted in self.accepted:
            for store in self.stores:
                store.put_if_newer(machine_module.AcceptedPlan(*accepted))
        readable = [a.number for a in self.accepted if a.number % UNREADABLE_EVERY]
        newest = max(readable, default=0)
        assert [store.number for store in self.stores] == [newest] * NODES


def test_plans_under_races(monkeypatch):
    monkeypatch.setattr(machine_module, "MAX_HISTORY", MAX_HISTORY)
    machine_test = PlansUnderRaces.TestCase()
    machine_test.settings = settings(
        max_examples=100, derandomize=True, database=None, deadline=None
    )
    machine_test.runTest()
