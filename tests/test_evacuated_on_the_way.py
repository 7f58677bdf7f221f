"""Requests that are under way when the evacuation of a failure domain is heard."""

import pytest

from pollenmount.gateway.choose import TargetChoice
from pollenmount.gateway.dispatch import BrokenResponseError
from pollenmount.gateway.progress import Progress
from pollenmount.routes.plan import RetryMode
from pollenmount.wire.errors import ConnectError, ExchangeError
from pollenmount.wire.pool import CONNECT_TIMEOUT_MS
from tests.gateway_harness import EntryHarness, make_route, ok
from tests.test_gateway_joining import receive_hop

DOMAIN = "west-a"
# A request may reach a target this long after its evacuation was acknowledged.
EVACUATE_MS = 5000


@pytest.fixture
def harness():
    vm = EntryHarness()
    for name in ("a", "b", "c"):
        vm.add_target(name)
    return vm


class EvacuatingSender:
    """Runs the parts of a script; the failure domain is evacuated at its end."""

    def __init__(self, harness, *parts):
        self.harness = harness
        self.parts = parts
        self.attempts = []

    def run(self, attempt):
        """Yield the parts, then break off."""
        self.attempts.append(attempt)
        head, *events = self.parts or (None,)
        if head is None:
            self.harness.evacuate(DOMAIN)
            raise ConnectError("refused")
        yield head
        yield from events
        attempt.observer.on_delivered(1)
        self.harness.evacuate(DOMAIN)
        raise ExchangeError("reset")


# A request was tried again in a failure domain that had been evacuated meanwhile.
def test_a_failed_attempt_is_not_repeated_in_an_evacuated_failure_domain(harness):
    harness.dispatcher.sender = sender = EvacuatingSender(harness)
    call = harness.make_call()
    (response,) = harness.dispatcher.serve(call, Progress(call))
    assert (response.status, len(sender.attempts)) == (503, 1)


# A stream went on in a failure domain that had been evacuated meanwhile.
def test_a_stream_is_not_resumed_in_an_evacuated_failure_domain(harness):
    harness.dispatcher.sender = sender = EvacuatingSender(harness, *ok())
    call = harness.make_call(make_route(RetryMode.STREAM))
    with pytest.raises(BrokenResponseError):
        list(harness.dispatcher.serve(call, Progress(call)))
    assert len(sender.attempts) == 1


# A request that had been deferred was sent to the target that it had waited for.
def test_a_deferred_call_is_not_sent_to_an_evacuated_failure_domain(
    harness, monkeypatch
):
    choose = harness.dispatcher.chooser.choose

    def choose_later(*args):
        chosen = choose(*args)
        is_target = isinstance(chosen, TargetChoice)
        return chosen._replace(should_defer=True) if is_target else chosen

    monkeypatch.setattr(harness.dispatcher.chooser, "choose", choose_later)
    harness.dispatcher.sleep = lambda ms: harness.evacuate(DOMAIN)
    parts, progress = harness.serve(harness.make_call(), ok())
    assert (parts[0].status, progress.sends) == (503, 0)


# A VM that had just started sent to a target before it had heard of the evacuation.
def test_a_call_that_waits_for_targets_finds_none_that_is_evacuated():
    vm = EntryHarness()
    vm.restart()

    def sleep(ms):
        vm.clock.advance(ms)
        vm.evacuate(DOMAIN)
        vm.add_target("a")

    vm.dispatcher.sleep = sleep
    parts, progress = vm.serve(vm.make_call(), ok())
    assert (parts[0].status, progress.sends) == (503, 0)


# A hop chose a target by what the VM of another region believed.
def test_a_hop_is_not_run_in_a_failure_domain_evacuated_at_its_receiver(harness):
    harness.evacuate(DOMAIN)
    reply = receive_hop(harness, harness.make_call())
    assert reply.status == 503
    assert not harness.sender.attempts


def test_a_chosen_target_is_sent_to_well_before_the_bound():
    """Nothing is checked between the choice and the request on a new connection."""
    assert CONNECT_TIMEOUT_MS < EVACUATE_MS / 10
