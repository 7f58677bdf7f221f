"""Builds the metrics of a node."""

from pollenmount.metrics import Metrics
from pollenmount.plugin import register


@register("pollenmount.parts", "metrics")
def build_metrics(kernel):
    """Return the node's metrics."""
    return Metrics()
