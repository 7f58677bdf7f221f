"""Counters and histograms, labelled by tenant and class.

Latency buckets have bounds at the latency objectives: 940 ms to the first token and
27 ms between tokens.
"""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client import generate_latest as render

__all__ = ["Metrics", "render"]

FIRST_TOKEN_BUCKETS_S = (
    *(0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 0.9),
    *(0.94, 0.98, 1.1, 1.5, 2.5, 5, 10, 30),
)
TOKEN_GAP_BUCKETS_S = (0.005, 0.01, 0.015, 0.02, 0.025, 0.027, 0.03, 0.04, 0.08, 0.2, 1)
WHOLE_ANSWER_BUCKETS_S = (0.01, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60, 120, 300)
QUEUE_WAIT_BUCKETS_S = (0.001, 0.005, 0.02, 0.1, 0.3, 0.94, 3, 10, 60, 300)
TENANT_CLASS = ("tenant", "class")


class Metrics:
    """All metrics of one node, in a separate registry."""

    def __init__(self):
        registry = CollectorRegistry()
        self.registry = registry
        self.first_token = Histogram(
            "pollenmount_first_token_seconds",
            "Time to the first token or byte of an answer",
            TENANT_CLASS,
            buckets=FIRST_TOKEN_BUCKETS_S,
            registry=registry,
        )
        self.token_gap = Histogram(
            "pollenmount_token_gap_seconds",
            "Time between two chunks of a streamed answer",
            TENANT_CLASS,
            buckets=TOKEN_GAP_BUCKETS_S,
            registry=registry,
        )
        self.whole_answer = Histogram(
            "pollenmount_whole_answer_seconds",
            "Time to the end of an answer",
            TENANT_CLASS,
            buckets=WHOLE_ANSWER_BUCKETS_S,
            registry=registry,
        )
        self.queue_wait = Histogram(
            "pollenmount_queue_wait_seconds",
            "Time spent waiting for admission",
            TENANT_CLASS,
            buckets=QUEUE_WAIT_BUCKETS_S,
            registry=registry,
        )
        self.outcomes = Counter(
            "pollenmount_requests_total",
            "Requests by outcome: answered, or the code of the refusal",
            (*TENANT_CLASS, "outcome"),
            registry=registry,
        )
        self.retries = Counter(
            "pollenmount_retries_total",
            "Further attempts at idempotent requests",
            TENANT_CLASS,
            registry=registry,
        )
        self.served_in = Counter(
            "pollenmount_served_total",
            "Answered requests by the region that ran them",
            ("tenant", "home", "region"),
            registry=registry,
        )
        self.region_bytes = Counter(
            "pollenmount_region_bytes_total",
            "Bytes of requests and answers carried to or from another region",
            ("region",),
            registry=registry,
        )
        self.plan_number = Gauge(
            "pollenmount_plan_number",
            "Number of the plan in force on this node",
            registry=registry,
        )
