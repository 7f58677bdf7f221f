"""What VMs know of the load of targets, and what they make of it.

The patterns of load are named by the tests; there is no network.
"""

import contextlib
import random
from typing import NamedTuple

import pytest

from pollenmount.fleet.messages import Loads, decode
from pollenmount.fleet.records import TargetLoad
from pollenmount.fleet.totals import LOAD_INTERVAL_MS, LoadTotals, changed_loads
from pollenmount.gateway.choose import PREFILL_TOKENS_PER_MS, TargetChoice
from pollenmount.gateway.dialect import Prompt, PromptPart
from pollenmount.gateway.routing_context import SILENT_RETRY_MS
from pollenmount.routes.plan import RetryMode
from tests.gateway_harness import EntryHarness, make_prompt, make_route

STREAM = make_route(RetryMode.STREAM, "engine", slo_ms=1000)
STEP_MS = 10
VMS = 24
TARGETS = [f"t{number}" for number in range(18)]


class Engine:
    """A target that prefills one prompt after the other and caches the parts read."""

    def __init__(self):
        self.busy_until = 0
        self.cached = set()

    def prefill(self, prompt, now):
        """Return when the prefill of a prompt that arrives now is done."""
        tokens = 0
        for part in prompt.parts:
            tokens += 0 if part.id in self.cached else part.tokens
            self.cached.add(part.id)
        started_at = max(now, self.busy_until)
        self.busy_until = started_at + tokens / PREFILL_TOKENS_PER_MS
        return self.busy_until


class Running(NamedTuple):
    """A request whose prefill is not known to be done; `stack` ends its tracking."""

    done_at: float
    vm: EntryHarness
    stack: contextlib.ExitStack

    def is_done(self):
        return self.done_at <= self.vm.clock.now()


