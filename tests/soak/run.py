"""Runs the soak: `python -m tests.soak.run --seed=1 --seconds=20 --seeds=3`.

A seed decides faults, targets and times; what the machine does between them differs.
"""

import argparse
import collections
import contextlib
import random
import signal
import sys
import tempfile
import threading
import time
from typing import NamedTuple

from tests.soak.callers import Caller, Operator, find_faults, is_served
from tests.soak.fleet import REGIONS, Fleet
from tests.soak.replica import MODES
from tests.soak.start import FAULTS

CALLERS_A_REGION = 3
START_LIMIT_S = 30
RECOVERY_LIMIT_S = 20
FAULT_PAUSE_S = (0.2, 1.0)
HOLD_S = (0.3, 2.0)


class Report(NamedTuple):
    """What a run saw: requests by status, faults that were set, what was wrong."""

    statuses: dict[int, int]
    injected: list[str]
    wrong: list[str]


class Injector:
    """Sets faults on the fleet, each chosen by the seed, some at the same time."""

    def __init__(self, fleet, seed):
        self.fleet = fleet
        self.random = random.Random(seed)
        self.injected = []
        self.timers = []
        self.lost_disk = ""
        self.kinds = (
            *(self.end, self.end, self.pause, self.path, self.path),
            *(self.mode, self.mode, self.hup, self.power, self.disk),
        )

    def run(self, seconds):
        """Set faults for a while, then take all of them back."""
        limit = time.monotonic() + seconds
        while time.monotonic() < limit:
            self.injected.append(self.random.choice(self.kinds)())
            time.sleep(self.random.uniform(*FAULT_PAUSE_S))
            self.fleet.restart_ended()
        for timer in self.timers:
            timer.join()
        for replica in self.fleet.replicas:
            replica.mode = "ok"
            replica.relay.heal()

    def later(self, function, *args):
        """Call a function after a while."""
        timer = threading.Timer(self.random.uniform(*HOLD_S), function, args)
        timer.start()
        self.timers.append(timer)

    def vm(self):
        """Return the name of a VM."""
        return self.random.choice(sorted(self.fleet.processes))

    def end(self):
        """Kill a VM, or ask it to stop."""
        name = self.vm()
        number = self.random.choice((signal.SIGKILL, signal.SIGTERM))
        self.fleet.send(name, number)
        return f"{number.name} {name}"

    def power(self):
        """Let all control VMs lose power at the same moment."""
        for name in self.fleet.controls:
            self.fleet.lose_power(name)
        return "power"

    def disk(self):
        """Let one control VM lose its disk, once a run: one is all that may be lost."""
        if self.lost_disk:
            return "no further disk"
        self.lost_disk = self.random.choice(sorted(self.fleet.controls))
        self.fleet.lose_disk(self.lost_disk)
        return f"disk {self.lost_disk}"

    def pause(self):
        """Stop a VM for a while."""
        name = self.vm()
        self.fleet.send(name, signal.SIGSTOP)
        self.later(self.fleet.send, name, signal.SIGCONT)
        return f"pause {name}"

    def hup(self):
        """Let a VM read its settings again."""
        name = self.vm()
        self.fleet.send(name, signal.SIGHUP)
        return f"reload {name}"

    def path(self):
        """Cut, silence or delay the path to a replica."""
        replica = self.random.choice(self.fleet.replicas)
        kind = self.random.choice(("in", "out", "both", "delay"))
        if kind == "delay":
            replica.relay.set_direction("out", delay_s=0.2)
        else:
            replica.relay.cut(*(() if kind == "both" else (kind,)))
        self.later(replica.relay.heal)
        return f"path {kind} {replica.id}"

    def mode(self):
        """Let a replica fail in some way."""
        replica = self.random.choice(self.fleet.replicas)
        replica.mode = self.random.choice(MODES)
        self.later(setattr, replica, "mode", "ok")
        return f"mode {replica.mode} {replica.id}"


def wait_for(check, limit_s):
    """Return whether `check` becomes true within the limit."""
    limit = time.monotonic() + limit_s
    while time.monotonic() < limit:
        if check():
            return True
        time.sleep(0.1)
    return False


def soak(folder, network, seed, seconds, fault=""):
    """Run one seed, with a deliberate fault if one is named; return its `Report`."""
    with contextlib.closing(Fleet(folder, network, fault)) as fleet:
        fleet.start_all()
        started = wait_for(lambda: start(fleet), START_LIMIT_S)
        if not started:
            return Report({}, [], ["the fleet didn't start"])
        fleet.end_first_start()
        return play(fleet, seed, seconds)


def start(fleet):
    """Return whether the first plan is accepted and every region is served."""
    accepted = fleet.put_plan(fleet.operators[0], 1) == 200
    return accepted and all(is_served(fleet, region) for region in REGIONS)


def play(fleet, seed, seconds):
    """Let callers work under faults; return what was seen."""
    closing = threading.Event()
    callers = [
        Caller(fleet, f"{region}-{number}", f"{seed} {region} {number}", closing)
        for region in REGIONS
        for number in range(CALLERS_A_REGION)
    ]
    operator = Operator(fleet, seed, closing, 1)
    for thread in (*callers, operator):
        thread.start()
    injector = Injector(fleet, seed)
    injector.run(seconds)
    recovered = wait_for(lambda: is_whole(fleet), RECOVERY_LIMIT_S)
    closing.set()
    for thread in (*callers, operator):
        thread.join()
    wrong = [] if recovered else ["not every region is served again"]
    return judge(fleet, callers, operator, injector, wrong)


def is_whole(fleet):
    """Return whether every region is served again."""
    fleet.restart_ended()
    return all(is_served(fleet, region) for region in REGIONS)


def judge(fleet, callers, operator, injector, wrong):
    """Return the `Report` of a run."""
    runs = collections.Counter()
    for replica in fleet.replicas:
        with replica.lock:
            runs.update(replica.runs)
    seen = [one for caller in callers for one in caller.seen]
    wrong += [fault for one in seen for fault in find_faults(one, runs)]
    wrong += operator.faults
    kept = wait_for(
        lambda: (fleet.read_version(fleet.operators[0]) or 0) >= operator.acknowledged,
        RECOVERY_LIMIT_S,
    )
    if not kept:
        wrong.append(f"plan {operator.acknowledged} was acknowledged and is gone")
    statuses = collections.Counter(one.status for one in seen)
    return Report(dict(statuses), injector.injected, wrong)


def main():
    """Run one or more seeds; return 1 if anything was wrong."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--network", type=int, default=90)
    parser.add_argument("--keep", default="", help="folder in which logs are kept")
    parser.add_argument("--fault", default="", choices=("", *FAULTS))
    flags = parser.parse_args()
    failed = 0
    for seed in range(flags.seed, flags.seed + flags.seeds):
        folder = tempfile.mkdtemp(dir=flags.keep or None)
        report = soak(folder, flags.network, seed, flags.seconds, flags.fault)
        failed += bool(report.wrong)
        print(f"seed {seed}: {report.statuses}, {len(report.injected)} faults", folder)
        for fault in report.wrong[:10]:
            print(f"    {fault}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
