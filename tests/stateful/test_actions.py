"""Actions run at most once, with truthful answers, under message loss and crashes."""

import os

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from pollenmount.actions.messages import ActionState
from pollenmount.errors import Refusal
from tests.stateful.action_world import World

EXAMPLES = int(os.environ.get("POLLENMOUNT_FUZZ_EXAMPLES", "200"))
STEPS = 60
DRAIN_ROUNDS = 60
FATES = ["run", "run", "run, cut", "run, cut", "not run"]
any_index = st.integers(0, 5)


def if_any(queue):
    """Return the precondition that a queue of the world is not empty."""
    return precondition(lambda self: getattr(self.world, queue))


class ActionsUnderFaults(RuleBasedStateMachine):
    """Each rule is one event; invariants check `finished` calls and service runs."""

    repeat = "once"

    def __init__(self):
        super().__init__()
        self.world = World(self.repeat)

    def choose(self, queue, index):
        return queue[index % len(queue)] if queue else None

    @rule(
        vm=st.integers(0, 2), key=st.sampled_from("aab"), body=st.sampled_from("xxxy")
    )
    def request(self, vm, key, body):
        self.world.request(self.world.vms[vm], key, body.encode())

    @if_any("proposals")
    @rule(
        index=any_index,
        fate=st.sampled_from(["answered"] * 5 + ["reply lost", "late", "refused"]),
    )
    def deliver(self, index, fate):
        if waiting := self.choose(self.world.proposals, index):
            self.world.deliver(waiting, fate)

    @rule(count=st.integers(1, 8), fate=st.sampled_from(FATES))
    def go_on(self, count, fate):
        """Resume pending steps without message loss; `fate` is that at the service."""
        world = self.world
        for _ in range(count):
            if world.proposals:
                world.deliver(world.proposals[0], "answered")
            elif world.sends:
                self.send(0, None)
            elif world.replies:
                self.answer(0, fate)

    @if_any("delayed")
    @rule(index=any_index)
    def deliver_late(self, index):
        if (command := self.choose(self.world.delayed, index)) is not None:
            self.world.delayed.remove(command)
            self.world.machine.apply(command)

    @if_any("sends")
    @rule(index=any_index, hop=st.sampled_from([None, None, 0, 1, 2]))
    def send(self, index, hop):
        if waiting := self.choose(self.world.sends, index):
            self.world.sends.remove(waiting)
            waiting.event.send(None if hop is None else self.world.vms[hop])
            self.world.run_greenlets()

    @if_any("replies")
    @rule(index=any_index, fate=st.sampled_from(FATES))
    def answer(self, index, fate):
        if waiting := self.choose(self.world.replies, index):
            self.world.replies.remove(waiting)
            outcome = fate
            if fate.startswith("run"):
                receipt = self.world.run_service(waiting.value)
                outcome = receipt if fate == "run" else "cut"
            waiting.event.send(outcome)
            self.world.run_greenlets()

    @if_any("replies")
    @rule(index=any_index)
    def run_and_lose_answer_later(self, index):
        """Run a call in the service and leave its answer in transit."""
        waiting = self.choose(self.world.replies, index)
        if waiting and waiting.value.id not in self.world.ran_ids:
            receipt = self.world.run_service(waiting.value)
            self.world.replies.remove(waiting)
            self.world.sleepers.append(waiting._replace(value=receipt))

    @if_any("sleepers")
    @rule(index=any_index)
    def wake(self, index):
        if waiting := self.choose(self.world.sleepers, index):
            self.world.sleepers.remove(waiting)
            waiting.event.send(waiting.value)
            self.world.run_greenlets()

    @rule(vm=st.integers(0, 2), index=any_index)
    def renew(self, vm, index):
        vm = self.world.vms[vm]
        if attempt := self.choose(vm.renewable, index):
            self.world.spawn(vm, vm.renew, attempt)

    @rule(vm=st.integers(0, 2))
    def settle_in_background(self, vm):
        vm = self.world.vms[vm]
        self.world.spawn(vm, vm.settler.step)

    @rule(ms=st.sampled_from([100, 500, 1000, 2500, 6000]))
    def advance(self, ms):
        self.world.clock.advance(ms)

    @rule(index=st.integers(0, 1), times=st.sampled_from([1, 3, 15]))
    def tick(self, index, times):
        """Let one voter's ticker run repeatedly."""
        for _ in range(times):
            self.world.tickers[index].step()
            self.world.clock.advance(500)

    @rule(vm=st.integers(0, 9))
    def crash(self, vm):
        if vm < len(self.world.vms):
            self.world.crash(vm)

    @if_any("delayed")
    @rule()
    def restore_log(self):
        self.world.machine.restore(self.world.machine.snapshot())

    @invariant()
    def runs_at_most_once(self):
        assert all(count == 1 for count in self.world.runs.values())

    @invariant()
    def nothing_failed(self):
        assert self.world.faults == []

    @invariant()
    def answers_are_true(self):
        answers = {}
        for call, parts in self.world.finished:
            if isinstance(parts[0], Refusal):
                assert not (parts[0].not_run and call.id in self.world.ran_ids)
            else:
                answers.setdefault(call.key, set()).add(parts[1].data)
        for key, bodies in answers.items():
            assert bodies == {self.world.receipts[key]}

    def teardown(self):
        """End all faults; every action must be settled, and unsent ones released."""
        world = self.world
        for _ in range(DRAIN_ROUNDS):
            while world.delayed:
                world.machine.apply(world.delayed.pop())
            while world.proposals:
                world.deliver(world.proposals[0], "answered")
            for waiting in [*world.sends, *world.sleepers]:
                outcome = waiting.value if isinstance(waiting.value, bytes) else None
                waiting.event.send(outcome)
            world.sends.clear()
            world.sleepers.clear()
            for waiting in [*world.replies]:
                world.replies.remove(waiting)
                waiting.event.send(world.run_service(waiting.value))
            for vm in world.vms:
                world.spawn(vm, vm.settler.step)
            world.tickers[0].step()
            world.clock.advance(500)
        self.runs_at_most_once()
        self.nothing_failed()
        self.answers_are_true()
        for key in "ab":
            self.check_not_blocked(key)

    def check_not_blocked(self, key):
        """Check that the action with this key is settled or released."""
        state = self.world.state_of(key)
        assert state is not ActionState.RUNNING
        action = self.world.machine.find(("court", key))
        was_reported_unknown = bool(action and action.reported_unknown)
        answered = any(
            call.key == key and not isinstance(parts[0], Refusal)
            for call, parts in self.world.finished
        )
        if answered and not self.world.crashes:
            assert state is ActionState.DONE
        if (
            not self.world.crashes
            and not was_reported_unknown
            and key not in self.world.sent_keys
        ):
            # An unknown action may be granted again if the service ignores repeats.
            askable = self.repeat == "deduplicated" and action and action.maybe_ran
            assert state is ActionState.RELEASED or askable


class RepeatedActionsUnderFaults(ActionsUnderFaults):
    """The same with a service that itself ignores repeats of a key."""

    repeat = "deduplicated"


TestOnce = ActionsUnderFaults.TestCase
TestDeduplicated = RepeatedActionsUnderFaults.TestCase
FUZZING = settings(
    max_examples=EXAMPLES,
    stateful_step_count=STEPS,
    derandomize=True,
    database=None,
    deadline=None,
)
TestOnce.settings = TestDeduplicated.settings = FUZZING
