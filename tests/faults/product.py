"""A small deployment of processes, for tests of the complete product."""

from pollenmount.plans.plan import digest_key
from scripts.examples import INZIRA, OPERATOR_KEY, make_settings
from standins.cluster import ROOT, chat_body, wait_until

__all__ = ["CHAT", "OPERATOR_KEY", "SmallDeployment", "chat_body", "digest_key"]

CHAT = "/v1/chat/completions"
SHEET = (ROOT / "examples/inzira/plan.csv").read_bytes()


class SmallDeployment:
    """Some VMs of Inzira with an engine and a service per region, under its plan.

    `vms`
        Number of VMs by region.
    `settings`
        Override values in the settings of every VM.
    """

    def __init__(self, cluster, network, vms, engine_flags=(), **settings):
        self.cluster = cluster
        self.example = INZIRA._replace(vms=vms, network=network)
        self.settings = {
            name: {**document, **settings}
            for name, document in make_settings(self.example).items()
        }
        for document in self.settings.values():
            cluster.start_node(document)
        self.start_targets(network, engine_flags)
        wait_until(self.apply_plan)
        for name in self.settings:
            wait_until(lambda vm=name: self.serves(vm))

    def start_targets(self, network, engine_flags):
        """Start an engine and a service in each region."""
        for number, region in enumerate(self.example.vms, start=1):
            entries = ",".join(
                document["listen"]["targets"]
                for document in self.settings.values()
                if document["region"] == region
            )
            self.cluster.start_standin(
                "engine",
                f"{region}-engine",
                self.target_address(number, "engine"),
                entries,
                "--models=drafting@v1+custody+maintenance",
                *engine_flags,
            )
            self.cluster.start_standin(
                "service",
                f"{region}-service",
                self.target_address(number, "service"),
                entries,
                "--services=filing,lookup",
            )

    def target_address(self, number, kind):
        """Return the address of the target of a region, numbered from 1."""
        host = {"engine": 101, "service": 100}[kind]
        return f"127.{self.example.network}.{number}.{host}:9000"

    def apply_plan(self):
        """Apply the example's plan sheet; return whether it was accepted."""
        first = next(iter(self.settings))
        address = self.listen_address(first, "operators")
        response = self.cluster.call(address, "PUT", "/v1/plan", OPERATOR_KEY, SHEET)
        return response.status == 200

    def serves(self, name):
        """Return whether a VM's targets answer both kinds of call."""
        address = self.listen_address(name)
        key = f"key-aid-{self.settings[name]['region']}"
        chat = chat_body("drafting", "x", max_tokens=1)
        responses = [
            self.cluster.call(address, "POST", CHAT, key, chat),
            self.cluster.call(address, "GET", "/cases/0", key),
        ]
        return [response.status for response in responses] == [200, 200]

    def listen_address(self, name, role="callers"):
        """Return the address on which a VM listens for `role`."""
        return self.settings[name]["listen"][role]

    def read_counts(self, kind, number=1):
        """Return the request counts of a target."""
        address = self.target_address(number, kind)
        return self.cluster.call(address, "GET", "/standin/counts").json
