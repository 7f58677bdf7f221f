"""The replicated log of plans and evacuations on a control VM.

Reads are linearizable.
"""

import contextlib
import zlib
from pathlib import Path
from typing import NamedTuple

from result import Err, Ok

from pollenmount import task
from pollenmount.bridge.control import ControlClient, ControlServer, register_call
from pollenmount.bridge.loop_executor import LoopExecutor
from pollenmount.bridge.worker import NativeWorker
from pollenmount.consensus.calls import Exchange, Hello, Propose
from pollenmount.consensus.client import (
    PROPOSE_TIMEOUT_MS,
    GroupClient,
    is_always,
    no_quorum_refusal,
)
from pollenmount.consensus.disk import Disk
from pollenmount.consensus.group import Group
from pollenmount.consensus.joining import Joiner
from pollenmount.consensus.journal import Journal
from pollenmount.consensus.messages import Replica
from pollenmount.consensus.state import Timing
from pollenmount.errors import PollenmountError
from pollenmount.fleet.messages import EvacuationsChanged, RoutesChanged
from pollenmount.fleet.records import CONTROL
from pollenmount.gateway.evacuation_orders import EvacuationOrders, ReadOrders
from pollenmount.log import get_logger
from pollenmount.routes.machine import (
    GROUP,
    AcceptRoutes,
    RoutesMachine,
    RoutesResult,
)

__all__ = ["RoutesLog"]

PEER_KEY = "pollenmount-gateway-control"
SOURCE = "log"
HEARTBEAT_INTERVAL_MS = 200
ELECTION_TIMEOUT_MS = 800
VOTER_REPLACE_TIMEOUT_MS = 3000
HELLO_INTERVAL_MS = 500
READ_TIMEOUT_MS = 900
READ_CALL_TIMEOUT_MS = 600
MIN_VOTERS = 3
REPLICA_CHECK_INTERVAL_MS = 1000

logger = get_logger("routes")


class ReadRoutes(NamedTuple):
    """Call between nodes: return the newest plan if the receiver is the leader."""


class ReadRoutesReply(NamedTuple):
    """The newest plan's document; `confirmed` is false if the sender may not lead."""

    confirmed: bool
    version: int
    document: bytes


register_call(ReadRoutes, ReadRoutesReply)


