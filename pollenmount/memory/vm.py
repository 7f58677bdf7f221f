"""Builds the memory budget of a VM from its settings."""

from pollenmount.memory.budget import MemoryBudget
from pollenmount.memory.limits import derive_limits
from pollenmount.memory.monitor import MemoryMonitor, return_freed_memory
from pollenmount.memory.shedding import ShedReport

__all__ = ["build_budget"]


def build_budget(settings, clock, registry, manage):
    """Return the `MemoryBudget` for the settings of a VM.

    If its memory is known, it is measured from now on; `manage` closes the monitor with
    the VM.
    """
    limits = derive_limits(settings.memory_mb, settings.max_descriptors)
    report = ShedReport(registry, clock)
    budget = MemoryBudget(clock, limits, report.record)
    report.show(budget)
    if budget.is_known:
        return_freed_memory()
        manage(MemoryMonitor(budget))
    return budget
