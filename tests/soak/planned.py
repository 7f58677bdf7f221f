"""Planned work of the soak test: stops, reloads, plans, evacuations, drains.

It is recorded as it is sent, since lost requests are judged by what goes on around.
"""

import json
import random
import signal
import threading
import time

from tests.soak.callers import Operator
from tests.soak.lost import Work
from tests.soak.notices import LEAVING, PAUSE
from tests.soak.plans import REGIONS, make_document, vary_document

WORK_INTERVAL_RANGE_S = (0.1, 1.0)
PLAN_INTERVAL_RANGE_S = (0.1, 1.5)
RELOAD_INTERVAL_S = 0.05
MAX_RELOADS = 6
RESTART_DELAY_RANGE_S = (0.3, 1.5)
WRITE_DELAY_RANGE_S = (0.02, 0.2)
EVACUATION_RANGE_S = (0.2, 5.0)
DRAIN_RANGE_S = (0.5, 3.0)
# Longer than a VM may go on sending to a replica that leaves.
LEAVING_RANGE_S = (4.0, 6.0)
ASK_RANGE_S = (0.3, 2.0)
PAUSE_S = 0.1
HOME_DELAY_S = 3
# At least one entry VM isn't stopped, so that callers are served.
MAX_STOPPED_ENTRIES = 2
KINDS = ("plan", "stop", "reload", "evacuate", "drain", "notice")


class WorkRecord:
    """The planned work, and the time limits in all plans, with the times of both."""

    def __init__(self):
        self.works = []
        self.limits = []
        self.lock = threading.Lock()

    def record(self, kind, vm, started_at, ended_at=None):
        """Record planned work; it ends at once unless a time is given."""
        with self.lock:
            self.works.append(Work(kind, vm, started_at, ended_at or started_at))

    def record_limits(self, sent_at, document):
        """Record the time limits in a plan that is about to be sent."""
        limits_s = {r["name"]: r["timeout_ms"] / 1000 for r in document["routes"]}
        with self.lock:
            self.limits.append((sent_at, limits_s))

    def least_limit_s(self, route, sent_at, longest_s):
        """Return the least time limit of a route that may have applied at a time.

        A plan that was sent may still be in force after the next ones; all sent so far
        are taken into account.
        """
        limits_s = [
            limits_s[route]
            for at, limits_s in self.limits
            if at <= sent_at and route in limits_s
        ]
        return min([longest_s, *limits_s])


