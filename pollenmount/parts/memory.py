"""Builds the memory budget that the listeners of a node share."""

from pollenmount.memory.vm import build_budget
from pollenmount.plugin import register


@register("pollenmount.parts", "memory")
def build_memory(kernel):
    """Return the budget for the memory and the descriptors in the settings."""
    registry = kernel.get("metrics").registry
    return build_budget(kernel.settings, kernel.clock, registry, kernel.manage)
