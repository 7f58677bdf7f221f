"""Parts that carry requests: admission, upstream connections, attempts."""

from pollenmount import task
from pollenmount.plugin import get_plugin_by_name, register
from pollenmount.routing.admit import Admission, get_share
from pollenmount.routing.attempt import Attempter
from pollenmount.routing.budget import RetryBudget
from pollenmount.routing.health import Health
from pollenmount.routing.policies.base import FAMILY
from pollenmount.routing.queue import CallQueue
from pollenmount.routing.router import Router
from pollenmount.routing.tracker import Tracker
from pollenmount.routing.view import Viewer
from pollenmount.targets.upstream import Upstream

QUEUE_WAKE_INTERVAL_MS = 50


class Signal:
    """Something that one task waits for; sending it twice is the same as once."""

    def __init__(self):
        self.event = task.Event()

    def send(self):
        """Wake the task that waits."""
        if not self.event.ready():
            self.event.send()

    def wait(self):
        """Wait until it is sent."""
        self.event.wait()


@register("pollenmount.parts", "admission")
def build_admission(kernel):
    """Return the limits of callers."""
    members = kernel.get("members")

    def share(caller):
        return get_share(caller, kernel.settings.region, members.live())

    return Admission(kernel.clock, share)


@register("pollenmount.parts", "upstream")
def build_upstream(kernel):
    """Return the connections to targets and peers."""
    return kernel.own(Upstream())


@register("pollenmount.parts", "tracker")
def build_tracker(kernel):
    """Return this node's own measurements."""
    return Tracker(kernel.clock)


@register("pollenmount.parts", "health")
def build_health(kernel):
    """Return the circuit breakers."""
    return Health(kernel.clock)


@register("pollenmount.parts", "policy")
def build_policy(kernel):
    """Return the policy that the settings name."""
    policy = get_plugin_by_name(FAMILY, kernel.settings.policy)
    return policy(kernel.get("tracker"), kernel.get("targets").cache)


@register("pollenmount.parts", "attempter")
def build_attempter(kernel):
    """Return what runs attempts."""
    settings = kernel.settings
    return Attempter(
        kernel.get("upstream"),
        kernel.clock,
        settings.region,
        settings.peer_key,
        kernel.get("tracker"),
        kernel.get("health"),
    )


@register("pollenmount.parts", "call_queue")
def build_call_queue(kernel):
    """Return the calls that wait, woken regularly."""
    queue = CallQueue(kernel.clock, Signal)
    kernel.own(task.Task(queue.wake, QUEUE_WAKE_INTERVAL_MS))
    return queue


@register("pollenmount.parts", "router")
def build_router(kernel):
    """Return what takes calls to their answers."""
    return Router(
        kernel.get("viewer"),
        kernel.get("policy"),
        kernel.get("attempter"),
        kernel.get("health"),
        RetryBudget(),
        kernel.get("call_queue"),
        task.sleep,
    )


@register("pollenmount.parts", "viewer")
def build_viewer(kernel):
    """Return what takes the view that a decision looks at."""
    return Viewer(
        kernel.settings,
        kernel.clock,
        kernel.get("plans"),
        kernel.get("targets"),
        kernel.get("members"),
    )
