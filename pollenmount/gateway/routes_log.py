"""The replicated log of routes on a control VM, and linearizable reads of it."""

import zlib
from pathlib import Path
from typing import NamedTuple

from result import Err, Ok

from pollenmount.bridge.control import ControlClient, ControlServer, register_call
from pollenmount.bridge.hub import Hub
from pollenmount.bridge.worker import NativeWorker
from pollenmount.consensus.calls import Exchange, Hello, Propose
from pollenmount.consensus.client import GroupClient, no_quorum
from pollenmount.consensus.disk import Disk
from pollenmount.consensus.group import Group
from pollenmount.consensus.joining import Joiner
from pollenmount.consensus.journal import Journal
from pollenmount.consensus.messages import Replica
from pollenmount.consensus.state import Timing
from pollenmount.fleet.messages import CONTROL, EvacuationsChanged, RoutesChanged
from pollenmount.routes.machine import (
    GROUP,
    AcceptRoutes,
    RoutesAnswer,
    RoutesMachine,
    SetEvacuation,
)

__all__ = ["RoutesLog"]

PEER_KEY = "pollenmount-gateway-control"
SOURCE = "log"
HEARTBEAT_MS = 200
ELECTION_MS = 800
REPLACE_MS = 3000
HELLO_INTERVAL_MS = 500
READ_TIMEOUT_MS = 900
MIN_VOTERS = 3


class ReadRoutes(NamedTuple):
    """Call: return the newest plan, if the node asked leads."""


class ReadRoutesReply(NamedTuple):
    """The newest plan's document, or `confirmed` false."""

    confirmed: bool
    version: int
    document: bytes


register_call(ReadRoutes, ReadRoutesReply)


class RoutesLog:
    """This control VM's replica of the log of routes."""

    def __init__(self, node):
        self.node = node
        settings = node.settings
        self.hub = node.own(Hub())
        self.control = node.own(ControlClient(self.hub, PEER_KEY))
        self.machine = RoutesMachine()
        self.group = node.own(self.make_group())
        port = settings.first_port
        self.voters = {ip: f"{ip}:{port}" for ip in settings.peer_ips()}
        self.joiner = node.own(
            Joiner(
                self.group,
                self.control,
                self.voters,
                may_start=settings.first_start,
                interval_ms=HELLO_INTERVAL_MS,
                more_addresses=self.known_addresses,
            )
        )
        self.client = GroupClient(
            self.control,
            {GROUP: self.voters},
            node.clock,
            {GROUP: self.group},
            settings.consensus,
        )
        handlers = {
            Propose: self.group.propose,
            Exchange: self.group.exchange,
            Hello: self.joiner.answer,
            ReadRoutes: self.answer_read,
        }
        node.own(ControlServer(self.hub, settings.consensus, PEER_KEY, handlers))

    def make_group(self):
        """Return the replica, from what the data folder holds."""
        settings = self.node.settings
        journal = Journal(Disk(Path(settings.data_folder) / GROUP))
        me = Replica(
            settings.ip,
            journal.saved.incarnation,
            settings.failure_domain,
            settings.consensus,
        )
        timing = Timing(
            heartbeat_ms=HEARTBEAT_MS,
            election_ms=ELECTION_MS,
            replace_ms=REPLACE_MS,
            voters=max(MIN_VOTERS, 2 * settings.lost_disks + 1),
        )
        return Group(
            GROUP,
            me,
            self.machine,
            journal,
            self.node.own(NativeWorker(self.hub)),
            self.control,
            self.node.clock,
            on_apply=self.publish,
            stopping=lambda: self.node.stopping,
            timing=timing,
        )

    def known_addresses(self):
        """Return the addresses of the other control VMs that are known."""
        members = self.node.fleet.members.known()
        own = self.node.settings.consensus
        return [
            m.consensus for m in members if m.role == CONTROL and m.consensus != own
        ]

    def publish(self, machine):
        """Let the fleet know of the newest plan and evacuations."""
        state = machine.state
        fleet = self.node.fleet
        if state.plan_revision > fleet.routes.revision:
            document = state.document
            message = RoutesChanged(state.plan_revision, state.version, document)
            fleet.take(message, SOURCE)
        if state.evacuations_revision > fleet.evacuations.revision:
            message = EvacuationsChanged(state.evacuations_revision, state.evacuated)
            fleet.take(message, SOURCE)

    def accept(self, version, document):
        """Return Ok(RoutesAnswer) once a plan is durable, or Err(Refusal)."""
        command = AcceptRoutes(version, zlib.compress(document))
        return self.propose(command)

    def evacuate(self, failure_domain, evacuated):
        """Return Ok(RoutesAnswer) once an evacuation is durable, or Err(Refusal)."""
        return self.propose(SetEvacuation(failure_domain, evacuated))

    def propose(self, command):
        """Propose a command, wherever the leader is."""
        for address in self.known_addresses():
            self.voters.setdefault(address.rpartition(":")[0], address)
        return self.client.propose(GROUP, command, RoutesAnswer)

    def answer_read(self, request):
        """Answer a read if this replica leads."""
        if not self.group.confirm():
            return ReadRoutesReply(False, 0, b"")
        state = self.machine.state
        return ReadRoutesReply(True, state.version, state.document)

    def read(self):
        """Return Ok(document of the newest plan, b'' for none) or Err(Refusal)."""
        leader = self.group.state.leader
        if leader is None:
            return Err(no_quorum(GROUP, False))
        if leader == self.group.me:
            reply = self.answer_read(ReadRoutes())
        else:
            asked = self.control.call(leader.address, ReadRoutes(), READ_TIMEOUT_MS)
            reply = asked.ok_value if isinstance(asked, Ok) else None
        if reply is None or not reply.confirmed:
            return Err(no_quorum(GROUP, False))
        return Ok(zlib.decompress(reply.document) if reply.document else b"")
