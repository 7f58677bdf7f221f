"""Builds the request path: admission, queue, router, attempts and upstream."""

from pollenmount import task
from pollenmount.circuit_breakers import BreakerTiming, CircuitBreakers
from pollenmount.crashes.probe import CrashProbe
from pollenmount.plugin import get_plugin_by_name, register
from pollenmount.retry_budget import RetryBudget
from pollenmount.routing.admit import Admission, get_share
from pollenmount.routing.attempt import Attempter
from pollenmount.routing.crash_guard import CrashGuard
from pollenmount.routing.policies.base import FAMILY
from pollenmount.routing.queue import CallQueue
from pollenmount.routing.router import Router
from pollenmount.routing.tracker import Tracker
from pollenmount.routing.view import Viewer
from pollenmount.running_clock import READ_INTERVAL_MS, RunningClock
from pollenmount.targets.upstream import Upstream

QUEUE_WAKE_INTERVAL_MS = 50
GUARD_INTERVAL_MS = 250
# Each probe reports its outcome, so the bound of its duration is rarely reached.
BREAKER_TIMING = BreakerTiming(500, 10_000, 10_000, 0.3)


class Signal:
    """One-shot event for one waiting task; sending it again has no effect."""

    def __init__(self):
        self.event = task.Event()

    def send(self):
        """Wake the waiting task."""
        if not self.event.ready():
            self.event.send()

    def wait(self):
        """Wait until the signal is sent."""
        self.event.wait()


@register("pollenmount.parts", "running_clock")
def build_running_clock(kernel):
    """Return the clock of the time in which this process ran."""
    running = RunningClock(kernel.clock)
    kernel.manage(task.PeriodicTask(running.now, READ_INTERVAL_MS))
    return running


@register("pollenmount.parts", "admission")
def build_admission(kernel):
    """Return the admission control that enforces this VM's share of the limits."""
    members = kernel.get("members")

    def share(caller):
        return get_share(caller, kernel.settings.region, members.live())

    return Admission(kernel.get("running_clock"), share)


@register("pollenmount.parts", "upstream")
def build_upstream(kernel):
    """Return the HTTP client for calls to targets and to other entry VMs."""
    buffer_bytes = kernel.get("memory").limits.socket_buffer_bytes
    return kernel.manage(Upstream(kernel.clock, buffer_bytes))


@register("pollenmount.parts", "tracker")
def build_tracker(kernel):
    """Return the tracker of this node's own measurements."""
    return Tracker(kernel.clock)


@register("pollenmount.parts", "health")
def build_health(kernel):
    """Return the circuit breakers of targets and entry VMs."""
    return CircuitBreakers(kernel.clock, BREAKER_TIMING)


@register("pollenmount.parts", "policy")
def build_policy(kernel):
    """Return the routing policy named in the settings."""
    policy = get_plugin_by_name(FAMILY, kernel.settings.policy)
    return policy(kernel.get("tracker"), kernel.get("targets").cache)


@register("pollenmount.parts", "attempter")
def build_attempter(kernel):
    """Return the sender of single attempts."""
    settings = kernel.settings
    return Attempter(
        kernel.get("upstream"),
        kernel.clock,
        settings.region,
        settings.peer_key,
        kernel.get("tracker"),
        kernel.get("health"),
    )


@register("pollenmount.parts", "crash_guard")
def build_crash_guard(kernel):
    """Return the guard against requests that crash targets; it looks at intervals."""
    live = kernel.get("upstream").live
    guard = CrashGuard(
        kernel.get("targets"),
        kernel.get("crash_evidence"),
        kernel.clock,
        CrashProbe(live),
        kernel.settings.failure_domain,
    )
    for sweep in (live.sweep, guard.sweep):
        kernel.manage(task.PeriodicTask(sweep, GUARD_INTERVAL_MS))
    return guard


@register("pollenmount.parts", "call_queue")
def build_call_queue(kernel):
    """Return the queue of waiting calls, which are woken at regular intervals."""
    queue = CallQueue(kernel.clock, Signal)
    kernel.manage(task.PeriodicTask(queue.wake, QUEUE_WAKE_INTERVAL_MS))
    return queue


@register("pollenmount.parts", "router")
def build_router(kernel):
    """Return the router, which queues, sends and retries calls."""
    return Router(
        kernel.get("viewer"),
        kernel.get("policy"),
        kernel.get("attempter"),
        kernel.get("health"),
        RetryBudget(kernel.clock, running=kernel.get("running_clock")),
        kernel.get("call_queue"),
        task.sleep,
        kernel.get("crash_guard"),
    )


@register("pollenmount.parts", "viewer")
def build_viewer(kernel):
    """Return the viewer, which takes the snapshots that decisions are based on."""
    return Viewer(
        kernel.settings,
        kernel.clock,
        kernel.get("plans"),
        kernel.get("targets"),
        kernel.get("members"),
    )
