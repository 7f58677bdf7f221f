"""Actions: what runs them, and on VMs that hold their log, what moves its time."""

from pollenmount import task
from pollenmount.actions.messages import Holder
from pollenmount.actions.runner import ActionRunner, group_name
from pollenmount.actions.settler import Settler
from pollenmount.actions.ticker import TICK_INTERVAL_MS, Ticker
from pollenmount.plugin import register


@register("pollenmount.parts", "actions")
def build_actions(kernel):
    """Return what runs actions at most once."""
    groups = kernel.get("group_client")
    settler = Settler(groups)
    kernel.manage(settler.start())
    holder = Holder(kernel.settings.name, kernel.incarnation)
    return ActionRunner(groups, kernel.clock, holder, settler)


@register("pollenmount.parts", "action_ticker")
def build_ticker(kernel):
    """Return what moves the time of this region's log, or None without a replica."""
    name = group_name(kernel.settings.region)
    group = kernel.get("local_groups").get(name)
    if group is None:
        return None
    client = kernel.get("group_client")
    ticker = Ticker(client, name, group.machine, kernel.clock)
    kernel.manage(task.PeriodicTask(ticker.step, TICK_INTERVAL_MS))
    return ticker
