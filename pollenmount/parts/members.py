"""Membership: table of members, heartbeats, summaries of this failure domain."""

from pollenmount import task
from pollenmount.members.heartbeat import FetchPlan, Heartbeat, Heartbeater
from pollenmount.members.summary import summarize
from pollenmount.members.table import Member, MemberTable
from pollenmount.plugin import register


@register("pollenmount.parts", "members")
def build_table(kernel):
    """Return the table of members."""
    return MemberTable(
        kernel.clock, kernel.settings.heartbeat_ms, lambda: describe(kernel)
    )


@register("pollenmount.parts", "heartbeater")
def build_heartbeater(kernel):
    """Return the sender of heartbeats."""
    settings = kernel.settings
    targets = kernel.get("targets")
    heartbeater = Heartbeater(
        kernel.get("control_client"),
        kernel.get("members"),
        kernel.get("plans"),
        settings.seeds,
        lambda: summarize(targets.live(), settings.failure_domain, settings.region),
        settings.heartbeat_ms,
    )
    kernel.handle(Heartbeat, heartbeater.receive)
    kernel.handle(FetchPlan, heartbeater.give_plan)
    kernel.own(task.Task(heartbeater.beat, settings.heartbeat_ms))
    return heartbeater


def describe(kernel):
    """Return this node as other nodes know it."""
    settings = kernel.settings
    return Member(
        settings.name,
        kernel.incarnation,
        settings.region,
        settings.failure_domain,
        settings.listen.callers,
        settings.listen.peers,
        settings.listen.control,
        kernel.get("plans").number,
        not kernel.is_ready(),
    )
