"""Runs the soak test: `python -m tests.soak.run --seed=1 --seconds=20 --seeds=3`.

A seed determines faults, their targets and times; scheduling still differs by run.
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

from tests.soak.callers import Caller, Operator, find_violations, is_served
from tests.soak.fleet import REGIONS, Fleet
from tests.soak.replica import MODES
from tests.soak.start import FAULTS

CALLERS_PER_REGION = 3
START_TIMEOUT_S = 30
RECOVERY_TIMEOUT_S = 20
FAULT_INTERVAL_RANGE_S = (0.2, 1.0)
FAULT_DURATION_RANGE_S = (0.3, 2.0)


class Report(NamedTuple):
    """Result of a run: requests by status, injected faults, violations found."""

    statuses: dict[int, int]
    injected: list[str]
    violations: list[str]


class FaultInjector:
    """Injects faults into the fleet, chosen by the seed; some overlap."""

    def __init__(self, fleet, seed):
        self.fleet = fleet
        self.random = random.Random(seed)
        self.injected = []
        self.timers = []
        self.lost_disk = ""
        self.fault_methods = (
            *(
                self.end_vm,
                self.end_vm,
                self.pause_vm,
                self.disturb_path,
                self.disturb_path,
            ),
            *(
                self.set_replica_mode,
                self.set_replica_mode,
                self.reload_settings,
                self.cut_all_power,
                self.lose_disk,
            ),
        )

    def run(self, seconds):
        """Inject faults for `seconds`, then undo all of them."""
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            self.injected.append(self.random.choice(self.fault_methods)())
            time.sleep(self.random.uniform(*FAULT_INTERVAL_RANGE_S))
            self.fleet.restart_exited()
        for timer in self.timers:
            timer.join()
        for replica in self.fleet.replicas:
            replica.mode = "ok"
            replica.relay.heal()

    def call_later(self, function, *args):
        """Call a function after the random duration of a fault."""
        timer = threading.Timer(
            self.random.uniform(*FAULT_DURATION_RANGE_S), function, args
        )
        timer.start()
        self.timers.append(timer)

    def choose_vm(self):
        """Return the name of a random VM."""
        return self.random.choice(sorted(self.fleet.processes))

    def end_vm(self):
        """Kill a VM or ask it to stop."""
        name = self.choose_vm()
        signal_number = self.random.choice((signal.SIGKILL, signal.SIGTERM))
        self.fleet.send_signal(name, signal_number)
        return f"{signal_number.name} {name}"

    def cut_all_power(self):
        """Make all control VMs lose power, one right after the other."""
        for name in self.fleet.control_ips:
            self.fleet.lose_power(name)
        return "power"

    def lose_disk(self):
        """Make a control VM lose its disk, once per run: only one loss is tolerated."""
        if self.lost_disk:
            return "no further disk"
        self.lost_disk = self.random.choice(sorted(self.fleet.control_ips))
        self.fleet.lose_disk(self.lost_disk)
        return f"disk {self.lost_disk}"

    def pause_vm(self):
        """Stop a VM with SIGSTOP and resume it later."""
        name = self.choose_vm()
        self.fleet.send_signal(name, signal.SIGSTOP)
        self.call_later(self.fleet.send_signal, name, signal.SIGCONT)
        return f"pause {name}"

    def reload_settings(self):
        """Make a VM reload its settings."""
        name = self.choose_vm()
        self.fleet.send_signal(name, signal.SIGHUP)
        return f"reload {name}"

    def disturb_path(self):
        """Cut one or both directions of the path to a replica, or delay one."""
        replica = self.random.choice(self.fleet.replicas)
        kind = self.random.choice(("in", "out", "both", "delay"))
        if kind == "delay":
            replica.relay.set_direction("out", delay_s=0.2)
        else:
            replica.relay.cut(*(() if kind == "both" else (kind,)))
        self.call_later(replica.relay.heal)
        return f"path {kind} {replica.id}"

    def set_replica_mode(self):
        """Set a random mode of a replica, and `ok` later."""
        replica = self.random.choice(self.fleet.replicas)
        replica.mode = self.random.choice(MODES)
        self.call_later(setattr, replica, "mode", "ok")
        return f"mode {replica.mode} {replica.id}"


def wait_for(condition, timeout_s):
    """Return whether `condition` becomes true within the timeout."""
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        if condition():
            return True
        time.sleep(0.1)
    return False


def run_seed(folder, network, seed, seconds, fault=""):
    """Run one seed, with `fault` in the VMs' code if given; return the `Report`."""
    with contextlib.closing(Fleet(folder, network, fault)) as fleet:
        fleet.start_all()
        started = wait_for(lambda: is_started(fleet), START_TIMEOUT_S)
        if not started:
            return Report({}, [], ["the fleet did not start"])
        fleet.clear_first_start()
        return run_workload(fleet, seed, seconds)


def is_started(fleet):
    """Return whether the first plan is accepted and every region is served."""
    accepted = fleet.put_plan(fleet.operator_addresses[0], 1) == 200
    return accepted and all(is_served(fleet, region) for region in REGIONS)


def run_workload(fleet, seed, seconds):
    """Run callers and an operator while injecting faults; return the `Report`."""
    stopping = threading.Event()
    callers = [
        Caller(fleet, f"{region}-{number}", f"{seed} {region} {number}", stopping)
        for region in REGIONS
        for number in range(CALLERS_PER_REGION)
    ]
    operator = Operator(fleet, seed, stopping, 1)
    for thread in (*callers, operator):
        thread.start()
    injector = FaultInjector(fleet, seed)
    injector.run(seconds)
    recovered = wait_for(lambda: has_recovered(fleet), RECOVERY_TIMEOUT_S)
    stopping.set()
    for thread in (*callers, operator):
        thread.join()
    violations = (
        [] if recovered else ["not every region is served again after the faults"]
    )
    return make_report(fleet, callers, operator, injector, violations)


def has_recovered(fleet):
    """Restart exited VMs; return whether every region is served again."""
    fleet.restart_exited()
    return all(is_served(fleet, region) for region in REGIONS)


def make_report(fleet, callers, operator, injector, violations):
    """Check all observations and the newest plan; return the `Report`."""
    run_counts = collections.Counter()
    for replica in fleet.replicas:
        with replica.lock:
            run_counts.update(replica.runs)
    observations = [
        observation for caller in callers for observation in caller.observations
    ]
    violations += [
        violation
        for observation in observations
        for violation in find_violations(observation, run_counts)
    ]
    violations += operator.violations
    is_retained = wait_for(
        lambda: (
            (fleet.read_version(fleet.operator_addresses[0]) or 0)
            >= operator.acknowledged
        ),
        RECOVERY_TIMEOUT_S,
    )
    if not is_retained:
        violations.append(f"plan {operator.acknowledged} was acknowledged but lost")
    statuses = collections.Counter(observation.status for observation in observations)
    return Report(dict(statuses), injector.injected, violations)


def main():
    """Run one or more seeds; return 1 if a violation was found."""
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
        report = run_seed(folder, flags.network, seed, flags.seconds, flags.fault)
        failed += bool(report.violations)
        print(f"seed {seed}: {report.statuses}, {len(report.injected)} faults", folder)
        for violation in report.violations[:10]:
            print(f"    {violation}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
