"""Choice of targets and regions under load, one rule per test, without network."""

import collections
import random

import pytest

from pollenmount.fleet.records import TargetLoad
from pollenmount.gateway.choose import RegionChoice, TargetChoice
from pollenmount.routes.plan import RetryMode
from tests.gateway_harness import EntryHarness, make_prompt, make_route, ok

STREAM = make_route(RetryMode.STREAM, "engine", slo_ms=1000)


def choose(harness, prompt, route=STREAM):
    chosen = harness.choose(harness.make_call(route, prompt))
    return chosen.target_id if isinstance(chosen, TargetChoice) else chosen


def test_shared_prompts_are_spread_by_rendezvous_hash():
    """All entry VMs pick the same target for a prefix, without coordination."""
    one, other = EntryHarness(), EntryHarness(name="west-2")
    for harness in (one, other):
        harness.add_engines("a", "b", "c")
    prompts = [make_prompt(f"s{number}") for number in range(60)]
    picks = [choose(one, prompt) for prompt in prompts]
    assert picks == [choose(other, prompt) for prompt in prompts]
    assert min(collections.Counter(picks).values()) >= 10


def test_affinity_yields_to_load():
    """Affinity is bounded by load: a hot prefix overflows to other targets."""
    harness = EntryHarness()
    harness.add_engines("a", "b")
    prompt = make_prompt()
    preferred = choose(harness, prompt)
    harness.reported = {preferred: TargetLoad(preferred, 60, 60_000)}
    assert choose(harness, prompt) != preferred


def test_long_streams_count_beside_prompts():
    """The expected time counts running streams as well as pending prefill."""
    harness = EntryHarness()
    harness.add_engines("a", "b")
    harness.reported = {"a": TargetLoad("a", 120, 0)}
    picks = {choose(harness, make_prompt(f"s{n}")) for n in range(20)}
    assert picks == {"b"}


def test_a_target_without_a_free_slot_costs_the_wait_for_one():
    harness = EntryHarness()
    harness.add_engines("a", "b")
    harness.reported = {"a": TargetLoad("a", 160, 0), "b": TargetLoad("b", 110, 4000)}
    assert {choose(harness, make_prompt(f"s{n}")) for n in range(20)} == {"b"}


def test_a_full_region_spills_to_one_with_capacity():
    """A request leaves the region only if the gain exceeds the cost of the hop."""
    harness = EntryHarness()
    harness.add_engines("a")
    harness.add_engines("e", region="east")
    harness.add_entry("east-1", "east")
    assert choose(harness, make_prompt()) == "a"
    harness.reported = {"a": TargetLoad("a", 120, 30_000)}
    assert isinstance(choose(harness, make_prompt()), RegionChoice)
    harness.reported["e"] = TargetLoad("e", 120, 30_000)
    assert choose(harness, make_prompt()) == "a"


def test_a_region_counts_by_its_less_loaded_targets():
    """One busy target of two must not keep requests away from the free one."""
    harness = EntryHarness()
    harness.add_engines("a")
    harness.add_engines("e", "f", region="east")
    harness.add_entry("east-1", "east")
    harness.reported = {
        "a": TargetLoad("a", 120, 30_000),
        "e": TargetLoad("e", 128, 60_000),
    }
    assert isinstance(choose(harness, make_prompt()), RegionChoice)


def test_many_vms_with_the_same_news_do_not_all_pick_the_same_target():
    """The least loaded of 35 targets once got the requests of all VMs at once."""
    names = [f"t{number}" for number in range(35)]
    picks = collections.Counter()
    for number in range(60):
        harness = EntryHarness(name=f"west-{number}")
        harness.add_engines(*names)
        loads = {name: TargetLoad(name, 5, 3000) for name in names}
        harness.reported = {**loads, "t0": TargetLoad("t0", 0, 0)}
        harness.context.random.seed(number)
        picks[choose(harness, make_prompt(f"s{number}"))] += 1
    assert picks["t0"] <= 20
    assert max(picks.values()) <= 20


def test_a_part_that_all_prompts_share_is_expected_on_all_targets():
    """Each VM sees a part of the traffic; what it sees often, all targets have read."""
    harness = EntryHarness()
    harness.add_engines("a", "b", "c")
    prompt = make_prompt("system", shared=6000)
    options = harness.context.options(harness.make_call(STREAM, prompt), set()).local
    assert min(option.cached_tokens for option in options) == 0
    for _ in range(12):
        harness.context.cache.record("a", prompt)
    options = harness.context.options(harness.make_call(STREAM, prompt), set()).local
    assert min(option.cached_tokens for option in options) > 0.9 * 6000
    harness.clock.advance(10_000)
    options = harness.context.options(harness.make_call(STREAM, prompt), set()).local
    assert min(option.cached_tokens for option in options) == 0


def test_homes_bind_whatever_the_load():
    harness = EntryHarness()
    harness.add_engines("a")
    harness.add_engines("e", region="east")
    harness.add_entry("east-1", "east")
    bound = STREAM._replace(homes=("west",))
    harness.reported = {"a": TargetLoad("a", 400, 900_000)}
    assert choose(harness, make_prompt(), bound) == "a"
    assert choose(harness, make_prompt(), STREAM._replace(homes=("south",))) is None


