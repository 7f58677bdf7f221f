"""Parts that carry requests: admission, upstream connections, attempts."""

from pollenmount.plugin import register
from pollenmount.routing.admit import Admission
from pollenmount.routing.attempt import Attempter
from pollenmount.routing.view import Viewer
from pollenmount.targets.upstream import Upstream


@register("pollenmount.parts", "admission")
def build_admission(kernel):
    """Return the limits of callers."""
    return Admission()


@register("pollenmount.parts", "upstream")
def build_upstream(kernel):
    """Return the connections to targets and peers."""
    return kernel.own(Upstream())


@register("pollenmount.parts", "attempter")
def build_attempter(kernel):
    """Return what runs attempts."""
    settings = kernel.settings
    upstream = kernel.get("upstream")
    return Attempter(upstream, kernel.clock, settings.region, settings.peer_key)


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
