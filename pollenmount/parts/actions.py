"""Builds the runner of actions, and the ticker on VMs that replicate their log."""

from pollenmount import task
from pollenmount.actions.messages import Holder
from pollenmount.actions.runner import ActionRunner, group_name
from pollenmount.actions.settler import Settler
from pollenmount.actions.ticker import TICK_INTERVAL_MS, Ticker
from pollenmount.plugin import register


@register("pollenmount.parts", "actions")
def build_actions(kernel):
    """Return the runner that runs each action at most once."""
    groups = kernel.get("group_client")
    settler = Settler(groups)
    kernel.manage(settler.start())
    holder = Holder(kernel.settings.name, kernel.incarnation)
    return ActionRunner(groups, kernel.clock, holder, settler)


@register("pollenmount.parts", "action_ticker")
def build_ticker(kernel):
    """Return the ticker that advances log time, or None without a local replica."""
    name = group_name(kernel.settings.region)
    group = kernel.get("local_groups").get(name)
    if group is None:
        return None
    client = kernel.get("group_client")
    ticker = Ticker(client, name, group.machine, kernel.clock)
    kernel.manage(task.PeriodicTask(ticker.step, TICK_INTERVAL_MS))
    return ticker