class RoutesLog:
    """This control VM's replica of the log.

    `seeds` has the consensus addresses of the seeds by IP, `proposal_addresses` those
    of all control VMs known so far, to which proposals may be sent.

    After a disk failure the replica is closed and restarted from the data on disk,
    while the VM keeps running.
    """

    def __init__(self, node):
        self.node = node
        settings = node.settings
        self.loop_executor = node.manage(LoopExecutor())
        self.worker = node.manage(NativeWorker(self.loop_executor))
        self.control = node.manage(ControlClient(self.loop_executor, PEER_KEY))
        port = settings.first_port
        self.seeds = {ip: f"{ip}:{port}" for ip in settings.peer_ips()}
        self.proposal_addresses = dict(self.seeds)
        self.may_bootstrap = settings.first_start
        self.stack = node.manage(contextlib.ExitStack())
        self.orders = EvacuationOrders(self, node.clock)
        self.start_replica(Journal(self.open_disk()))
        handlers = {
            Propose: self.handle_proposal,
            Exchange: self.exchange,
            Hello: self.handle_hello,
            ReadRoutes: self.handle_read,
            ReadOrders: self.orders.handle_read,
        }
        node.manage(
            ControlServer(self.loop_executor, settings.consensus, PEER_KEY, handlers)
        )
        node.manage(
            task.PeriodicTask(self.restart_failed_replica, REPLICA_CHECK_INTERVAL_MS)
        )

    def open_disk(self):
        """Return the replica's folder as a `Disk`."""
        return Disk(Path(self.node.settings.data_folder) / GROUP)

    def start_replica(self, journal):
        """Start the replica and its client from a journal."""
        settings = self.node.settings
        self.machine = RoutesMachine()
        self.group = self.stack.enter_context(
            contextlib.closing(self.make_replica(journal))
        )
        joiner = Joiner(
            self.group,
            self.control,
            self.seeds,
            may_bootstrap=self.may_bootstrap,
            interval_ms=HELLO_INTERVAL_MS,
            more_addresses=self.peer_addresses,
            group_seen=self.is_log_seen,
        )
        self.joiner = self.stack.enter_context(contextlib.closing(joiner))
        self.client = GroupClient(
            self.control,
            {GROUP: self.proposal_addresses},
            self.node.clock,
            {GROUP: self.group},
            settings.consensus,
        )

    def restart_failed_replica(self):
        """Restart the replica if it has failed."""
        if not self.group.failure:
            return
        self.may_bootstrap = self.joiner.proof.may_bootstrap
        self.stack.close()
        try:
            journal = self.worker.run(rewrite_journal, self.open_disk)
        except (PollenmountError, OSError) as error:
            logger.error("replica restart failed", extra={"problem": str(error)})
            return
        logger.warning(
            "restarting failed replica", extra={"failed": self.group.failure}
        )
        self.start_replica(journal)

    def make_replica(self, journal):
        """Return the `Group` of this replica with the state in its journal."""
        settings = self.node.settings
        replica = Replica(
            settings.ip,
            journal.saved.incarnation,
            settings.failure_domain,
            settings.consensus,
        )
        timing = Timing(
            heartbeat_ms=HEARTBEAT_INTERVAL_MS,
            election_timeout_ms=ELECTION_TIMEOUT_MS,
            replace_voter_ms=VOTER_REPLACE_TIMEOUT_MS,
            max_voters=max(MIN_VOTERS, 2 * settings.lost_disks + 1),
        )
        return Group(
            GROUP,
            replica,
            self.machine,
            journal,
            self.worker,
            self.control,
            self.node.clock,
            on_apply=self.publish_state,
            stopping=lambda: self.node.stopping,
            timing=timing,
        )

    def peer_addresses(self):
        """Return the consensus addresses of the other known control VMs."""
        members = self.node.fleet.members.known()
        own = self.node.settings.consensus
        return [
            member.consensus_address
            for member in members
            if member.role == CONTROL and member.consensus_address != own
        ]

    def is_log_seen(self):
        """Return whether the fleet has a plan or an evacuation, and so a log."""
        fleet = self.node.fleet
        return bool(
            fleet.routes.revision
            or fleet.evacuations.revision
            or any(member.plan for member in fleet.members.known())
        )

    def has_quorum(self):
        """Return whether this replica is in touch with the leader of the log."""
        return self.group.is_in_touch()

    def publish_state(self, machine):
        """Publish the newest plan and evacuations to the fleet."""
        state = machine.state
        fleet = self.node.fleet
        if state.plan_revision > fleet.routes.revision:
            document = state.document
            message = RoutesChanged(state.plan_revision, state.version, document)
            fleet.handle(message, SOURCE)
        if state.evacuations_revision > fleet.evacuations.revision:
            message = EvacuationsChanged(state.evacuations_revision, state.evacuated)
            fleet.handle(message, SOURCE)

    def accept(self, version, document):
        """Return Ok(RoutesResult) once a plan is durable, or Err(Refusal)."""
        command = AcceptRoutes(version, zlib.compress(document))
        return self.propose(command)

    def evacuate(self, order, has_caller):
        """Return Ok(OrderResult) once an order is durable, or Err(ErrorResponse)."""
        return self.orders.run(order, has_caller)

    def propose(self, command, timeout_ms=PROPOSE_TIMEOUT_MS, is_wanted=is_always):
        """Propose a command to the leader, on whichever VM it is."""
        self.add_proposal_addresses()
        options = (timeout_ms, is_wanted)
        return self.client.propose(GROUP, command, RoutesResult, *options)

    def add_proposal_addresses(self):
        """Add the other known control VMs to those that are asked."""
        for address in self.peer_addresses():
            ip = address.rpartition(":")[0]
            self.proposal_addresses.setdefault(ip, address)

    def handle_proposal(self, request):
        """Return the reply to a proposal of another control VM."""
        return self.group.propose(request)

    def exchange(self, request):
        """Take messages of another replica; return those for it."""
        return self.group.exchange(request)

    def handle_hello(self, request):
        """Return the reply to a replica that wants to join its group."""
        return self.joiner.answer_hello(request)

    def handle_read(self, request):
        """Return the newest plan if a quorum confirms that this replica leads."""
        if not self.group.read_barrier():
            return ReadRoutesReply(False, 0, b"")
        state = self.machine.state
        return ReadRoutesReply(True, state.version, state.document)

    def read(self):
        """Return Ok(document of the newest plan, b'' for none) or Err(Refusal)."""
        self.add_proposal_addresses()
        deadline = self.node.clock.now() + READ_TIMEOUT_MS
        for address in self.client.addresses(GROUP):
            remaining_ms = deadline - self.node.clock.now()
            if remaining_ms <= 0:
                break
            timeout_ms = min(remaining_ms, READ_CALL_TIMEOUT_MS)
            reply = self.ask_for_plan(address, timeout_ms)
            if reply is not None and reply.confirmed:
                return Ok(zlib.decompress(reply.document) if reply.document else b"")
        return Err(no_quorum_refusal(GROUP, False))

    def ask_for_plan(self, address, timeout_ms):
        """Return the `ReadRoutesReply` of one control VM, or None.

        A replica without a vote may not hear who leads, so any may be asked.
        """
        if address == self.node.settings.consensus:
            return self.handle_read(ReadRoutes())
        result = self.client.call(address, ReadRoutes(), timeout_ms)
        return result.ok_value if isinstance(result, Ok) else None


def rewrite_journal(open_disk):
    """Return the journal on a disk that failed, rewritten and synced.

    After a failed sync, data may be readable although it is not durable yet. The files
    are closed if it can't be rewritten, such as on a disk that is still full.
    """
    with contextlib.ExitStack() as stack:
        disk = open_disk()
        stack.callback(disk.close)
        journal = Journal(disk)
        saved = journal.saved
        journal.rewrite(
            saved.snapshot, saved.term, saved.voted_for, saved.log, saved.commit
        )
        stack.pop_all()
    return journal
