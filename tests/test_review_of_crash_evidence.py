"""Evidence of crashes, and turns to try what was in quarantine, in odd situations."""

import itertools
import random

from pollenmount import task
from pollenmount.clock import ManualClock
from pollenmount.crashes.quarantine import PartQuarantine
from pollenmount.crashes.trial_turns import TRIAL_MS, TrialTurns
from pollenmount.fleet.channel import Channel
from pollenmount.fleet.fleet import Fleet
from pollenmount.fleet.messages import PromptBroke, RequestsCrashed
from pollenmount.fleet.observations import RESPONSE
from pollenmount.gateway.dialect import Prompt, PromptPart
from pollenmount.routes.store import RoutesStore
from pollenmount.wire.errors import ConnectRefusedError, ExchangeError
from tests import test_trial_turns as trial_turns
from tests.test_deadly_prompts import RESTART_MS, ROUTE, TARGETS, Vms, status
from tests.test_evidence_store import HOUR_MS

ZONES = ("kigali", "huye", "musanze")
NAMES = [f"edge-{zone}-a-{n}" for zone in ZONES for n in (1, 2, 3)]
NEWS_MS = 300


# CRC-32 is linear: what two names differ by is the same for all keys, so some two VMs
# always try at one moment.
def test_no_two_vms_try_all_keys_at_one_moment():
    clock = ManualClock(1_000_000)
    rng = random.Random(1)
    keys = [f"{rng.getrandbits(32):08x}" for _ in range(100)]
    quarantine = PartQuarantine(clock)
    turns = [TrialTurns(quarantine, clock, name, lambda: len(NAMES)) for name in NAMES]
    at = {turn.name: [turn.delay_ms(key) for key in keys] for turn in turns}
    together = {
        pair: sum(abs(a - b) < NEWS_MS for a, b in zip(*map(at.get, pair), strict=True))
        for pair in itertools.combinations(NAMES, 2)
    }
    assert {pair: n for pair, n in together.items() if n > len(keys) / 2} == {}


# A call takes the turn before it is known whether it can be sent at all.
def test_a_call_that_was_not_sent_leaves_the_turn_to_others():
    clock = ManualClock(1_000_000)
    quarantine, ends_at = trial_turns.make_quarantine(clock, "part")
    (turns,) = trial_turns.make_turns(quarantine, clock, 1)
    clock.advance(ends_at - clock.now())
    # Callers without a free target keep asking, each refused for an overload.
    assert turns.left_ms(("part",), "refused for an overload") == 0
    assert turns.left_ms(("part",), "could be sent") < TRIAL_MS


class TickingClock(ManualClock):
    """Goes on by a millisecond each time that it is read."""

    def now(self):
        self.advance(1)
        return super().now()


# Evidence may expire between two readings of the clock within one call.
def test_evidence_that_expires_meanwhile_is_no_failure():
    clock = ManualClock(1_000_000)
    quarantine, _ = trial_turns.make_quarantine(clock, "part")
    expires_at = quarantine.evidence("part")[-1].at + quarantine.evidence_ttl_ms
    for before_ms in range(1, 12):
        ticking = TickingClock(expires_at - before_ms)
        copy = PartQuarantine(ticking)
        copy.crashes.update(quarantine.crashes)
        TrialTurns(copy, ticking, "edge", lambda: 1).left_ms(("part",), "call")


# The evidence comes first and at once on a new link, which takes 4,096 messages.
def test_a_vm_can_link_while_there_is_as_much_evidence_as_is_kept():
    clock = ManualClock(HOUR_MS)
    fleet = Fleet(clock, RoutesStore(lambda data: data), {}, is_control=True)
    for number in range(2048):
        for target in "ab":
            report = RequestsCrashed(target + str(number), 1, "c", (f"d{number}",))
            fleet.handle(report, RESPONSE)
        fleet.handle(PromptBroke("t", number, f"o{number}", (f"p{number}",)), RESPONSE)

    class Idle:
        def settimeout(self, seconds):
            pass

        def sendall(self, data):
            task.sleep(0)

        def close(self):
            pass

    channel = Channel(Idle())
    for message in fleet.crash_reports():
        channel.push(message)
    assert not channel.closed


