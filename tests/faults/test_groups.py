"""The replicated log of plans when processes are killed or frozen or lose disks."""

import itertools
import shutil
import signal
import threading
import time

import pytest
import urllib3

from scripts.examples import INZIRA, OPERATOR_KEY, make_settings
from standins.cluster import ROOT, wait_until

SHEET = (ROOT / "examples/inzira/plan.csv").read_bytes()
PLAN_NUMBER = b"2026120301"
FIRST_NUMBER = 1
WRITE_TIMEOUT_S = 60
RETAINED_ACCEPTANCES = ("repeated", "replaced")


class Voters:
    """Three voters of the log of plans; `accepted` has the plan numbers accepted."""

    def __init__(self, cluster, network):
        self.cluster = cluster
        vms = {"kigali": 1, "huye": 1, "musanze": 1}
        self.settings = make_settings(INZIRA._replace(vms=vms, network=network))
        self.accepted = []
        self.log_changes = 0
        self.numbers = itertools.count(FIRST_NUMBER)
        for document in self.settings.values():
            document["groups"] = {"plans": document["groups"]["plans"]}
            document["stop_delay_ms"] = 500
            cluster.start_node(document)
        wait_until(lambda: self.apply_plan("kigali-1"))

    def call(self, name, method, path, body=None):
        address = self.settings[name]["listen"]["operators"]
        return self.cluster.call(address, method, path, OPERATOR_KEY, body)

    def propose_plan(self, name, number):
        """Put the plan with this number; return its acceptance, '' if there is none."""
        sheet = SHEET.replace(PLAN_NUMBER, b"%d" % number)
        answer = self.call(name, "PUT", "/v1/plan", sheet).json
        self.log_changes += "acceptance" in answer
        return answer.get("acceptance", "")

    def apply_plan(self, name):
        """Put the plan with the next number; return whether it was accepted."""
        number = next(self.numbers)
        if self.propose_plan(name, number) != "accepted":
            return False
        self.accepted.append(number)
        return True

    def group_status(self, name):
        """Return the status of a VM's replica, unconfirmed if it doesn't answer."""
        try:
            return self.call(name, "GET", "/v1/groups").json["groups"][0]
        except urllib3.exceptions.HTTPError:
            return {"confirmed": False}

    def find_leader(self, excluded=()):
        """Wait for a confirmed leader that is not in `excluded`; return its name."""
        candidates = []

        def find_candidates():
            candidates[:] = [n for n in self.settings if n not in excluded]
            candidates[:] = [n for n in candidates if self.group_status(n)["confirmed"]]
            return candidates

        wait_until(find_candidates)
        return candidates[0]

    def restart(self, name):
        self.cluster.start_node(self.settings[name])

    def lose_disk(self, name):
        """Kill a VM and restart it on an empty disk."""
        self.cluster.kill(name)
        shutil.rmtree(self.cluster.settings[name]["data_folder"])
        self.restart(name)

    def number_in_force(self, name):
        return self.call(name, "GET", "/v1/plan").json.get("number", 0)

    def assert_plans_retained(self):
        """Assert that accepted plans are retained and the newest is in force."""
        number = next(self.numbers)
        wait_until(
            lambda: self.propose_plan("huye-1", number) in ("accepted", "repeated")
        )
        for name in self.settings:
            wait_until(lambda vm=name: self.number_in_force(vm) == number)
        sampled = {*self.accepted[::5], *self.accepted[-30:]}
        lost = [
            n
            for n in sampled
            if self.propose_plan("huye-1", n) not in RETAINED_ACCEPTANCES
        ]
        assert lost == []


@pytest.fixture
def voters(cluster, network):
    return Voters(cluster, network)


def write_until(voters, stopping):
    """Apply plans through all VMs in turn until `stopping` is set."""
    for name in itertools.cycle(voters.settings):
        if stopping.is_set():
            return
        try:
            voters.apply_plan(name)
        except urllib3.exceptions.HTTPError:
            time.sleep(0.05)


