"""Complete sessions with scripted targets in virtual time, compared with snapshots."""

import pytest

from bench.virtual_time import VirtualTime
from bench.world import World
from pollenmount.errors import Refusal
from pollenmount.plugin import get_plugin_by_name
from pollenmount.routing.pipeline import BrokenResponseError
from pollenmount.routing.policies.base import FAMILY
from pollenmount.routing.request import Head
from tests.stateful import scripted

TARGETS = (
    *(("east-e1", "engine", True), ("east-e2", "engine", True)),
    *(("west-e1", "engine", True), ("east-s", "service", False)),
    ("west-s", "service", False),
)
NODES = ("east-1", "east-2", "west-1")


class Session:
    """A deployment of three VMs that records its events."""

    def __init__(self):
        self.time = VirtualTime()
        self.targets = {t[0]: scripted.ScriptedTarget(*t) for t in TARGETS}
        self.log_lines = []
        self.world = World(
            self.time,
            scripted.PLAN,
            {"east": 2, "west": 1},
            self.targets,
            get_plugin_by_name(FAMILY, "adaptive"),
            1,
            scripted.ScriptedUpstream,
        )
        for caller in scripted.CALLERS.values():
            self.world.register(caller)
        self.time.run(1500)

    def record(self, text):
        """Record a line with the virtual time."""
        self.log_lines.append(f"{self.time.now() - 1500:>6} ms  {text}")

    def call(self, node, caller, kind, class_="interactive", stream=False):
        """Start a call at a node."""
        name = f"call{len([line for line in self.log_lines if ' enters ' in line])}"
        call = scripted.make_call(name, caller, kind, class_, self.time.now(), stream)
        self.record(f"{name} enters {node}: {caller} {kind} {class_}")
        self.time.spawn(self.serve, self.world.nodes[node], call)
        self.time.run(self.time.value)

    def serve(self, node, call):
        """Serve a call and record its outcome."""
        target_name = ""
        try:
            for part in node.router.serve(call):
                if isinstance(part, Refusal):
                    run_text = "not run" if part.not_run else "may have run"
                    self.record(f"{call.id} refused: {part.kind}, {run_text}")
                    return
                if isinstance(part, Head):
                    target_name = part.target
        except BrokenResponseError as error:
            self.record(f"{call.id} broke off: {error.refusal.kind}")
            return
        run_counts = {t.name: t.run_counts[call.id] for t in self.targets.values()}
        asked = ", ".join(name for name, count in run_counts.items() if count)
        self.record(f"{call.id} answered by {target_name}; asked: {asked}")

    def run(self, ms):
        """Advance the virtual time."""
        self.time.run(self.time.value + ms)


def light_load(session):
    for kind in ("chat", "look", "file"):
        session.call("east-1", "free", kind)
        session.call("west-1", "near", kind)
        session.run(1000)
    session.call("east-2", "bound", "chat", stream=True)


def full_region(session):
    for _ in range(3):
        for node in ("east-1", "east-2"):
            session.call(node, "free", "chat")
        session.call("east-1", "bound", "chat", "deferred")
    session.run(2000)


def region_partitioned(session):
    members, session.world.members = session.world.members, ()
    session.world.summaries.clear()
    for target in ("east-e1", "east-e2"):
        session.targets[target].pending_faults.extend(["refuse"] * 2)
    session.call("east-1", "free", "chat")
    session.call("west-1", "near", "chat")
    session.run(5000)
    session.record("partition ends")
    session.world.members = members
    session.call("east-1", "free", "chat")


def target_leaves(session):
    session.call("east-1", "bound", "chat", stream=True)
    session.run(100)
    session.record("east-e1 leaves")
    session.targets["east-e1"].alive = False
    for node in session.world.nodes_of("east"):
        node.table.leave(session.targets["east-e1"].announcement())
    for _ in range(3):
        session.call("east-2", "bound", "chat")
        session.run(500)


def mismatched_request_ids(session):
    for target in session.targets.values():
        target.pending_faults.extend(["crossed"] * 2)
    session.call("east-1", "free", "chat")
    session.call("east-1", "bound", "chat", stream=True)
    session.call("east-1", "free", "file")
    session.run(3000)


def connection_lost_then_refused(session):
    session.targets["east-s"].pending_faults.append("reset")
    session.targets["west-s"].pending_faults.append("refuse")
    session.call("east-1", "free", "look")
    session.run(2000)
    for target in ("east-s", "west-s"):
        session.targets[target].pending_faults.append("refuse")
    session.call("east-1", "free", "look")


@pytest.mark.parametrize(
    "script",
    [
        *(light_load, full_region, region_partitioned, target_leaves),
        *(mismatched_request_ids, connection_lost_then_refused),
    ],
    ids=lambda script: script.__name__,
)
def test_session(script, snapshot):
    session = Session()
    script(session)
    session.run(70_000)
    assert "\n".join(session.log_lines) == snapshot
