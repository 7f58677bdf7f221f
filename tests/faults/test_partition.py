"""A network partition of one region, made and healed by relays between nodes."""

import contextlib
import functools

import pytest

from scripts.examples import INZIRA, OPERATOR_KEY, make_settings
from standins.cluster import ROOT, chat_body, wait_until
from standins.relay import Relay, find_owner

CHAT = "/v1/chat/completions"
SHEET = (ROOT / "examples/inzira/plan.csv").read_bytes()
FIRST_NUMBER = 2026120301
ISOLATED = "huye-1"
TIMEOUT_S = 40


class RelayedNodes:
    """Three nodes, one per region, which reach each other through relays only."""

    def __init__(self, cluster, network, stack):
        self.cluster = cluster
        self.relays = {}
        vms = {"kigali": 1, "huye": 1, "musanze": 1}
        settings = make_settings(INZIRA._replace(vms=vms, network=network))
        identify = functools.partial(find_owner, cluster.processes)
        relay_addresses = {}
        for name, document in settings.items():
            for role in ("peers", "control"):
                listen = document["listen"][role]
                relay_address = (
                    listen.rpartition(".")[0] + ".200:" + listen.rpartition(":")[2]
                )
                relay = Relay(relay_address, listen, identify)
                stack.callback(relay.close)
                self.relays[name, role] = relay
                relay_addresses[listen] = relay_address
                document.setdefault("advertise", {})[role] = relay_address
        for name, document in settings.items():
            document["seeds"] = [relay_addresses[seed] for seed in document["seeds"]]
            document["groups"] = {
                group: {vm: relay_addresses[address] for vm, address in voters.items()}
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

    def isolate(self, isolated):
        """Cut one node off from the others in both directions."""
        for (name, _), relay in self.relays.items():
            if name == isolated:
                relay.cut()
            else:
                relay.isolated_owners = frozenset({isolated})

    def heal(self):
        """Remove the partition."""
        for relay in self.relays.values():
            relay.heal()

    def apply_plan(self, name, number):
        """Put the plan with a number at a node; return whether it was accepted."""
        sheet = SHEET.replace(str(FIRST_NUMBER).encode(), str(number).encode())
        address = self.listen[name]["operators"]
        answer = self.cluster.call(address, "PUT", "/v1/plan", OPERATOR_KEY, sheet)
        return answer.status == 200

    def plan_number(self, name):
        """Return the number of the plan in force at a node, 0 if none."""
        address = self.listen[name]["operators"]
        answer = self.cluster.call(address, "GET", "/v1/plan", OPERATOR_KEY)
        return answer.json.get("number", 0)

    def send_chat(self, name, caller):
        """Return the answer to a chat request at a node."""
        body = chat_body("drafting", "Which form?")
        address = self.listen[name]["callers"]
        return self.cluster.call(address, "POST", CHAT, f"key-{caller}", body)

    def entry_names(self, name):
        """Return the names of the entry VMs that a node considers reachable."""
        address = self.listen[name]["operators"]
        answer = self.cluster.call(address, "GET", "/v1/entries", OPERATOR_KEY)
        return {entry["name"] for entry in answer.json["entries"]}

    def wait_for_entries(self, name, expected):
        """Wait until a node considers just these entry VMs reachable."""
        try:
            wait_until(lambda: self.entry_names(name) == expected, TIMEOUT_S)
        except TimeoutError as error:
            error.add_note(f"{name} lists {self.entry_names(name)}, not {expected}")
            for node, relay in self.relays.items():
                error.add_note(f"relay of {node}: {relay.owners()}")
            raise


@pytest.fixture
def nodes(cluster, network):
    with contextlib.ExitStack() as stack:
        relayed_nodes = RelayedNodes(cluster, network, stack)
        wait_until(
            lambda: relayed_nodes.apply_plan("kigali-1", FIRST_NUMBER), TIMEOUT_S
        )
        names = {*relayed_nodes.listen}
        for name in names:
            wait_until(
                lambda name=name: relayed_nodes.plan_number(name) == FIRST_NUMBER,
                TIMEOUT_S,
            )
            relayed_nodes.wait_for_entries(name, names)
            caller = f"aid-{name[:-2]}"
            wait_until(
                lambda n=name, c=caller: relayed_nodes.send_chat(n, c).status == 200
            )
        yield relayed_nodes


def test_isolated_region_serves_its_own_callers_and_catches_up(nodes):
    nodes.isolate(ISOLATED)
    others = {*nodes.listen} - {ISOLATED}
    for name in others:
        nodes.wait_for_entries(name, others)
    nodes.wait_for_entries(ISOLATED, {ISOLATED})
    wait_until(lambda: nodes.apply_plan("kigali-1", FIRST_NUMBER + 1), TIMEOUT_S)
    for name in others:
        wait_until(
            lambda name=name: nodes.plan_number(name) == FIRST_NUMBER + 1, TIMEOUT_S
        )
    assert nodes.plan_number(ISOLATED) == FIRST_NUMBER
    for name in nodes.listen:
        region = name[:-2]
        answer = nodes.send_chat(name, f"aid-{region}")
        assert (answer.status, answer.headers["Pollenmount-Region"]) == (200, region)
    restricted = nodes.send_chat(ISOLATED, "court-kigali")
    assert (restricted.status, restricted.json["error"]["code"]) == (421, "misdirected")
    assert not nodes.apply_plan(ISOLATED, FIRST_NUMBER + 2)
    nodes.heal()
    for name in nodes.listen:
        wait_until(
            lambda name=name: nodes.plan_number(name) >= FIRST_NUMBER + 1, TIMEOUT_S
        )
        nodes.wait_for_entries(name, {*nodes.listen})
    newest = {nodes.plan_number(name) for name in nodes.listen}
    assert newest <= {FIRST_NUMBER + 1, FIRST_NUMBER + 2}
