"""An entry VM: serves callers and hops, with state that control VMs publish."""

from pollenmount import task
from pollenmount.accounts.quotas import Quotas
from pollenmount.api.connection import ConnectionLimits
from pollenmount.circuit_breakers import CircuitBreakers
from pollenmount.crashes.probe import CrashProbe
from pollenmount.fleet.client import LinkClient
from pollenmount.fleet.messages import TargetGone
from pollenmount.gateway.attempt import Sender
from pollenmount.gateway.cache import PrefixCacheTracker
from pollenmount.gateway.callers import CallersApi, HopsApi
from pollenmount.gateway.choose import make_chooser
from pollenmount.gateway.crash_guard import CrashGuard
from pollenmount.gateway.dispatch import Dispatcher
from pollenmount.gateway.lag import LagTracker
from pollenmount.gateway.load import LoadTracker
from pollenmount.gateway.lost_regions import RECORD_INTERVAL_MS
from pollenmount.gateway.rate_limiter import RateLimiter
from pollenmount.gateway.refusal_limits import RefusalLimits
from pollenmount.gateway.replies import empty_reply
from pollenmount.gateway.retry_policy import make_budget
from pollenmount.gateway.routing_context import RoutingContext
from pollenmount.gateway.stream_resumption import StreamResumption
from pollenmount.gateway.target_notices import TargetNotices
from pollenmount.gateway.target_paths import TargetPaths
from pollenmount.gateway.target_pauses import TargetPauses
from pollenmount.last_requests import answer_last_requests, end_last_requests
from pollenmount.log import get_logger
from pollenmount.memory.limits import SPARE_SLOTS
from pollenmount.plugin import register
from pollenmount.running_clock import READ_INTERVAL_MS, RunningClock
from pollenmount.wire.pool import ConnectionPool

__all__ = ["EntryRole"]

SWEEP_INTERVAL_MS = 500
GUARD_INTERVAL_MS = 250
MS_PER_S = 1000
POLL_INTERVAL_MS = 20
# Callers with an old directory entry still connect for a while. Requests accepted later
# than three eighths of the grace period must not be cut off at its end, so the VM
# refuses requests slightly earlier.
REFUSE_AFTER_SHARE = 0.36
STOP_AFTER_SHARE = 0.93
CLOSE_AFTER_SHARE = 0.97
CLOSE_DELAY_MS = 200
READY_DELAY_MS = 300
NOT_READY = 503

logger = get_logger("entry")


