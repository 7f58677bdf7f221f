"""What a VM observes of a target itself, and tells all other VMs.

Unlike that a VM is there, it stays true, so any VM may pass it on: an entry VM tells
the control VMs that it is linked to, and each of those tells the others.
"""

from pollenmount.fleet.messages import (
    PartsServed,
    PromptBroke,
    RequestsAnswered,
    RequestsCrashed,
    TargetLeaving,
    TargetLimited,
    TargetRefused,
    TrialBegan,
)

__all__ = ["OBSERVATIONS", "RESPONSE"]

# Source of what this VM observed itself.
RESPONSE = "response"
OBSERVATIONS = (
    TargetLeaving,
    TargetLimited,
    TargetRefused,
    PromptBroke,
    PartsServed,
    RequestsCrashed,
    RequestsAnswered,
    TrialBegan,
)
