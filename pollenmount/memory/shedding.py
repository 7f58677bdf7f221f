"""Reports what a VM sheds: a metric, and a bounded number of log lines."""

from prometheus_client import Counter, Gauge

from pollenmount.log import get_logger

__all__ = ["ShedReport"]

MAX_LINES_PER_INTERVAL = 20
INTERVAL_MS = 1000

logger = get_logger("memory")


class ShedReport:
    """Counts the connections that are shed, in a registry of metrics, and logs them."""

    def __init__(self, registry, clock):
        self.clock = clock
        self.interval_began_at = clock.now()
        self.lines = 0
        self.counter = Counter(
            "pollenmount_shed_total",
            "Connections ended for lack of memory or descriptors, by what they did",
            ("phase",),
            registry=registry,
        )
        self.held = Gauge(
            "pollenmount_held_bytes",
            "Bytes of bodies and responses that are held, and of buffers of sockets",
            registry=registry,
        )
        self.limit = Gauge(
            "pollenmount_held_bytes_limit",
            "Bytes of bodies, responses and buffers of sockets that may be held",
            registry=registry,
        )

    def show(self, budget):
        """Show what a budget holds, and its limit."""
        self.held.set_function(lambda: budget.used + budget.queued)
        self.limit.set_function(lambda: budget.limit)

    def record(self, holding):
        """Count and log a connection that is shed."""
        self.counter.labels(str(holding.phase)).inc()
        now = self.clock.now()
        if now - self.interval_began_at >= INTERVAL_MS:
            self.interval_began_at, self.lines = now, 0
        self.lines += 1
        if self.lines > MAX_LINES_PER_INTERVAL:
            return
        fields = {
            "phase": holding.phase,
            "peer": holding.address,
            "held_bytes": holding.held,
            "queued_bytes": holding.queued,
            "silent_ms": now - holding.progress_at,
        }
        logger.warning("shed", extra=fields)
