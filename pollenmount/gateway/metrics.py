"""Prometheus metrics of the gateway."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

from pollenmount.accounts.labels import AccountLabels

__all__ = ["GatewayMetrics"]

DELAY_BUCKETS_S = (0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2, 5)
ELAPSED_BUCKETS_S = (0.02, 0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1, 1.5, 2.5, 5, 10, 15)
MS_PER_S = 1000


class GatewayMetrics:
    """All metrics of one VM, in a separate registry."""

    def __init__(self):
        self.registry = CollectorRegistry()
        self.calls = Counter(
            "pollenmount_calls_total",
            "Calls by route and status; status 0 is a call without a response",
            ("route", "status", "hop"),
            registry=self.registry,
        )
        self.attempts = Counter(
            "pollenmount_attempts_total",
            "Attempts at targets and other regions by service",
            ("service",),
            registry=self.registry,
        )
        self.refusals = Counter(
            "pollenmount_refusals_total",
            "Requests that didn't become a call, by status",
            ("status",),
            registry=self.registry,
        )
        self.call_seconds = Histogram(
            "pollenmount_call_seconds",
            "Time to the end of an answer by route",
            ("route",),
            buckets=ELAPSED_BUCKETS_S,
            registry=self.registry,
        )
        self.targets_leaving = Counter(
            "pollenmount_targets_leaving_total",
            "Targets of which a response to this VM was the first to say they leave",
            ("service",),
            registry=self.registry,
        )
        self.target_pauses = Counter(
            "pollenmount_target_pauses_total",
            "Responses in which a target asked this VM for a pause",
            ("service",),
            registry=self.registry,
        )
        self.target_refusals = Counter(
            "pollenmount_target_refusals_total",
            "Requests of this VM that a target refused for want of room",
            ("service",),
            registry=self.registry,
        )
        self.quarantined = Counter(
            "pollenmount_prompts_refused_total",
            "Calls refused because a part of their prompt is in quarantine",
            ("service",),
            registry=self.registry,
        )
        self.requests_quarantined = Counter(
            "pollenmount_requests_quarantined_total",
            "Calls refused because their request is in quarantine",
            ("service",),
            registry=self.registry,
        )
        self.overload_refusals = Counter(
            "pollenmount_overload_refusals_total",
            "Calls refused because they could not be served in time, by reason",
            ("service", "reason"),
            registry=self.registry,
        )
        self.late_calls = Counter(
            "pollenmount_late_calls_total",
            "Calls sent to a target that missed their objective or their deadline",
            ("service", "missed"),
            registry=self.registry,
        )
        self.account_labels = AccountLabels()
        self.quota_requests = Counter(
            "pollenmount_quota_requests_total",
            "Requests of accounts with a quota: admitted, refused or refunded",
            ("account", "outcome"),
            registry=self.registry,
        )
        self.quota_cost = Counter(
            "pollenmount_quota_cost_total",
            "Cost of requests of accounts with a quota, in the unit of the quota",
            ("account", "outcome"),
            registry=self.registry,
        )
        self.plan_version = Gauge(
            "pollenmount_plan_version",
            "Version of the plan of routes in force",
            registry=self.registry,
        )
        self.paths_lost = Gauge(
            "pollenmount_paths_lost",
            "Whether this VM can connect to no target of its region (1), or can (0).",
            registry=self.registry,
        )
        self.dropped_lines = Gauge(
            "pollenmount_log_lines_dropped",
            "Log lines dropped since the start, as the output was too slow",
            registry=self.registry,
        )
        self.closed_connections = Counter(
            "pollenmount_connections_closed_total",
            "Connections of callers and other VMs that ended, by reason",
            ("end",),
            registry=self.registry,
        )
        self.loop_delay = Histogram(
            "pollenmount_event_loop_delay_seconds",
            "How late a periodic task of the event loop ran",
            buckets=DELAY_BUCKETS_S,
            registry=self.registry,
        )

    def count_call(self, call, status, outcome, elapsed_ms, is_from_caller):
        """Count a finished call.

        `is_from_caller` is false if another entry VM forwarded it.
        """
        route = call.route.name
        self.calls.labels(route, str(status), str(not is_from_caller)).inc()
        if outcome == "answered":
            self.call_seconds.labels(route).observe(elapsed_ms / MS_PER_S)

    def count_lateness(self, call, progress, now):
        """Count whether a call with a prompt was refused for an overload, or late."""
        if progress.overload:
            reason = progress.overload.reason
            self.overload_refusals.labels(call.service, reason).inc()
        elif call.info.prompt and progress.sends:
            first_at = progress.first_chunk_at or now
            if now >= call.deadline:
                self.late_calls.labels(call.service, "deadline").inc()
            elif 0 < call.route.slo_ms < first_at - call.received_at:
                self.late_calls.labels(call.service, "objective").inc()

    def count_quota_cost(self, account, outcome, cost):
        """Count a request of an account with a quota, and its cost."""
        label = self.account_labels.label(account)
        self.quota_requests.labels(label, outcome).inc()
        self.quota_cost.labels(label, outcome).inc(cost)

    def count_closed_connection(self, end):
        """Count a connection that was closed."""
        self.closed_connections.labels(end).inc()

    def count_refusal(self, error_response):
        """Count a request that was rejected before it became a call."""
        self.refusals.labels(str(error_response.status)).inc()
