"""Replicated logs: the replicas on this node, and the client for all of them."""

from pollenmount.actions.machine import ActionMachine
from pollenmount.consensus.group import Group, GroupClient, Propose, ProposeReply
from pollenmount.plans.machine import GROUP as PLANS_GROUP
from pollenmount.plans.machine import PlanMachine
from pollenmount.plugin import register


@register("pollenmount.parts", "group_client")
def build_client(kernel):
    """Return the client that finds the leader of a group."""
    return GroupClient(kernel.get("control_client"), kernel.settings.groups)


@register("pollenmount.parts", "local_groups")
def build_local(kernel):
    """Return this node's replicas of the groups it votes in, by name."""
    store = kernel.get("plans")
    groups = {}
    for name, voters in kernel.settings.groups.items():
        if kernel.settings.name != next(iter(voters)):
            continue
        if name == PLANS_GROUP:
            groups[name] = Group(PlanMachine(), lambda m: store.offer(m.current))
        else:
            groups[name] = Group(ActionMachine())

    def propose(request):
        group = groups.get(request.group)
        return group.propose(request) if group else ProposeReply(False, b"", "")

    kernel.handle(Propose, propose)
    return groups
