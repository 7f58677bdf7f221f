"""Authorization: which routes a caller may use, and in which regions its data may be.

The entry VM and the receiver of a forwarded call run the same checks.
"""

from pollenmount.errors import Refusal, RefusalKind
from pollenmount.plans.plan import parse_model_name
from pollenmount.routing.request import ModelRoute, route_regions

__all__ = ["allowed_regions", "check_caller_region", "check_rights"]

ANY_ADAPTER = "*"


def check_caller_region(caller, region):
    """Return a `Refusal` if the caller's data may not enter this region, else None."""
    if region in caller.regions:
        return None
    message = "your data may not enter this region; use an entry VM of /v1/entries"
    return Refusal(RefusalKind.MISDIRECTED, message)


def check_rights(caller, route):
    """Return a `Refusal` if the plan doesn't let the caller use the route."""
    if isinstance(route, ModelRoute):
        is_allowed = any(may_use_model(grant, route) for grant in caller.uses)
    else:
        is_allowed = route.service.name in caller.uses
    if is_allowed:
        return None
    message = "the plan does not let you use this; ask your operator for it"
    return Refusal(RefusalKind.NOT_ALLOWED, message)


def may_use_model(grant, route):
    """Return whether one entry of a caller's `uses` covers the route."""
    allowed_model = parse_model_name(grant)
    if allowed_model.name != route.model.name:
        return False
    if allowed_model.version not in ("", route.model.version):
        return False
    return route.adapter == "" or allowed_model.adapter in (ANY_ADAPTER, route.adapter)


def allowed_regions(call):
    """Return the regions where the call may run, the caller's home region first."""
    model_regions = route_regions(call.route)
    return tuple(region for region in call.caller.regions if region in model_regions)
