"""Builds the evidence on requests that crash targets, shared by all members."""

from pollenmount import task
from pollenmount.members.crash_evidence import CrashEvidence
from pollenmount.members.crash_sharing import SHARE_INTERVAL_MS, CrashSharer
from pollenmount.members.messages import ShareCrashes
from pollenmount.plugin import register


@register("pollenmount.parts", "crash_evidence")
def build_crash_evidence(kernel):
    """Return the evidence of this VM."""
    return CrashEvidence(kernel.clock)


@register("pollenmount.parts", "crash_sharer")
def build_crash_sharer(kernel):
    """Return what shares the evidence; it handles the calls of other members."""
    sharer = CrashSharer(
        kernel.get("control_client"),
        kernel.get("members"),
        kernel.get("crash_evidence"),
        kernel.settings.heartbeat_ms,
    )
    kernel.register_handler(ShareCrashes, sharer.handle)
    kernel.manage(task.PeriodicTask(sharer.share, SHARE_INTERVAL_MS))
    return sharer
