"""Parts common to entry VMs and control VMs, and the main loop of a VM."""

import contextlib
import signal
import traceback
import uuid

from prometheus_client import generate_latest

from pollenmount import task
from pollenmount.api.web import Reply, WebServer, make_app
from pollenmount.clock import Clock
from pollenmount.errors import SettingsError
from pollenmount.fleet.fleet import Fleet
from pollenmount.fleet.records import CONTROL, ENTRY, MemberRecord
from pollenmount.gateway.metrics import GatewayMetrics
from pollenmount.gateway.replies import document_reply
from pollenmount.gateway.settings import load_settings
from pollenmount.gateway.state import STATE_PATH, state_document
from pollenmount.log import get_logger
from pollenmount.loop_monitor import LoopMonitor
from pollenmount.memory.limits import SPARE_SLOTS
from pollenmount.memory.vm import build_budget
from pollenmount.plugin import get_plugin_by_name
from pollenmount.routes.store import RoutesStore

__all__ = ["GatewayNode", "run_gateway"]

ROLES_FAMILY = "pollenmount.gateway.roles"
POLL_INTERVAL_MS = 150
SETTINGS_CHECK_INTERVAL_MS = 1000
MAX_CUT_LINES = 500

logger = get_logger("node")


class GatewayNode:
    """State and clean-up of one VM of either role.

    `stopping` is set once the VM leaves the directory, and `refusing` once it accepts
    no new requests. `calls` are the `CallResponder`s of the running calls. `quotas` are
    the `Quotas` of an entry VM, or the `Ledger` of a control VM.
    """

    def __init__(self, settings, dialect, clock=None):
        self.settings = settings
        self.dialect = dialect
        self.clock = clock or Clock()
        self.incarnation = uuid.uuid4().hex
        self.started_at = self.clock.wall_time()
        self.stopping = False
        self.refusing = False
        self.last_record = None
        self.sequence = 0
        self.calls = set()
        self.quotas = None
        self.stack = contextlib.ExitStack()
        self.metrics = GatewayMetrics()
        self.loop_monitor = self.manage(
            LoopMonitor(self.clock, self.metrics.loop_delay.observe)
        )
        self.memory = build_budget(
            settings, self.clock, self.metrics.registry, self.manage
        )
        self.store = RoutesStore(dialect.read_plan)
        self.fleet = Fleet(
            self.clock, self.store, settings.failure_domains, settings.is_control
        )
        self.fleet.freshness.read_delay_ms = self.loop_monitor.read_delay_ms

    def manage(self, closeable):
        """Register `closeable` to be closed with the node; return it."""
        self.stack.callback(closeable.close)
        return closeable

    def serve(
        self, address, handle, limits=None, is_refusing=lambda: False, spare_slots=0
    ):
        """Start and return a `WebServer` that calls `handle` for each request.

        It may have `spare_slots` connections beyond the limit of the VM.
        """
        app = make_app(handle, lambda: self.stopping, is_refusing)
        options = {"limits": limits} if limits else {}
        options["on_close"] = self.metrics.count_closed_connection
        budget = self.memory.for_listener()
        options |= {"budget": budget, "spare_slots": spare_slots}
        return self.manage(WebServer(address, app, **options))

    def serve_metrics(self):
        """Serve the metrics if the settings have a port for them."""
        if self.settings.metrics_port:
            address = f"{self.settings.ip}:{self.settings.metrics_port}"
            self.serve(address, self.handle_metrics, spare_slots=SPARE_SLOTS)

    def handle_metrics(self, request):
        """Return the reply to a request for the metrics or the state document."""
        if request.path == STATE_PATH:
            return document_reply(state_document(self))
        self.metrics.plan_version.set(self.store.version)
        kind = ("Content-Type", "text/plain; version=0.0.4")
        return Reply(200, (kind,), [generate_latest(self.metrics.registry)])

    def member_record(self):
        """Return the `MemberRecord` of this VM; each change increments its sequence."""
        settings = self.settings
        is_control = settings.is_control
        record = MemberRecord(
            settings.name,
            self.incarnation,
            self.started_at,
            self.sequence,
            CONTROL if is_control else ENTRY,
            settings.region,
            settings.failure_domain,
            settings.listen.callers,
            "" if is_control else settings.hops,
            settings.links if is_control else "",
            settings.consensus if is_control else "",
            self.store.version,
            self.is_ready(),
            self.stopping,
            self.has_paths(),
        )
        if record != self.last_record:
            self.sequence += 1
            record = record._replace(sequence=self.sequence)
            self.last_record = record
        return record

    def seed_link_addresses(self):
        """Return the link addresses of the control VMs in the current settings."""
        settings = self.settings
        return [f"{ip}:{settings.last_port}" for ip in settings.peer_ips()]

    def is_ready(self):
        """Return whether the directory may send callers to this VM."""
        return not self.stopping and self.store.plan is not None

    def has_paths(self):
        """Return whether this VM reaches any target of its region, if it needs to."""
        return True

    def cut_calls(self):
        """Log the calls that end with this process; return their number."""
        running = [*self.calls]
        for call in running[:MAX_CUT_LINES]:
            call.cut()
        return len(running)

    def close(self):
        """Close all registered parts, in reverse order."""
        self.stack.close()


