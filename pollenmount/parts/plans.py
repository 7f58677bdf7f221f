"""Builds the store of the plan in force on a node."""

from pollenmount.plans.store import PlanStore
from pollenmount.plugin import register


@register("pollenmount.parts", "plans")
def build_plan_store(kernel):
    """Return the store of the plan in force; a metric has the plan's number."""
    gauge = kernel.get("metrics").plan_number
    return PlanStore(lambda plan: gauge.set(plan.number))
