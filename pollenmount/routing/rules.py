"""Who may use what, and where the data of a request may be.

The same checks run where a request enters and where a forwarded one arrives.
"""

from pollenmount.errors import Refusal, RefusalKind
from pollenmount.plans.plan import parse_model_name
from pollenmount.routing.request import ModelRoute, route_regions

__all__ = ["allowed_regions", "check_caller_region", "check_rights"]

ANY_ADAPTER = "*"


def check_caller_region(caller, region):
    """Return a `Refusal` if the caller's data may not be in this region, else None."""
    if region in caller.regions:
        return None
    message = "your data may not enter this region; use an entry VM of /v1/entries"
    return Refusal(RefusalKind.MISDIRECTED, message)


def check_rights(caller, route):
    """Return a `Refusal` if the plan doesn't let the caller use the route."""
    if isinstance(route, ModelRoute):
        allowed = any(may_use_model(use, route) for use in caller.uses)
    else:
        allowed = route.service.name in caller.uses
    if allowed:
        return None
    message = "the plan does not let you use this; ask your operator for it"
    return Refusal(RefusalKind.NOT_ALLOWED, message)


def may_use_model(use, route):
    """Return whether one entry of a caller's `uses` covers the route."""
    granted = parse_model_name(use)
    if granted.name != route.model.name:
        return False
    if granted.version not in ("", route.model.version):
        return False
    return route.adapter == "" or granted.adapter in (ANY_ADAPTER, route.adapter)


def allowed_regions(call):
    """Return the regions where the call may run, its home first."""
    served = route_regions(call.route)
    return tuple(region for region in call.caller.regions if region in served)