def test_evacuated_and_draining_targets_get_nothing():
    harness = EntryHarness()
    harness.add_target("a", draining=True)
    assert harness.choose(harness.make_call()) is None
    harness.add_target("b")
    assert harness.choose(harness.make_call()).target_id == "b"
    harness.evacuate("west-a")
    assert harness.choose(harness.make_call()) is None


def test_a_cold_target_gets_a_few_vms_parts_only():
    """A few VMs, which all VMs select alike, have equal shares of the target's rate.

    Guards against 23 entry VMs in a region overloading a cold target by one request a
    second from each.
    """
    names = [f"west-{number}" for number in range(1, 24)]
    sent = 0
    for name in names:
        harness = EntryHarness(name=name)
        for other in names:
            harness.add_entry(other, "west")
        harness.add_target("a", service="engine", cold_ms=10_000)
        call = harness.make_call(STREAM, make_prompt())
        for _ in range(1000):
            if harness.choose(call) is not None:
                harness.dispatcher.destinations.of_target("a")
                sent += 1
            harness.clock.advance(1)
    assert 1 <= sent <= 2.7 * 1.5 + 3


@pytest.mark.parametrize(
    ("chooser", "expected"),
    [
        ("round_robin", {"a": 20, "b": 20, "c": 20}),
        ("least_in_flight", {"c": 60}),
        ("two_choices", {"b": 20, "c": 40}),
        ("random", {"a": 20, "b": 20, "c": 20}),
    ],
)
def test_baselines_look_at_requests_only(chooser, expected):
    """Random baselines may differ from the expected counts, by up to 12 of 60."""
    random.seed(1)
    harness = EntryHarness(chooser=chooser)
    harness.add_engines("a", "b", "c")
    harness.reported = {"a": TargetLoad("a", 9, 0), "b": TargetLoad("b", 5, 0)}
    picks = collections.Counter(choose(harness, make_prompt()) for _ in range(60))
    for name in "abc":
        assert abs(picks[name] - expected.get(name, 0)) <= 12


@pytest.mark.parametrize("chooser", ["round_robin", "least_in_flight"])
def test_baselines_leave_a_full_region(chooser):
    harness = EntryHarness(chooser=chooser)
    harness.add_engines("a")
    harness.add_engines("e", region="east")
    harness.add_entry("east-1", "east")
    assert choose(harness, make_prompt()) == "a"
    harness.reported = {"a": TargetLoad("a", 4 * 128, 0)}
    assert choose(harness, make_prompt()).region == "east"


def test_remote_targets_are_not_examined_while_the_region_has_capacity():
    """Remote targets are evaluated only if the request may leave its region."""
    harness = EntryHarness()
    harness.add_engines(*(f"e{n}" for n in range(300)), region="east")
    harness.add_engines("a", "b")
    for number in range(300):
        harness.add_target(f"d{number}")
    examined = []
    make_option = harness.context.make_option
    harness.context.make_option = lambda target, *rest: (
        examined.append(target.id) or make_option(target, *rest)
    )
    assert choose(harness, make_prompt()) in "ab"
    assert sorted(examined) == ["a", "b"]


def harness_with_prefill():
    """Return a harness whose only engine has streams and a long pending prefill."""
    harness = EntryHarness()
    harness.add_engines("a")
    harness.reported = {"a": TargetLoad("a", 9, 9000, 8)}
    return harness


def test_a_long_prompt_is_deferred_while_streams_would_stall():
    """Late binding: the prompt is sent once the engine's pending prefill is done."""
    harness = harness_with_prefill()
    call = harness.make_call(STREAM, make_prompt(own=6000))
    began = harness.clock.now()

    def sleep(ms):
        harness.clock.advance(ms)
        if harness.clock.now() - began >= 100:
            harness.reported = {"a": TargetLoad("a", 8, 0, 8)}

    harness.dispatcher.sleep = sleep
    _, progress = harness.serve(call, ok())
    assert 100 <= harness.clock.now() - began < 130
    assert progress.waited_ms == harness.clock.now() - began


def test_deferral_is_bounded_by_a_share_of_the_target_time():
    harness = harness_with_prefill()
    began = harness.clock.now()
    harness.serve(harness.make_call(STREAM, make_prompt(own=6000)), ok())
    assert 300 <= harness.clock.now() - began < 330


@pytest.mark.parametrize("load", [(9, 9000, 0), (9, 0, 8), (9, 2000, 8)])
def test_a_long_prompt_is_not_deferred_where_nothing_stalls(load):
    """The target has no streams, no pending prefill, or a short one."""
    harness = harness_with_prefill()
    harness.reported = {"a": TargetLoad("a", *load)}
    began = harness.clock.now()
    harness.serve(harness.make_call(STREAM, make_prompt(own=6000)), ok())
    assert harness.clock.now() == began
