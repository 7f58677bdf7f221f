"""Entry VMs of one region without network, which hear at once what each observes."""

from pollenmount.fleet.observations import RESPONSE
from pollenmount.gateway.dispatch import BrokenResponseError
from pollenmount.gateway.progress import Progress
from tests.gateway_harness import EntryHarness

__all__ = ["LinkedVms"]


class LinkedVms:
    """Entry VMs with one clock and one set of targets, behind `sender`.

    `sender` stands in for the `Sender` of each; it gets the clock, and may call
    `restart` for a target that starts again.
    """

    def __init__(self, sender, service, targets, count=4):
        self.sender = sender
        self.service = service
        self.all = [EntryHarness(name=f"west-{n}") for n in range(1, count + 1)]
        self.clock = self.all[0].clock
        for target in targets:
            self.restart(target, 1)
        for vm in self.all:
            self.share_clock(vm)
            vm.dispatcher.sender = sender
            vm.fleet.listeners.append(self.make_link(vm))
        sender.clock = self.clock
        sender.restart = self.restart

    def share_clock(self, vm):
        """Let all parts of a VM use the one clock."""
        vm.clock = vm.dispatcher.clock = vm.context.clock = self.clock
        vm.fleet.clock = vm.context.breakers.clock = self.clock
        guard = vm.context.guard
        turns = guard.request_turns, guard.prompt_turns
        for owner in (vm.fleet, vm.context, guard.prompts, guard.requests, *turns):
            for part in vars(owner).values():
                if hasattr(part, "clock"):
                    part.clock = self.clock
        guard.prompts.clock = guard.requests.clock = self.clock
        for turn in turns:
            turn.clock = self.clock
        guard.attempts.clock = self.clock
        vm.dispatcher.sleep = self.clock.advance
        vm.dispatcher.retries.clock = vm.budget.clock = self.clock
        vm.dispatcher.destinations.clock = self.clock

    def restart(self, target, born):
        """Let a target have started again."""
        for vm in self.all:
            vm.add_target(target, service=self.service, slots=128, born=born)

    def make_link(self, vm):
        """Return a listener that tells the other VMs what this one observes."""

        def report(message, source):
            for other in self.all:
                if source == RESPONSE and other is not vm:
                    other.fleet.handle(message, "c")

        return report

    def run_call(self, vm, call):
        """Serve a call on a VM; return the head it ended with, None if it broke."""
        vm.update_capacities()
        response = vm.dispatcher.serve(call, Progress(call))
        try:
            return list(response)[0]
        except BrokenResponseError:
            return None
