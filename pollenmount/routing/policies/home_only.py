"""Policy `home_only`: the least loaded target here; away only if there is none."""

from pollenmount.plugin import register
from pollenmount.routing.policies.base import FAMILY
from pollenmount.routing.policies.two_choices import TwoChoices


@register(FAMILY, "home_only")
class HomeOnly(TwoChoices):
    """Never spills for load."""

    def choose(self, call, options):
        """Return a target of this failure domain if there is one."""
        if options.local:
            options = options._replace(remote=())
        return super().choose(call, options)