@register("pollenmount.gateway.roles", "entry")
class EntryRole:
    """Builds and stops the parts of an entry VM."""

    def __init__(self, node):
        self.node = node
        settings, clock = node.settings, node.clock
        self.loads = LoadTracker(self.reported_loads)
        buffer_bytes = node.memory.limits.socket_buffer_bytes
        pool = node.manage(ConnectionPool(clock, receive_buffer_bytes=buffer_bytes))
        pauses = TargetPauses(clock)
        refusals = RefusalLimits(clock)
        paths = TargetPaths(settings, node.fleet, clock, pool, node.metrics)
        self.context = RoutingContext(
            settings,
            clock,
            node.fleet,
            node.store,
            loads=self.loads,
            cache=PrefixCacheTracker(clock),
            breakers=CircuitBreakers(clock),
            rates=RateLimiter(clock, settings.name),
            pool=pool,
            lags=LagTracker(clock),
            pauses=pauses,
            refusals=refusals,
            paths=paths,
            notices=TargetNotices(
                node.fleet, pool, paths, pauses, refusals, node.metrics
            ),
            resumption=StreamResumption(node.fleet, clock),
            guard=CrashGuard(
                *(node.fleet, clock, node.metrics),
                *(CrashProbe(pool), paths, settings.name),
            ),
        )
        node.quotas = node.fleet.quotas = Quotas(
            clock,
            node.store,
            node.fleet.entry_counter.share,
            lambda: node.settings.bounds.quota_bounds,
            node.metrics.count_quota_cost,
            get_stall=node.loop_monitor.last_stall,
            get_read_delay_ms=node.loop_monitor.read_delay_ms,
        )
        running = RunningClock(clock)
        node.manage(task.PeriodicTask(running.now, READ_INTERVAL_MS))
        node.budget = make_budget(settings, node.fleet, clock, running)
        has_ended = self.context.guard.has_ended
        sender = Sender(pool, node.dialect, clock, has_ended)
        chooser = make_chooser(settings.chooser)
        node.dispatcher = Dispatcher(self.context, chooser, sender, node.budget, clock)
        self.links = node.manage(
            LinkClient(
                node.fleet,
                clock,
                node.member_record,
                self.loads.report,
                node.seed_link_addresses,
                quotas=node.quotas,
            )
        )
        node.manage(task.PeriodicTask(pool.sweep, SWEEP_INTERVAL_MS))
        node.manage(
            task.PeriodicTask(self.context.lost_regions.record, RECORD_INTERVAL_MS)
        )
        node.manage(task.PeriodicTask(self.context.guard.sweep, GUARD_INTERVAL_MS))
        node.manage(task.PeriodicTask(paths.sweep, GUARD_INTERVAL_MS))
        node.is_ready = self.is_ready
        node.has_paths = lambda: not paths.is_lost
        self.plan_received_at = None
        node.fleet.listeners.append(self.forget_removed_target)
        node.serve_metrics()
        node.serve(
            settings.listen.readiness, self.handle_readiness, spare_slots=SPARE_SLOTS
        )
        # A hop that is refused goes to another VM at once.
        self.hops = node.serve(
            settings.hops, HopsApi(node).handle, is_refusing=lambda: node.stopping
        )
        self.callers = node.serve(
            settings.listen.callers,
            CallersApi(node).handle,
            self.connection_limits,
            lambda: node.refusing,
        )

    def forget_removed_target(self, message, source):
        """Drop the state of a target that has left."""
        if isinstance(message, TargetGone):
            self.context.forget(message.id)

    def connection_limits(self):
        """Return the `ConnectionLimits` for callers in the plan."""
        limits = self.node.store.limits
        return ConnectionLimits(
            limits.idle_ms / MS_PER_S,
            limits.head_ms / MS_PER_S,
            limits.head_bytes,
            limits.head_bytes,
        )

    def reported_loads(self):
        """Return the summed loads by target of the nearest control VM that sent any."""
        for address in self.links.addresses:
            if address in self.node.fleet.loads:
                return self.node.fleet.loads[address]
        return {}

    def is_ready(self):
        """Return whether this VM has had a plan and targets for a short while."""
        node = self.node
        if node.stopping or node.store.plan is None or not self.knows_targets():
            return False
        if self.plan_received_at is None:
            self.plan_received_at = node.clock.now()
        return node.clock.now() - self.plan_received_at >= READY_DELAY_MS

    def knows_targets(self):
        """Return whether this VM knows targets, of every service after a short while.

        After a start of the whole fleet targets are reported one by one.
        """
        fleet = self.node.fleet
        if fleet.capacities is None:
            return False
        known = {target.record.service for target in fleet.targets.by_id.values()}
        known |= {service for _, service in fleet.capacities}
        return bool(known) and (
            not self.context.is_learning()
            or known.issuperset(self.node.store.plan.services)
        )

    def handle_readiness(self, request):
        """Return the reply to a readiness check."""
        if not self.node.dialect.is_readiness(request.method, request.path):
            return empty_reply(404)
        return empty_reply(200 if self.is_ready() else NOT_READY)

    def stop(self, requested_at):
        """Leave the directory, then refuse new requests, then finish running ones.

        What has not been sent to a target by then is refused, too: requests of which
        the body is still to come, and calls that wait. What has not ended at the end of
        the grace period gets a response that says so. `requested_at` is when the stop
        was requested.
        """
        node = self.node
        node.stopping = True
        task.run_logged(self.links.send_heartbeats)
        grace_ms = node.settings.bounds.stop_grace_s * MS_PER_S
        stop_at = requested_at + STOP_AFTER_SHARE * grace_ms
        self.hops.refuse_unread()
        self.wait_while(requested_at + REFUSE_AFTER_SHARE * grace_ms, lambda: True)
        node.refusing = True
        node.dispatcher.stop_at = stop_at
        logger.info("refusing", extra={"unread": self.callers.refuse_unread()})
        self.wait_while(stop_at, self.is_busy)
        task.sleep(CLOSE_DELAY_MS)
        close_at = requested_at + CLOSE_AFTER_SHARE * grace_ms
        answer_last_requests(self.is_busy, node.clock, close_at)
        end_last_requests((self.callers, self.hops))

    def is_busy(self):
        """Return whether requests are running."""
        return bool(self.callers.active or self.hops.active)

    def wait_while(self, deadline, condition):
        """Wait while `condition()` holds, until `deadline` by the clock at most."""
        while self.node.clock.now() < deadline and condition():
            task.sleep(POLL_INTERVAL_MS)
