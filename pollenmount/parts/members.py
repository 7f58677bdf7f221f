"""Builds membership: member tables, heartbeats, reports and plan distribution."""

from pollenmount import task
from pollenmount.members.distribution import FetchPlan, PlanDistributor, PushPlan
from pollenmount.members.heartbeat import Heartbeater
from pollenmount.members.local import LocalMemberTable
from pollenmount.members.messages import FetchRosters, Heartbeat, Pull
from pollenmount.members.remote import RemoteDomainTable
from pollenmount.members.report import Reporter
from pollenmount.members.table import Member, MemberTable
from pollenmount.plugin import register


@register("pollenmount.parts", "members")
def build_member_table(kernel):
    """Return the table of members in the own and in other failure domains."""
    settings = kernel.settings
    heartbeat_ms = settings.heartbeat_ms
    local = LocalMemberTable(
        kernel.clock, heartbeat_ms, lambda: make_own_member(kernel)
    )
    remote = RemoteDomainTable(kernel.clock, heartbeat_ms, settings.failure_domain)
    return MemberTable(kernel.clock, local, remote)


@register("pollenmount.parts", "spread")
def build_plan_distributor(kernel):
    """Return the distributor of accepted plans; it handles the calls for them."""
    distributor = PlanDistributor(
        kernel.get("control_client"),
        kernel.get("members"),
        kernel.get("plans"),
        kernel.settings.heartbeat_ms,
    )
    kernel.register_handler(FetchPlan, distributor.handle_fetch)
    kernel.register_handler(PushPlan, distributor.handle_push)
    return distributor


@register("pollenmount.parts", "heartbeater")
def build_heartbeater(kernel):
    """Return the sender of heartbeats; it handles the calls between members."""
    settings = kernel.settings
    members = kernel.get("members")
    targets = kernel.get("targets")
    heartbeater = Heartbeater(
        kernel.get("control_client"),
        members,
        Reporter(members.local, members.remote, targets.live).report,
        kernel.get("spread"),
        settings.seeds,
        settings.heartbeat_ms,
    )
    kernel.register_handler(Heartbeat, heartbeater.handle_heartbeat)
    kernel.register_handler(Pull, heartbeater.handle_pull)
    kernel.register_handler(FetchRosters, heartbeater.handle_fetch_rosters)
    task.spawn(heartbeater.join)
    kernel.manage(task.PeriodicTask(heartbeater.send_heartbeats, settings.heartbeat_ms))
    return heartbeater


def make_own_member(kernel):
    """Return the description of this node that it sends to other nodes."""
    settings = kernel.settings
    return Member(
        settings.name,
        kernel.incarnation,
        settings.region,
        settings.failure_domain,
        settings.advertised.callers,
        settings.advertised.peers,
        settings.advertised.control,
        kernel.get("plans").number,
        not kernel.is_ready(),
    )