class PlannedOperator(Operator):
    """Puts plans that change what is in use, some at two control VMs at once."""

    def __init__(self, fleet, seed, stopping, first_version, record):
        super().__init__(fleet, seed, stopping, first_version)
        self.record = record
        self.interval_range_s = PLAN_INTERVAL_RANGE_S

    def put_next(self):
        """Put one plan, or two with different versions at two control VMs at once."""
        addresses = self.random.sample(
            self.fleet.operator_addresses, self.random.choice((1, 1, 2))
        )
        versions = [self.version + number for number in range(1, len(addresses) + 1)]
        self.version += len(addresses)
        threads = [
            threading.Thread(target=self.put_varied, args=(address, version))
            for address, version in zip(addresses, versions, strict=True)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def put_varied(self, address, version):
        """Put a plan with changes that the version determines, and record it."""
        document = vary_document(
            make_document(version, self.fleet.routes, self.fleet.home),
            random.Random(f"{self.seed} {version}"),
        )
        started_at = time.monotonic()
        self.record.record_limits(started_at, document)
        status = self.fleet.put_document(address, document)
        self.record.record("plan", "", started_at, time.monotonic())
        self.note_status(version, status)


class PlannedWork:
    """Does planned work chosen by the seed; some of it overlaps.

    `kinds` names what is done: stop, reload, evacuate, drain,
    notice, home.
    """

    def __init__(self, fleet, seed, record, kinds):
        self.fleet = fleet
        self.random = random.Random(seed)
        self.record = record
        self.injected = []
        self.timers = []
        self.busy = set()
        self.stopped_at = {}
        methods = {
            "stop": (self.stop_entry, self.stop_entries, self.stop_control),
            "reload": (self.reload, self.rewrite_settings, self.rewrite_settings),
            "evacuate": (self.evacuate, self.evacuate),
            "drain": (self.drain_replica, self.drain_replica),
            "notice": (self.announce_leave, self.ask_for_pause),
            "home": (self.stop_home,),
        }
        chosen = [m for kind in kinds for m in methods.get(kind, ())]
        self.methods = chosen or [lambda: "none"]

    def run(self, seconds):
        """Do planned work for `seconds`, then wait until what it began is undone."""
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            work = self.random.choice(self.methods)()
            self.injected.append(work)
            time.sleep(self.random.uniform(*WORK_INTERVAL_RANGE_S))
            self.fleet.restart_exited()
        for timer in self.timers:
            timer.join()

    def call_later(self, range_s, function, *args):
        """Call a function after a random time."""
        timer = threading.Timer(self.random.uniform(*range_s), function, args)
        timer.start()
        self.timers.append(timer)

    def stop(self, name):
        """Ask a VM to stop; it is started again once it has exited."""
        if self.fleet.processes[name].poll() is None:
            self.record.record("stop", name, time.monotonic())
            self.fleet.send_signal(name, signal.SIGTERM)

    def is_running(self, name):
        """Return whether a VM is neither stopping nor just starting."""
        stopped_at = self.stopped_at.get(name, 0)
        return time.monotonic() - stopped_at > self.fleet.stop_grace_s

    def stop_some(self, names):
        """Ask VMs to stop, one of them twice in a row."""
        for name in names:
            self.stopped_at[name] = time.monotonic()
            self.stop(name)
        for name in names[:1] if self.random.random() < 0.5 else ():
            self.call_later(RESTART_DELAY_RANGE_S, self.stop, name)
        return f"stop {' '.join(names)}"

    def running_entries(self):
        """Return the entry VMs that may be stopped now."""
        names = sorted(self.fleet.entry_ips)
        running = [name for name in names if self.is_running(name)]
        stopping = len(names) - len(running)
        return running if stopping < MAX_STOPPED_ENTRIES else []

    def stop_entry(self):
        """Stop one entry VM."""
        running = self.running_entries()
        return self.stop_some([self.random.choice(running)]) if running else "no stop"

    def stop_entries(self):
        """Stop two entry VMs at once."""
        running = self.running_entries()
        if len(running) < len(self.fleet.entry_ips):
            return "no stop of two"
        return self.stop_some(self.random.sample(running, 2))

    def stop_home(self):
        """Stop an entry VM of the home region once requests are on their way there."""
        time.sleep(HOME_DELAY_S)
        region = self.fleet.home
        names = [n for n in self.running_entries() if n.split("-")[1] == region]
        return self.stop_some([self.random.choice(names)]) if names else "no stop"

    def stop_control(self):
        """Stop a control VM, if the two others run."""
        names = sorted(self.fleet.control_ips)
        if not all(self.is_running(name) for name in names):
            return "no stop of a control VM"
        return self.stop_some([self.random.choice(names)])

    def choose_vm(self):
        """Return a random VM."""
        return self.random.choice(sorted(self.fleet.processes))

    def reload(self):
        """Make a VM reload its settings several times in a row."""
        name, count = self.choose_vm(), self.random.randint(1, MAX_RELOADS)
        for _ in range(count):
            self.send_reload(name)
            time.sleep(RELOAD_INTERVAL_S)
        return f"reload {name} {count}"

    def send_reload(self, name):
        """Send SIGHUP to a VM that has started; before that, it would end the VM."""
        if self.fleet.has_started(name):
            self.record.record("reload", name, time.monotonic())
            self.fleet.send_signal(name, signal.SIGHUP)

    def rewrite_settings(self):
        """Change the seeds in a VM's settings: its file is emptied, then filled."""
        name = self.choose_vm()
        document = self.fleet.make_settings(name, False)
        seeds = document["seeds"]
        document["seeds"] = self.random.sample(seeds, self.random.randint(2, 3))
        text = json.dumps(document)
        path = self.fleet.folder / f"{name}.json"
        path.write_text(text[: self.random.choice((0, len(text) // 2))])
        self.send_reload(name)
        time.sleep(self.random.uniform(*WRITE_DELAY_RANGE_S))
        path.write_text(text)
        self.send_reload(name)
        return f"settings {name}"

    def evacuate(self):
        """Evacuate a failure domain and withdraw the order later."""
        region = self.random.choice(REGIONS)
        self.set_evacuation(region, True)
        self.call_later(EVACUATION_RANGE_S, self.set_evacuation, region, False)
        return f"evacuate {region}"

    def set_evacuation(self, region, evacuated):
        """Send an order until a control VM accepts it, and record it as a plan."""
        started_at = time.monotonic()
        for address in self.fleet.operator_addresses:
            if self.fleet.set_evacuation(address, f"{region}-a", evacuated) == 200:
                break
        self.record.record("plan", "", started_at, time.monotonic())

    def choose_replica(self):
        """Return a replica with which nothing is done yet, now busy; None for none."""
        replica = self.random.choice(self.fleet.replicas)
        if replica.id in self.busy:
            return None
        self.busy.add(replica.id)
        return replica

    def drain_replica(self):
        """Let a replica drain and leave, and come back as a new incarnation."""
        replica = self.choose_replica()
        if replica is None:
            return "no drain"
        replica.state = "draining"
        self.call_later(DRAIN_RANGE_S, self.end_drain, replica)
        return f"drain {replica.id}"

    def announce_leave(self):
        """Let a replica say in its responses only that it leaves; end as a drain."""
        replica = self.choose_replica()
        if replica is None:
            return "no leave"
        replica.notice = LEAVING
        self.call_later(LEAVING_RANGE_S, self.end_drain, replica)
        return f"leave {replica.id}"

    def ask_for_pause(self):
        """Let a replica turn requests away for a while, and ask for a pause."""
        replica = self.choose_replica()
        if replica is None:
            return "no pause"
        replica.notice = PAUSE
        self.call_later(ASK_RANGE_S, self.end_pause, replica)
        return f"pause {replica.id}"

    def end_pause(self, replica):
        """Let a replica take requests again."""
        replica.notice = ""
        self.busy.discard(replica.id)

    def end_drain(self, replica):
        """Let a drained replica leave and come back."""
        replica.leave()
        time.sleep(PAUSE_S)
        replica.come_back()
        self.busy.discard(replica.id)
