"""A request that crashes each target that begins to run it, and comes again.

Several entry VMs, without network; what one observes reaches the others at once. A
target that crashed takes no connections until it is back.
"""

import random
from typing import NamedTuple

import pytest

from pollenmount.gateway.call import ResponseHead
from pollenmount.wire.errors import ConnectError, ExchangeError
from tests.gateway_harness import make_route
from tests.linked_vms import LinkedVms

ROUTE = make_route(attempts=2)
TARGETS = "abc"
DEADLY = b"deadly"
RESTART_MS = 3000
# The users' bounds: sends after the third crash, and `contact_ms`.
MAX_SENDS_AFTER = 3
CONTACT_MS = 5000
INTERVAL_MS = 100


class Arrival(NamedTuple):
    """A request that reached a target."""

    at: int
    target: str
    body: bytes


class Desks:
    """Targets of a plain service behind the VMs of one fleet.

    Those in `resetting` close the connection of each request, and stay up.
    """

    def __init__(self):
        self.arrivals = []
        self.crashes = []
        self.back_at = {}
        self.resetting = ()

    def run(self, attempt):
        """Crash under a deadly request, else answer."""
        target, body = attempt.destination.target_id, attempt.call.body
        self.restart_those_due()
        if target in self.back_at:
            raise ConnectError(f"can't connect to {target}")
        self.arrivals.append(Arrival(self.clock.now(), target, body))
        if body == DEADLY:
            self.crash(target)
        if body == DEADLY or target in self.resetting:
            raise ExchangeError("the connection was closed before a response")
        yield ResponseHead(200, (), target, "west")
        yield b"done"

    def crash(self, target):
        """Let a target take no connections for a while."""
        self.crashes.append(self.clock.now())
        self.back_at[target] = self.clock.now() + RESTART_MS

    def restart_those_due(self):
        """Let the targets be back whose time has come."""
        for target, at in [*self.back_at.items()]:
            if self.clock.now() >= at:
                del self.back_at[target]
                self.restart(target, at)


class Vms(LinkedVms):
    """Entry VMs that serve plain requests, each at one of them drawn by `random`."""

    def __init__(self, seed=1):
        self.desks = Desks()
        self.random = random.Random(seed)
        super().__init__(self.desks, "desk", TARGETS)

    def serve(self, body, vm=None, route=ROUTE):
        """Serve a request with this body; return the head it ended with."""
        self.desks.restart_those_due()
        vm = self.all[vm] if vm is not None else self.random.choice(self.all)
        return self.run_call(vm, vm.make_call(route, body=body))


@pytest.fixture
def vms():
    return Vms()


def late_sends(seed):
    """Return how many deadly requests reach targets after the users' bound."""
    vms = Vms(seed)
    for number in range(300):
        if number % 4 == 0:
            vms.serve(DEADLY)
        vms.serve(b"sound %d" % number)
        vms.clock.advance(INTERVAL_MS)
    crashes = vms.desks.crashes
    bound_at = crashes[2] + CONTACT_MS if len(crashes) > 2 else vms.clock.now()
    late = [a for a in vms.desks.arrivals if a.body == DEADLY and a.at > bound_at]
    return len(late)


# The same request, under a new id each time, was sent to target after target: no VM
# remembered what had been in flight when one crashed.
def test_a_request_that_crashes_targets_soon_reaches_no_more():
    assert max(late_sends(seed) for seed in range(8)) <= MAX_SENDS_AFTER