def run_gateway(settings, dialect, path, writer):
    """Run one VM until SIGTERM or SIGINT; return 0 after an orderly stop.

    The settings file at `path` is read again on SIGHUP and once a second. `writer` is
    the `LineWriter` of the logs.
    """
    clock = Clock()
    signals = Signals(clock)
    role = "control" if settings.is_control else "entry"
    node = GatewayNode(settings, dialect, clock)
    node.metrics.dropped_lines.set_function(lambda: writer.dropped)
    reloader = SettingsReloader(node, path)
    with contextlib.closing(node), log_crash(node):
        instance = get_plugin_by_name(ROLES_FAMILY, role)(node)
        logger.info("started", extra={"incarnation": node.incarnation, "role": role})
        while signals.stop_requested_at is None:
            task.run_logged(reloader.check, signals.take_reload())
            task.sleep(POLL_INTERVAL_MS)
        logger.info("stopping")
        instance.stop(signals.stop_requested_at)
        logger.info("stopped", extra={"cut": node.cut_calls()})
    return 0


@contextlib.contextmanager
def log_crash(node):
    """Log an exception that ends the process, and the calls that it cuts."""
    try:
        yield
    except BaseException as error:
        frames = traceback.format_tb(error.__traceback__)
        fields = {"error": type(error).__name__, "frames": frames}
        logger.critical("crashed", extra={**fields, "cut": node.cut_calls()})
        raise


class Signals:
    """Records the signals that this process receives.

    `stop_requested_at` is the time of the first signal that asked for a stop, by
    `clock`. The platform's grace period counts from the signal, not from when the main
    loop notices it.
    """

    def __init__(self, clock):
        self.clock = clock
        self.stop_requested_at = None
        self.reload_requested = False
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            signal.signal(number, self.handle)

    def handle(self, number, frame):
        """Record a signal."""
        if number == signal.SIGHUP:
            self.reload_requested = True
        elif self.stop_requested_at is None:
            self.stop_requested_at = self.clock.now()

    def take_reload(self):
        """Return whether a reload was requested since the last call."""
        reload_requested, self.reload_requested = self.reload_requested, False
        return reload_requested


class SettingsReloader:
    """Applies changes of the settings file at run time: seeds and bounds.

    All other settings take effect at the next start.
    """

    def __init__(self, node, path):
        self.node = node
        self.path = path
        self.last_checked_at = node.clock.now()

    def check(self, reload_requested):
        """Reload the file if requested, or if the check interval has passed."""
        now = self.node.clock.now()
        if (
            not reload_requested
            and now - self.last_checked_at < SETTINGS_CHECK_INTERVAL_MS
        ):
            return
        self.last_checked_at = now
        try:
            settings = load_settings(self.path)
        except SettingsError as error:
            logger.error("settings reload failed", extra={"problem": str(error)})
            return
        self.apply(settings)

    def apply(self, settings):
        """Apply new settings if any differ."""
        before = self.node.settings
        changed = before._replace(seeds=settings.seeds, bounds=settings.bounds)
        if changed != before:
            self.node.settings = changed
            logger.info("settings reloaded", extra={"seeds": list(changed.seeds)})
