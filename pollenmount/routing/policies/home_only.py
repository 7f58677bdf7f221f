"""Policy `home_only`: the less loaded of two random local targets.

Other failure domains are used only if there is no local target.
"""

from pollenmount.plugin import register
from pollenmount.routing.policies.base import FAMILY
from pollenmount.routing.policies.two_choices import TwoChoices


@register(FAMILY, "home_only")
class HomeOnly(TwoChoices):
    """Spills to other failure domains only without a local target, never for load."""

    def choose(self, call, options):
        """Return a target of this failure domain if there is one."""
        if options.local:
            options = options._replace(remote=())
        return super().choose(call, options)