def test_plans_survive_kills_in_mid_write_and_500_changes(voters):
    stopping = threading.Event()
    writers = [
        threading.Thread(target=write_until, args=(voters, stopping)) for _ in range(3)
    ]
    for writer in writers:
        writer.start()
    for number, victim in enumerate(("leader", "follower", "leader"), start=1):
        wait_until(
            lambda least=120 * number: voters.log_changes > least, WRITE_TIMEOUT_S
        )
        leader = voters.find_leader()
        followers = [name for name in voters.settings if name != leader]
        name = leader if victim == "leader" else followers[0]
        voters.cluster.kill(name)
        wait_until(lambda least=len(voters.accepted): len(voters.accepted) > least + 5)
        voters.restart(name)
    wait_until(lambda: voters.log_changes >= 500, WRITE_TIMEOUT_S)
    stopping.set()
    for writer in writers:
        writer.join(30)
    newest = max(voters.accepted)
    for name in voters.settings:
        voters.cluster.kill(name)
    for name in voters.settings:
        voters.restart(name)
    for name in voters.settings:
        wait_until(lambda vm=name: voters.number_in_force(vm) >= newest)
    voters.assert_plans_retained()


def test_plans_survive_a_second_lost_disk_right_after_the_first_repair(voters):
    for _ in range(3):
        wait_until(lambda: voters.apply_plan("kigali-1"))
    leader = voters.find_leader()
    first, second = (name for name in voters.settings if name != leader)
    voters.lose_disk(first)
    wait_until(lambda: voters.group_status(first).get("replica"))
    wait_repaired(voters, first, excluded=())
    assert voters.apply_plan(leader)
    voters.lose_disk(leader)
    wait_until(lambda: voters.apply_plan(second))
    wait_until(lambda: voters.group_status(leader).get("replica"))
    wait_repaired(voters, leader, excluded=(leader,))
    voters.assert_plans_retained()


def wait_repaired(voters, name, excluded):
    """Wait until a VM's new replica is a voter and no membership change is pending."""
    replica = voters.group_status(name)["replica"]

    def repaired():
        group = voters.group_status(voters.find_leader(excluded))
        return replica in group["voters"] and not group["outgoing"]

    wait_until(repaired)


def test_resumed_leader_serves_no_stale_read_and_accepts_nothing(voters):
    old_leader = voters.find_leader()
    number = max(voters.accepted)
    voters.cluster.kill(old_leader, signal.SIGSTOP)
    new_leader = voters.find_leader(excluded=(old_leader,))
    for _ in range(5):
        wait_until(lambda: voters.apply_plan(new_leader))
    committed = voters.group_status(new_leader)["applied"]
    term = voters.group_status(new_leader)["term"]
    voters.cluster.kill(old_leader, signal.SIGCONT)
    group = voters.group_status(old_leader)
    assert not group["confirmed"] or group["applied"] >= committed
    assert voters.propose_plan(old_leader, number) in RETAINED_ACCEPTANCES
    wait_until(lambda: voters.group_status(old_leader)["applied"] >= committed)
    assert voters.group_status(voters.find_leader())["term"] == term
    voters.assert_plans_retained()


def test_planned_stop_of_the_leader_transfers_leadership(voters):
    leader = voters.find_leader()
    term = voters.group_status(leader)["term"]
    assert voters.cluster.kill(leader, signal.SIGTERM) == 0
    successor = voters.find_leader(excluded=(leader,))
    assert voters.group_status(successor)["term"] == term + 1
    voters.restart(leader)
    voters.assert_plans_retained()


def test_voter_restarted_alone_has_the_newest_committed_plan_in_force(voters):
    voters.assert_plans_retained()
    newest = voters.number_in_force("huye-1")
    for name in voters.settings:
        wait_until(lambda vm=name: is_commit_saved(voters.group_status(vm)))
    for name in voters.settings:
        voters.cluster.kill(name)
    voters.restart("huye-1")
    wait_until(lambda: voters.number_in_force("huye-1") == newest)


def is_commit_saved(group):
    return group["saved_commit"] == group["commit"] == group["applied"]
