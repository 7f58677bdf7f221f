"""A region cut off and healed, through relays between the processes."""

import contextlib
import functools

import pytest

from scripts.examples import INZIRA, OPERATOR_KEY, make_settings
from standins.cluster import ROOT, chat_body, wait_until
from standins.relay import Relay, find_owner

CHAT = "/v1/chat/completions"
SHEET = (ROOT / "examples/inzira/plan.csv").read_bytes()
FIRST = 2026120301
ALONE = "huye-1"
GRACE_S = 40


class Relayed:
    """Three nodes, one a region, each reached by the others through relays only."""

    def __init__(self, cluster, network, stack):
        self.cluster = cluster
        self.relays = {}
        vms = {"kigali": 1, "huye": 1, "musanze": 1}
        settings = make_settings(INZIRA._replace(vms=vms, network=network))
        identify = functools.partial(find_owner, cluster.processes)
        given = {}
        for name, document in settings.items():
            for role in ("peers", "control"):
                listen = document["listen"][role]
                front = listen.rpartition(".")[0] + ".200:" + listen.rpartition(":")[2]
                relay = Relay(front, listen, identify)
                stack.callback(relay.close)
                self.relays[name, role] = relay
                given[listen] = front
                document.setdefault("advertise", {})[role] = front
        for name, document in settings.items():
            document["seeds"] = [given[seed] for seed in document["seeds"]]
            document["groups"] = {
                group: {vm: given[address] for vm, address in voters.items()}
                for group, voters in document["groups"].items()
            }
            document["heartbeat_ms"] = 300
            cluster.start_node(document)
            ip = document["listen"]["targets"].rpartition(".")[0]
            cluster.start_standin(
                "engine",
                f"engine-{name}",
                f"{ip}.101:9000",
                document["listen"]["targets"],
                "--models=drafting@v1+custody+maintenance",
            )
        self.listen = {name: document["listen"] for name, document in settings.items()}

    def cut_off(self, alone):
        """Cut one node off from the others, in both directions."""
        for (name, _), relay in self.relays.items():
            if name == alone:
                relay.cut()
            else:
                relay.isolated_owners = frozenset({alone})

    def heal(self):
        """Let everything pass again."""
        for relay in self.relays.values():
            relay.heal()

    def apply(self, name, number):
        """Offer the sheet under a number at a node; return whether it was accepted."""
        sheet = SHEET.replace(str(FIRST).encode(), str(number).encode())
        address = self.listen[name]["operators"]
        answer = self.cluster.call(address, "PUT", "/v1/plan", OPERATOR_KEY, sheet)
        return answer.status == 200

    def number(self, name):
        """Return the number of the plan in force at a node, 0 if none."""
        address = self.listen[name]["operators"]
        answer = self.cluster.call(address, "GET", "/v1/plan", OPERATOR_KEY)
        return answer.json.get("number", 0)

    def ask(self, name, caller):
        """Return the answer to a chat request at a node."""
        body = chat_body("drafting", "Which form?")
        address = self.listen[name]["callers"]
        return self.cluster.call(address, "POST", CHAT, f"key-{caller}", body)

    def entries(self, name):
        """Return the names of the VMs that a node knows of in reach."""
        address = self.listen[name]["operators"]
        answer = self.cluster.call(address, "GET", "/v1/entries", OPERATOR_KEY)
        return {entry["name"] for entry in answer.json["entries"]}


@pytest.fixture
def relayed(cluster, network):
    with contextlib.ExitStack() as stack:
        running = Relayed(cluster, network, stack)
        wait_until(lambda: running.apply("kigali-1", FIRST), GRACE_S)
        everyone = {*running.listen}
        for name in everyone:
            wait_until(lambda name=name: running.number(name) == FIRST, GRACE_S)
            wait_until(lambda name=name: running.entries(name) == everyone, GRACE_S)
            caller = f"aid-{name[:-2]}"
            wait_until(lambda n=name, c=caller: running.ask(n, c).status == 200)
        yield running


def test_cut_region_serves_its_own_and_catches_up(relayed):
    relayed.cut_off(ALONE)
    others = {*relayed.listen} - {ALONE}
    for name in others:
        wait_until(lambda name=name: relayed.entries(name) == others, GRACE_S)
    wait_until(lambda: relayed.entries(ALONE) == {ALONE}, GRACE_S)
    wait_until(lambda: relayed.apply("kigali-1", FIRST + 1), GRACE_S)
    for name in others:
        wait_until(lambda name=name: relayed.number(name) == FIRST + 1, GRACE_S)
    assert relayed.number(ALONE) == FIRST
    for name in relayed.listen:
        region = name[:-2]
        answer = relayed.ask(name, f"aid-{region}")
        assert (answer.status, answer.headers["Pollenmount-Region"]) == (200, region)
    bound = relayed.ask(ALONE, "court-kigali")
    assert (bound.status, bound.json["error"]["code"]) == (421, "misdirected")
    assert not relayed.apply(ALONE, FIRST + 2)
    relayed.heal()
    for name in relayed.listen:
        wait_until(lambda name=name: relayed.number(name) >= FIRST + 1, GRACE_S)
        wait_until(
            lambda name=name: relayed.entries(name) == {*relayed.listen}, GRACE_S
        )
    newest = {relayed.number(name) for name in relayed.listen}
    assert newest <= {FIRST + 1, FIRST + 2}
