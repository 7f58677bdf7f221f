"""Builds the table of targets in a node's failure domain."""

from pollenmount import task
from pollenmount.plugin import register
from pollenmount.targets.table import TargetTable

SWEEP_INTERVAL_MS = 500


@register("pollenmount.parts", "targets")
def build_target_table(kernel):
    """Return the table of targets; expired entries are removed at intervals."""
    table = TargetTable(
        kernel.clock,
        kernel.settings.target_ttl_ms,
        kernel.get("tracker").in_flight,
    )
    kernel.manage(task.PeriodicTask(table.sweep, SWEEP_INTERVAL_MS))
    return table
