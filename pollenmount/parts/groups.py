"""Builds this node's replicas of replicated logs, and the client for all logs."""

from pathlib import Path

from pollenmount.actions.machine import ActionMachine
from pollenmount.bridge.worker import NativeWorker
from pollenmount.consensus.calls import (
    Exchange,
    Hello,
    HelloReply,
    Propose,
    ProposeReply,
)
from pollenmount.consensus.client import GroupClient
from pollenmount.consensus.disk import Disk
from pollenmount.consensus.group import Group
from pollenmount.consensus.joining import Joiner
from pollenmount.consensus.journal import Journal
from pollenmount.consensus.messages import Replica
from pollenmount.plans.machine import GROUP as PLANS_GROUP
from pollenmount.plans.machine import PlanMachine
from pollenmount.plugin import register

GROUPS_FOLDER = "groups"


@register("pollenmount.parts", "group_client")
def build_group_client(kernel):
    """Return the client that sends commands to the leader of a group."""
    settings = kernel.settings
    return GroupClient(
        kernel.get("control_client"),
        settings.groups,
        kernel.clock,
        kernel.get("local_groups"),
        settings.advertised.control,
    )


@register("pollenmount.parts", "local_groups")
def build_local_groups(kernel):
    """Return this node's replicas by group: as a voter, or for plans as a spare."""
    settings = kernel.settings
    groups = {}
    joiners = {}
    for name, voters in settings.groups.items():
        allows_spares = name == PLANS_GROUP
        if settings.data_folder and (allows_spares or settings.name in voters):
            groups[name] = build_group(kernel, name)
            joiner = Joiner(groups[name], kernel.get("control_client"), voters)
            joiners[name] = kernel.manage(joiner)
    register_handlers(kernel, groups, joiners)
    return groups


def build_group(kernel, name):
    """Return the replica of one group, restored from its folder."""
    settings = kernel.settings
    folder = Path(settings.data_folder) / GROUPS_FOLDER / name.replace("/", "-")
    journal = Journal(Disk(folder))
    me = Replica(
        settings.name,
        journal.saved.incarnation,
        settings.failure_domain,
        settings.advertised.control,
    )
    machine, on_apply = build_state_machine(kernel, name)
    worker = kernel.manage(NativeWorker(kernel.get("hub")))
    group = Group(
        name,
        me,
        machine,
        journal,
        worker,
        kernel.get("control_client"),
        kernel.clock,
        on_apply=on_apply,
        stopping=lambda: kernel.stopping,
    )
    return kernel.manage(group)


def build_state_machine(kernel, name):
    """Return the state machine of a group, and the callback for its changes."""
    if name == PLANS_GROUP:
        store = kernel.get("plans")
        return PlanMachine(), lambda machine: store.put_if_newer(machine.current)
    return ActionMachine(), lambda machine: None


def register_handlers(kernel, groups, joiners):
    """Register the handlers of calls from other nodes to the local replicas."""

    def propose(request):
        group = groups.get(request.group)
        return group.propose(request) if group else ProposeReply(False, b"", "")

    def exchange(request):
        group = groups.get(request.group)
        if group is None:
            return Exchange(request.group, request.to, request.sender, ())
        return group.exchange(request)

    def hello(request):
        joiner = joiners.get(request.group)
        return joiner.answer_hello(request) if joiner else HelloReply(None, False)

    kernel.register_handler(Propose, propose)
    kernel.register_handler(Exchange, exchange)
    kernel.register_handler(Hello, hello)
