"""Simulated entry VMs, action log and service; the test delivers every message."""

from types import SimpleNamespace
from typing import Any, NamedTuple

import eventlet
from eventlet.event import Event
from result import Err, Ok

from pollenmount.actions.machine import ActionMachine
from pollenmount.actions.messages import ActionState, Holder
from pollenmount.actions.runner import ActionRunner
from pollenmount.actions.settler import Settler
from pollenmount.actions.ticker import Ticker
from pollenmount.clock import ManualClock
from pollenmount.errors import Refusal, RefusalKind
from pollenmount.routing.request import Chunk, Head
from pollenmount.targets.upstream import UpstreamError

GREENLET_ROUNDS = 6
UNKNOWN = Refusal(RefusalKind.OUTCOME_UNKNOWN, "cut off", not_run=False)
NO_QUORUM = Refusal(RefusalKind.NO_QUORUM, "no leader in reach")
NOT_RUN = Refusal(RefusalKind.TARGET_FAILED, "can't connect")


class SuspendedGreenlet(NamedTuple):
    """A greenlet of a VM that is suspended until the test resumes it."""

    vm: Any
    value: Any
    event: Event


class ScriptedRunner(ActionRunner):
    """A runner whose sleeps and renewals are controlled by the test."""

    def start_renewal(self, attempt):
        self.renewable.append(attempt)
        return SimpleNamespace(close=lambda: None)

    def sleep(self, ms):
        self.world.wait(self, ms, self.world.sleepers)


class World:
    """All VMs on one clock. A service with `repeat` "deduplicated" ignores repeats."""

    def __init__(self, repeat):
        self.repeat = repeat
        self.clock = ManualClock(1)
        self.machine = ActionMachine()
        self.proposals, self.sends, self.replies, self.sleepers = [], [], [], []
        self.delayed = []
        self.faults, self.runs, self.receipts, self.finished = [], {}, {}, []
        self.ran_ids, self.sent_keys, self.reported_unknown = set(), set(), set()
        self.crashes = self.requests = 0
        self.vms = [self.make_vm(number) for number in range(3)]
        direct = SimpleNamespace(propose=lambda g, c, t: Ok(self.machine.apply(c)))
        self.tickers = [
            Ticker(direct, "group", self.machine, self.clock) for _ in range(2)
        ]

    def make_vm(self, number):
        vm = ScriptedRunner(
            None, self.clock, Holder(f"vm-{number}", str(self.crashes)), None
        )
        vm.world, vm.renewable, vm.threads = self, [], []
        vm.groups = SimpleNamespace(
            propose=lambda group, command, type_: self.wait(vm, command, self.proposals)
        )
        vm.settler = Settler(vm.groups)
        return vm

    def wait(self, vm, value, queue):
        event = Event()
        queue.append(SuspendedGreenlet(vm, value, event))
        return event.wait()

    def run_greenlets(self):
        for _ in range(GREENLET_ROUNDS):
            eventlet.sleep(0)

    def spawn(self, vm, function, *args):
        vm.threads.append(eventlet.spawn(self.record_errors, function, *args))
        self.run_greenlets()

    def record_errors(self, function, *args):
        try:
            function(*args)
        except Exception as error:
            self.faults.append(repr(error))

    def request(self, vm, key, body):
        self.requests += 1
        service = SimpleNamespace(repeat=self.repeat)
        call = SimpleNamespace(
            id=self.requests,
            caller=SimpleNamespace(name="court", home="kigali"),
            route=SimpleNamespace(service=service),
            method="POST",
            path="/filings",
            body=body,
            key=key,
            deadline=self.clock.now() + 20_000,
        )
        call._replace = lambda lease: SimpleNamespace(**{**vars(call), "lease": lease})
        self.spawn(vm, self.run, vm, call)

    def run(self, vm, call):
        parts = vm.run_action(call, lambda sent: self.serve(vm, sent))
        self.finished.append((call, parts))
        refused = parts[0].kind if isinstance(parts[0], Refusal) else None
        if refused is RefusalKind.OUTCOME_UNKNOWN and self.repeat == "once":
            self.reported_unknown.add(call.key)

    def serve(self, vm, call):
        """Yield the parts of the service's answer, after at most one hop."""
        hop = self.wait(vm, call, self.sends)
        lease = call.lease
        if hop is not None:
            lease = hop.confirm(call.caller, call.key, lease.attempt)
            if lease is None:
                yield NOT_RUN
                return
            vm = hop
            self.wait(vm, call, self.sends)
        try:
            lease.check()
        except UpstreamError:
            yield NOT_RUN
            return
        yield from self.write(vm, call, lease)

    def write(self, vm, call, lease):
        held = self.machine.running.get((call.caller.name, call.key))
        # An earlier attempt's late answer may have settled it; the service ignores it.
        answered = self.state_of(call.key) is ActionState.DONE
        if answered and self.repeat == "deduplicated":
            pass
        elif held is None or held.attempt != lease.attempt:
            self.faults.append("sent after its reservation was settled")
        if call.key in self.reported_unknown:
            self.faults.append("sent after a caller was told that it is not run again")
        self.sent_keys.add(call.key)
        outcome = self.wait(vm, call, self.replies)
        if outcome == "not run":
            yield NOT_RUN
            return
        if outcome == "cut":
            yield UNKNOWN
            return
        yield Head(201, (), "kigali", "service")
        yield Chunk(outcome)

    def run_service(self, call):
        """Run the call in the service and return its receipt."""
        repeat = call.key in self.receipts and self.repeat == "deduplicated"
        if not repeat:
            self.runs[call.key] = self.runs.get(call.key, 0) + 1
            self.receipts[call.key] = f"{call.key}-{call.id}".encode()
        self.ran_ids.add(call.id)
        return self.receipts[call.key]

    def deliver(self, waiting, fate):
        """Resume a proposal: answered, reply lost, delivered late, or refused."""
        self.proposals.remove(waiting)
        if fate in ("answered", "reply lost"):
            reply = Ok(self.machine.apply(waiting.value))
        if fate == "late":
            self.delayed.append(waiting.value)
        if fate != "answered":
            reply = Err(NO_QUORUM._replace(not_run=fate == "refused"))
        waiting.event.send(reply)
        self.run_greenlets()

    def crash(self, number):
        """Restart a VM with empty state; messages it sent may still arrive."""
        self.crashes += 1
        vm = self.vms[number]
        for thread in vm.threads:
            thread.kill()
        self.delayed += [
            waiting.value for waiting in self.proposals if waiting.vm is vm
        ]
        for queue in (self.proposals, self.sends, self.replies, self.sleepers):
            queue[:] = [waiting for waiting in queue if waiting.vm is not vm]
        self.vms[number] = self.make_vm(number)

    def state_of(self, key):
        action = self.machine.find(("court", key))
        return action.state if action else ActionState.RELEASED
