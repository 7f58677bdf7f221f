"""Plays prompts of which one part ends their targets, with real processes.

`python -m tests.faults.deadly_parts --seconds=20 --restart-s=8 --form=in_head_stream`
plays some forms, and prints what the targets counted. Each prompt has another last
part, so only the part that it shares with others tells of it. All VMs may be killed at
one moment and started again.
"""

import argparse
import collections
import contextlib
import json
import signal
import tempfile
import threading
import time
from typing import NamedTuple

from standins.cluster import wait_until
from tests.faults.deadly import Callers, Mortals, make_form_route, serves
from tests.faults.mortal import DEADLY, FORMS, TIMEOUT_MS
from tests.faults.plays import apply_plan, send_request
from tests.soak.fleet import Fleet

__all__ = ["PartResult", "play"]

# The users' bounds: which tries count, by the fifth end, and how many are allowed.
CONTACT_S = 5.0
COUNTED_END = 5
MAX_LATE_TRIES = 3
PART_COUNT = 2
DEADLY_INTERVAL_S = 0.4
SOUND_INTERVAL_S = 0.1
SOUND_PARTS = 4
# Sound prompts come for a while before the first deadly one.
WARM_UP_S = 4


class PartResult(NamedTuple):
    """What was seen of one form.

    `late` and `ends` have, by deadly part, the tries later than `CONTACT_S` after its
    fifth end, and its ends. `sound` counts the sound prompts by outcome, before the
    deadly ones began and since then.
    """

    late: dict[str, int]
    ends: dict[str, int]
    sound_before: dict[str, int]
    sound: dict[str, int]


class PartCallers(Callers):
    """Callers of all forms, each prompt on a connection of its own, at any VM."""

    def run(self, seconds):
        """Send deadly and sound prompts of all forms, for some seconds."""
        deadly_at = time.monotonic() + WARM_UP_S
        ends_at = deadly_at + seconds
        next_at = {}
        while (now := time.monotonic()) < ends_at:
            for form in self.forms:
                if now >= deadly_at:
                    self.send_due(next_at, form, DEADLY, DEADLY_INTERVAL_S)
                kind = "sound" if now >= deadly_at else "before"
                self.send_due(next_at, form, kind, SOUND_INTERVAL_S)
            time.sleep(0.01)
        self.pool.shutdown()

    def send_due(self, next_at, form, kind, interval_s):
        """Send the next prompt of a form and a kind, if it is time."""
        now = time.monotonic()
        due_at = next_at.setdefault(
            (form, kind), now + self.random.uniform(0, interval_s)
        )
        if now < due_at:
            return
        next_at[form, kind] = due_at + interval_s
        number = self.numbers[form, kind] = self.numbers[form, kind] + 1
        count = PART_COUNT if kind == DEADLY else SOUND_PARTS
        self.pool.submit(self.send, form, kind, number % count, number)

    def send(self, form, kind, part, number):
        """Send one prompt, and count how it ended."""
        name = DEADLY if kind == DEADLY else "sound"
        id_ = f"{form}-{kind}-{number}"
        parts = f"{form}-first:1000,{form}-{name}-{part}:400,{id_}:100"
        more = {
            "X-Pollenmount-Model": "m",
            "X-Pollenmount-Token-Count": "1500,50",
            "X-Pollenmount-Prompt-Prefix": parts,
        }
        path = f"/{form}/{name}-{part}.{kind}{number}"
        outcome = send_request(self.fleet, path, id_, TIMEOUT_MS, more=more)
        self.outcomes[form, kind][outcome.ending] += 1


def restart_often(fleet, interval_s, stopped):
    """Restart all VMs at intervals, until the event `stopped` is set."""
    stopped.wait(WARM_UP_S)
    while not stopped.wait(interval_s):
        restart_all(fleet)


def restart_all(fleet):
    """Kill all VMs at one moment, and start them again."""
    names = [*fleet.control_ips, *fleet.entry_ips]
    for name in names:
        fleet.write_settings(name, False)
        fleet.send_signal(name, signal.SIGKILL)
    for name in names:
        fleet.processes[name].wait()
        fleet.start(name)


def find_results(records, forms, outcomes):
    """Return the `PartResult` of each form."""
    tries, ends = collections.defaultdict(list), collections.defaultdict(list)
    for record in records:
        if record.kind == DEADLY:
            times = tries if record.event == "arrived" else ends
            times[record.form, record.name.partition(".")[0]].append(record.at)
    return {
        form: PartResult(
            {p: count_late(tries[f, p], ends[f, p]) for f, p in tries if f == form},
            {p: len(ends[f, p]) for f, p in tries if f == form},
            dict(outcomes[form, "before"]),
            dict(outcomes[form, "sound"]),
        )
        for form in forms
    }


def count_late(tries, ends):
    """Return how many tries were later than the bound after the fifth end."""
    if len(ends) < COUNTED_END:
        return 0
    bound_at = sorted(ends)[COUNTED_END - 1] + CONTACT_S
    return sum(at > bound_at for at in tries)


def play(folder, network, seconds, forms, seed=1, restart_s=None):
    """Play forms at the same time; return the `PartResult` of each.

    All VMs are killed and started again each `restart_s` from the first deadly prompt
    on, unless that is None.
    """
    with contextlib.ExitStack() as stack:
        fleet = stack.enter_context(contextlib.closing(Fleet(folder, network)))
        mortals = stack.enter_context(contextlib.closing(Mortals(fleet, forms)))
        fleet.start_all()
        apply_plan(fleet, [make_form_route(form) for form in forms])
        wait_until(lambda: all(serves(fleet, form) for form in forms))
        if restart_s is not None:
            stopped = threading.Event()
            arguments = (fleet, restart_s, stopped)
            restarter = threading.Thread(target=restart_often, args=arguments)
            restarter.start()
            stack.callback(restarter.join)
            stack.callback(stopped.set)
        callers = PartCallers(fleet, forms, seed)
        callers.run(seconds)
        mortals.close()
        return find_results(mortals.records, forms, callers.outcomes)


def main():
    """Play the forms named, and print the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--restart-s", type=float)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--network", type=int, default=70)
    parser.add_argument("--form", action="append", choices=sorted(FORMS), required=True)
    parser.add_argument("--folder")
    flags = parser.parse_args()
    with tempfile.TemporaryDirectory() as temporary:
        results = play(
            flags.folder or temporary,
            flags.network,
            flags.seconds,
            tuple(flags.form),
            flags.seed,
            flags.restart_s,
        )
    for form, result in results.items():
        print(form, json.dumps(result._asdict()), flush=True)


if __name__ == "__main__":
    main()
