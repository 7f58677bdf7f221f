"""Metrics: histograms by tenant and class, with bounds at the latency objectives."""

from prometheus_client.parser import text_string_to_metric_families

from pollenmount.metrics import Metrics, render

LATENCIES = ("first_token", "token_gap", "whole_answer", "queue_wait")


def parse_metrics(metrics):
    text = render(metrics.registry).decode()
    return {family.name: family for family in text_string_to_metric_families(text)}


def test_latencies_are_split_by_tenant_and_class():
    metrics = Metrics()
    for name in LATENCIES:
        getattr(metrics, name).labels("aid", "interactive").observe(0.02)
    metric_families = parse_metrics(metrics)
    for name in LATENCIES:
        samples = metric_families[f"pollenmount_{name}_seconds"].samples
        counts = [s for s in samples if s.name.endswith("_count")]
        labels = {"tenant": "aid", "class": "interactive"}
        assert [(s.labels, s.value) for s in counts] == [(labels, 1)]


def test_buckets_resolve_the_latency_objectives():
    metrics = Metrics()
    metrics.first_token.labels("aid", "interactive").observe(0.94)
    metrics.token_gap.labels("aid", "interactive").observe(0.027)
    metric_families = parse_metrics(metrics)
    for name, limit in (("first_token", "0.94"), ("token_gap", "0.027")):
        samples = metric_families[f"pollenmount_{name}_seconds"].samples
        buckets = {s.labels["le"]: s.value for s in samples if "le" in s.labels}
        below = max(float(le) for le in buckets if float(le) < float(limit))
        assert (buckets[str(below)], buckets[limit]) == (0, 1)