# All that a target had is blamed, a bounded number a second: the deadly prompt too?
def test_a_deadly_prompt_among_many_is_reported():
    vms = Vms()
    guard = vms.all[0].context.guard
    quarantine = vms.all[1].fleet.part_quarantine
    for crash in range(4):
        names = [f"sound-{crash}-{n}" for n in range(40)] + ["deadly"]
        for name in names:
            call = make_prompt_call(vms, name, f"{name}-{crash}")
            attempt = guard.attempts.begin(
                call, f"{name}-{crash}", Destination(f"t{crash}", 1)
            )
            guard.prompts.report_crash(attempt, vms.clock.now())
        vms.clock.advance(2000)
    assert quarantine.left_ms(("deadly",))


class Destination:
    """A start of a target."""

    def __init__(self, target_id, incarnation):
        self.target_id = target_id
        self.incarnation = incarnation


def make_prompt_call(vms, part, own):
    """Return a call whose prompt has one shared part."""
    prompt = Prompt("m", 1100, 50, (PromptPart(part, 1000), PromptPart(own, 100)))
    return vms.all[0].make_call(ROUTE, prompt, body=own.encode())


# A target that ends by itself, once, has some prompts which no target has begun to
# answer yet. They are sound, and have attempts left.
def test_a_sound_prompt_gets_another_attempt_after_one_crash():
    vms = Vms()
    engines = vms.engines
    serve = engines.run
    crashed = []

    def run(attempt):
        target = attempt.destination.target_id
        if not crashed and "fresh" in repr(attempt.call.info.prompt):
            crashed.append(target)
            engines.back_at[target] = engines.clock.now() + RESTART_MS
            raise ExchangeError("the connection was closed before a response")
        yield from serve(attempt)

    for number in range(8):
        vms.serve(number % 4, "first", number=number)
        vms.clock.advance(400)
    engines.run = run
    head = vms.serve(0, "first", "fresh", number=100)
    assert crashed and crashed[0] in TARGETS
    assert status(head) == 200


class CutOff:
    """Stands in for the sender and the probe of a VM that has lost all its paths.

    Each kept connection is reset when it is used, and new ones are refused.
    """

    def __init__(self):
        self.used = set()

    def run(self, attempt):
        target = attempt.destination.target_id
        if target in self.used:
            raise ConnectRefusedError(f"can't connect to {target}")
        self.used.add(target)
        raise ExchangeError("the connection was reset")
        yield

    def up_since(self, destination):
        return None

    def has_lost_connections(self, destination):
        return True

    def has_crashed(self, destination, on_crash=None):
        return True


def cut_off(vms):
    """Let the first VM have lost its paths to all targets, which are up."""
    for number in range(8):
        vms.serve(number % 4, "first", number=number)
        vms.clock.advance(400)
    vm = vms.all[0]
    vm.context.paths.can_connect = lambda target: False
    vm.dispatcher.sender = vm.context.guard.attempts.probe = CutOff()


# A VM that is cut off from the targets took each of them for crashed of its prompts,
# and the other VMs, whose connections to them are open, believed it.
def test_prompts_of_a_vm_without_paths_are_served_by_others():
    vms = Vms()
    cut_off(vms)
    for number in range(3):
        vms.serve(0, "first", "subject", number=100 + number)
        vms.clock.advance(400)
    assert vms.all[1].fleet.part_quarantine.left_ms(("subject",)) == 0
    assert status(vms.serve(1, "first", "subject", number=200)) == 200


# The same for one request, whose caller asks another VM next.
def test_a_request_at_a_vm_without_paths_is_served_by_the_next():
    vms = Vms()
    cut_off(vms)
    statuses = []
    for number in range(3):
        vms.serve(0, "first", number=100 + number)
        statuses.append(status(vms.serve(1, "first", number=100 + number)))
        vms.clock.advance(400)
    assert statuses == [200] * 3


# All VMs have just started, and none has seen a response to any prompt yet.
def test_a_part_that_all_prompts_share_is_served_after_two_crashes_at_a_start():
    vms = Vms()
    vms.engines.crashes_early = True
    for number in range(2):
        vms.serve(number, "first", "deadly", number=number)
        vms.clock.advance(400)
    statuses = []
    for number in range(20):
        statuses.append(status(vms.serve(number % 4, "first", "sound", number=number)))
        vms.clock.advance(400)
    assert 200 in statuses
