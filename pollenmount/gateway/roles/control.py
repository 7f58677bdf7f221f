"""A control VM: holds the log, receives heartbeats and publishes changes to members."""

from pathlib import Path

from pollenmount import task
from pollenmount.accounts.ledger import Ledger
from pollenmount.bridge.worker import NativeWorker
from pollenmount.consensus.disk import Disk
from pollenmount.fleet.client import LinkClient
from pollenmount.fleet.evidence_store import EvidenceStore
from pollenmount.fleet.server import LinkServer
from pollenmount.gateway.control import ControlApi, DirectoryApi
from pollenmount.gateway.routes_log import RoutesLog
from pollenmount.last_requests import answer_last_requests, end_last_requests
from pollenmount.memory.limits import SPARE_SLOTS
from pollenmount.plugin import register

__all__ = ["ControlRole"]

SWEEP_INTERVAL_MS = 300
EVIDENCE_FOLDER = "evidence"
EVIDENCE_INTERVAL_MS = 500
# A heartbeat may be somewhat late; a target that restarted has missed one.
OVERDUE_HEARTBEATS = 1.5
MISSED_HEARTBEATS = 3.5
STOP_TIMEOUT_MS = 700
POLL_INTERVAL_MS = 20


@register("pollenmount.gateway.roles", "control")
class ControlRole:
    """Builds and stops the parts of a control VM."""

    def __init__(self, node):
        self.node = node
        settings, clock = node.settings, node.clock
        self.log = RoutesLog(node)
        self.evidence = self.open_evidence()
        has_quorum = self.log.has_quorum
        ledger = Ledger(
            clock,
            node.store,
            has_quorum,
            lambda: node.settings.bounds.quota_bounds,
        )
        node.quotas = ledger
        self.server = node.manage(
            LinkServer(settings.links, node.fleet, clock, has_quorum, ledger)
        )
        self.links = node.manage(
            LinkClient(
                node.fleet,
                clock,
                node.member_record,
                tuple,
                node.seed_link_addresses,
                has_quorum,
                ledger,
            )
        )
        node.manage(task.PeriodicTask(self.sweep, SWEEP_INTERVAL_MS))
        node.serve_metrics()
        api = ControlApi(node, self.log, self.server)
        self.operators = node.serve(settings.listen.operators, api.handle)
        if settings.listen.directory:
            node.serve(
                settings.listen.directory,
                DirectoryApi(node).handle,
                spare_slots=SPARE_SLOTS,
            )

    def open_evidence(self):
        """Return the evidence of crashes on disk, loaded before any VM links here."""
        node = self.node
        disk = Disk(Path(node.settings.data_folder) / EVIDENCE_FOLDER)
        # A worker of its own, so that the log does not wait for its writes.
        worker = node.manage(NativeWorker(self.log.loop_executor))
        store = node.manage(EvidenceStore(node.fleet, node.clock, disk, worker.run))
        node.manage(task.PeriodicTask(store.save, EVIDENCE_INTERVAL_MS))
        return store

    def sweep(self):
        """Doubt targets that have missed a heartbeat; several make them silent."""
        heartbeat_ms = self.node.settings.heartbeat_ms
        self.server.targets.doubt_overdue(OVERDUE_HEARTBEATS * heartbeat_ms)
        self.server.targets.sweep(MISSED_HEARTBEATS * heartbeat_ms)

    def stop(self, requested_at):
        """Hand over leadership and finish running calls.

        `requested_at` is when the stop was requested.
        """
        self.node.stopping = True
        deadline = requested_at + STOP_TIMEOUT_MS
        task.sleep(POLL_INTERVAL_MS)
        while self.operators.active and self.node.clock.now() < deadline:
            task.sleep(POLL_INTERVAL_MS)
        task.sleep(STOP_TIMEOUT_MS // 2)
        clock = self.node.clock
        answer_last_requests(
            lambda: self.operators.active, clock, clock.now() + STOP_TIMEOUT_MS
        )
        end_last_requests((self.operators,))
