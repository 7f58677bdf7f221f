"""Where requests go under load, one pattern a test, without network."""

import collections
import random

import pytest

from pollenmount.fleet.messages import TargetLoad
from pollenmount.gateway.choose import RegionChoice, TargetChoice
from pollenmount.routes.plan import Repeat
from tests.gateway_world import EntryWorld, make_prompt, make_route, ok

STREAM = make_route(Repeat.STREAM, "engine", target_ms=1000)


def engines(world, *names, region="west"):
    for name in names:
        world.add_target(name, region, "engine", slots=128)


def choose(world, prompt, route=STREAM):
    chosen = world.choose(world.make_call(route, prompt))
    return chosen.target if isinstance(chosen, TargetChoice) else chosen


def test_shared_prompts_spread_by_rendezvous_hash():
    """Pattern: every entry VM picks the same target for a subject, without asking."""
    one, other = EntryWorld(), EntryWorld(name="west-2")
    for world in (one, other):
        engines(world, "a", "b", "c")
    subjects = [make_prompt(f"s{number}") for number in range(60)]
    picks = [choose(one, prompt) for prompt in subjects]
    assert picks == [choose(other, prompt) for prompt in subjects]
    assert min(collections.Counter(picks).values()) >= 10


def test_affinity_yields_to_load():
    """Pattern: bounded-load affinity; a hot subject overflows to its neighbours."""
    world = EntryWorld()
    engines(world, "a", "b")
    prompt = make_prompt()
    favourite = choose(world, prompt)
    world.reported = {favourite: TargetLoad(favourite, 60, 60_000)}
    assert choose(world, prompt) != favourite


def test_long_streams_count_beside_prompts():
    """Pattern: least expected time, with running streams as well as waiting tokens."""
    world = EntryWorld()
    engines(world, "a", "b")
    world.reported = {"a": TargetLoad("a", 120, 0)}
    picks = {choose(world, make_prompt(f"s{n}")) for n in range(20)}
    assert picks == {"b"}


def test_a_target_without_a_free_slot_costs_the_wait_for_one():
    world = EntryWorld()
    engines(world, "a", "b")
    world.reported = {"a": TargetLoad("a", 160, 0), "b": TargetLoad("b", 110, 4000)}
    assert {choose(world, make_prompt(f"s{n}")) for n in range(20)} == {"b"}


def test_a_full_region_spills_to_one_with_room():
    """Pattern: spill by expected gain; it must exceed what the way costs."""
    world = EntryWorld()
    engines(world, "a")
    engines(world, "e", region="east")
    world.add_entry("east-1", "east")
    assert choose(world, make_prompt()) == "a"
    world.reported = {"a": TargetLoad("a", 120, 30_000)}
    assert isinstance(choose(world, make_prompt()), RegionChoice)
    world.reported["e"] = TargetLoad("e", 120, 30_000)
    assert choose(world, make_prompt()) == "a"


def test_homes_bind_whatever_the_load():
    world = EntryWorld()
    engines(world, "a")
    engines(world, "e", region="east")
    world.add_entry("east-1", "east")
    bound = STREAM._replace(homes=("west",))
    world.reported = {"a": TargetLoad("a", 400, 900_000)}
    assert choose(world, make_prompt(), bound) == "a"
    assert choose(world, make_prompt(), STREAM._replace(homes=("south",))) is None


def test_evacuated_and_draining_targets_get_nothing():
    world = EntryWorld()
    world.add_target("a", draining=True)
    assert world.choose(world.make_call()) is None
    world.add_target("b")
    assert world.choose(world.make_call()).target == "b"
    world.evacuate("west-a")
    assert world.choose(world.make_call()) is None


def test_a_cold_target_gets_a_few_vms_parts_only():
    """Pattern: an equal part for each of a few VMs, which all pick alike.

    With 23 entry VMs in a region, one request a second from each would be too much.
    """
    names = [f"west-{number}" for number in range(1, 24)]
    sent = 0
    for name in names:
        world = EntryWorld(name=name)
        for other in names:
            world.add_entry(other, "west")
        world.add_target("a", service="engine", cold_ms=10_000)
        call = world.make_call(STREAM, make_prompt())
        for _ in range(1000):
            if world.choose(call) is not None:
                world.dispatcher.target_destination("a")
                sent += 1
            world.clock.advance(1)
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
    """Baselines for comparison; those that draw lots come close to their shares."""
    random.seed(1)
    world = EntryWorld(chooser=chooser)
    engines(world, "a", "b", "c")
    world.reported = {"a": TargetLoad("a", 9, 0), "b": TargetLoad("b", 5, 0)}
    picks = collections.Counter(choose(world, make_prompt()) for _ in range(60))
    for name in "abc":
        assert abs(picks[name] - expected.get(name, 0)) <= 12


@pytest.mark.parametrize("chooser", ["round_robin", "least_in_flight"])
def test_baselines_leave_a_full_region(chooser):
    world = EntryWorld(chooser=chooser)
    engines(world, "a")
    engines(world, "e", region="east")
    world.add_entry("east-1", "east")
    assert choose(world, make_prompt()) == "a"
    world.reported = {"a": TargetLoad("a", 4 * 128, 0)}
    assert choose(world, make_prompt()).region == "east"


def test_a_calm_call_looks_at_the_targets_of_its_region_only():
    """Pattern: other regions are looked up only when the own one may be left."""
    world = EntryWorld()
    engines(world, *(f"e{n}" for n in range(300)), region="east")
    engines(world, "a", "b")
    for number in range(300):
        world.add_target(f"d{number}")
    looked_at = []
    make_option = world.context.make_option
    world.context.make_option = lambda target, *rest: (
        looked_at.append(target.id) or make_option(target, *rest)
    )
    assert choose(world, make_prompt()) in "ab"
    assert sorted(looked_at) == ["a", "b"]


def reading_world():
    """Return a world whose only engine reads a lot, with streams running there."""
    world = EntryWorld()
    engines(world, "a")
    world.reported = {"a": TargetLoad("a", 9, 9000, 8)}
    return world


def test_a_long_prompt_waits_while_streams_would_stall():
    """Pattern: late binding; an engine gets more to read when it has read the rest."""
    world = reading_world()
    call = world.make_call(STREAM, make_prompt(own=6000))
    began = world.clock.now()

    def sleep(ms):
        world.clock.advance(ms)
        if world.clock.now() - began >= 100:
            world.reported = {"a": TargetLoad("a", 8, 0, 8)}

    world.dispatcher.sleep = sleep
    _, progress = world.serve(call, ok())
    assert 100 <= world.clock.now() - began < 130
    assert progress.waited_ms == world.clock.now() - began


def test_a_long_prompt_waits_a_share_of_its_time_at_most():
    world = reading_world()
    began = world.clock.now()
    world.serve(world.make_call(STREAM, make_prompt(own=6000)), ok())
    assert 300 <= world.clock.now() - began < 330


@pytest.mark.parametrize("load", [(9, 9000, 0), (9, 0, 8), (9, 2000, 8)])
def test_a_long_prompt_goes_at_once_where_nothing_stalls(load):
    """No streams there, nothing being read, or little."""
    world = reading_world()
    world.reported = {"a": TargetLoad("a", *load)}
    began = world.clock.now()
    world.serve(world.make_call(STREAM, make_prompt(own=6000)), ok())
    assert world.clock.now() == began