class Region:
    """The entry VMs of a region, which report their load to a control VM."""

    def __init__(self, seed, interval_ms):
        self.random = random.Random(seed)
        self.interval_ms = interval_ms
        self.totals = LoadTotals(lambda id_: "west")
        self.engines = {id_: Engine() for id_ in TARGETS}
        self.vms = [EntryHarness(name=f"west-{number}") for number in range(VMS)]
        self.sent = {vm: {} for vm in self.vms}
        self.running = []
        self.first_token_ms = []
        for number, vm in enumerate(self.vms):
            vm.context.random.seed(seed + number)
            for peer in range(VMS):
                vm.add_entry(f"west-{peer}", "west")
            vm.add_engines(*TARGETS)

    def run(self, ms, per_s):
        """Let prompts arrive at random for some time."""
        for step in range(ms // STEP_MS):
            if step * STEP_MS % self.interval_ms == 0:
                self.report()
            for _ in range(self.arrivals(per_s)):
                self.send(self.random.choice(self.vms))
            for vm in self.vms:
                vm.clock.advance(STEP_MS)
            self.end_prefills()

    def arrivals(self, per_s):
        """Return how many prompts arrive in one step."""
        probability = per_s * STEP_MS / 1000 / 10
        return sum(self.random.random() < probability for _ in range(10))

    def report(self):
        """Report all loads to the control VM, and its totals to all VMs."""
        for vm in self.vms:
            loads = {load.id: load for load in vm.loads.report()}
            self.totals.report(vm.settings.name, changed_loads(self.sent[vm], loads))
            self.sent[vm] = loads
        for vm in self.vms:
            vm.reported = dict(self.totals.by_target)

    def send(self, vm):
        """Send one prompt from a VM to the target that it chooses."""
        prompt = self.make_prompt()
        now = vm.clock.now()
        chosen = vm.choose(vm.make_call(STREAM, prompt))
        assert isinstance(chosen, TargetChoice)
        tokens = prompt.tokens - vm.context.cache.cached_tokens(
            chosen.target_id, prompt
        )
        vm.context.cache.record(chosen.target_id, prompt)
        stack = contextlib.ExitStack()
        stack.enter_context(vm.loads.track(chosen.target_id, tokens))
        done_at = self.engines[chosen.target_id].prefill(prompt, now)
        self.first_token_ms.append(done_at - now)
        self.running.append(Running(done_at, vm, stack))

    def make_prompt(self):
        """Return a prompt with a common part, a shared one, and one of its own."""
        dossier = f"d{int(self.random.paretovariate(0.6)) % 300}"
        own = f"own{self.random.random()}"
        sizes = (("system", 2600), (dossier, 3400), (own, 2900))
        parts = tuple(PromptPart(id_, tokens) for id_, tokens in sizes)
        return Prompt("m", sum(part.tokens for part in parts), 50, parts)

    def end_prefills(self):
        """End the requests whose prefill is done."""
        for request in self.running:
            if request.is_done():
                request.stack.close()
        self.running = [request for request in self.running if not request.is_done()]


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_long_prompts_of_many_vms_find_the_free_targets(seed):
    """Engines prefill a prompt in 200 ms; VMs that hear of it later choose blindly.

    Guards against the load of a region that was half a second old at its VMs.
    """
    region = Region(seed, LOAD_INTERVAL_MS)
    region.run(6000, per_s=150)
    late = sum(ms > STREAM.slo_ms for ms in region.first_token_ms)
    assert late <= 0.05 * len(region.first_token_ms)


def test_a_target_that_failed_and_is_silent_gets_no_probe():
    """Another may serve at its address by now, and a probe is a caller's request."""
    harness = EntryHarness()
    harness.add_target("a")
    harness.context.breakers.record_failure("a", 1, open_now=True)
    harness.clock.advance(1000)
    assert harness.choose(harness.make_call()).target_id == "a"
    harness.fleet.targets.by_id["a"] = harness.fleet.targets.by_id["a"]._replace(
        heard_by=frozenset()
    )
    assert harness.choose(harness.make_call()) is None
    quorums = dict(harness.fleet.quorums)
    harness.fleet.quorums.clear()
    assert harness.choose(harness.make_call()).target_id == "a"
    harness.fleet.quorums.update(quorums)
    harness.clock.advance(SILENT_RETRY_MS)
    assert harness.choose(harness.make_call()).target_id == "a"


def test_a_prompt_seen_once_is_not_expected_on_other_targets():
    """A VM of many once took what it had sent itself for what all had sent."""
    harness = EntryHarness()
    for number in range(2, 40):
        harness.add_entry(f"west-{number}", "west")
    harness.add_engines("a", "b", "c", "d")
    prompt = make_prompt("rare", shared=6000)
    harness.context.cache.record("a", prompt)
    options = harness.context.options(harness.make_call(STREAM, prompt), set()).local
    cached = {option.id: option.cached_tokens for option in options}
    spread = harness.context.cache.spread(prompt, [*cached], 39)
    others = [c for id_, c in cached.items() if id_ not in ("a", *spread.preferred)]
    assert cached["a"] > 0
    assert others
    assert set(others) == {0.0}


def rows(changes, region="west"):
    """Return the rows of a region in what `take_changes` returned, by target."""
    data = changes.get(region)
    return {load.id: load for load in decode(data).loads} if data else {}


def test_totals_follow_what_members_report():
    totals = LoadTotals({"a": "west", "b": "west"}.get)
    totals.report("one", (TargetLoad("a", 1, 100), TargetLoad("b", 1, 50)))
    totals.report("two", (TargetLoad("a", 2, 200, 1),))
    assert rows(totals.take_changes()) == {
        "a": TargetLoad("a", 3, 300, 1),
        "b": TargetLoad("b", 1, 50),
    }
    assert not totals.take_changes()
    totals.report("one", (TargetLoad("b", 0, 0),))
    totals.forget("two")
    assert rows(totals.take_changes()) == {
        "a": TargetLoad("a", 1, 100),
        "b": TargetLoad("b", 0, 0),
    }
    totals.forget("one")
    assert not totals.by_target
    assert decode(totals.encode_complete("west")) == Loads(())


def test_totals_of_a_target_not_known_yet_are_kept():
    regions = {}
    totals = LoadTotals(regions.get)
    totals.report("one", (TargetLoad("a", 1, 100),))
    assert not totals.take_changes()
    regions["a"] = "west"
    assert rows(totals.take_changes()) == {"a": TargetLoad("a", 1, 100)}
