"""What an account changes in the route of its requests."""

__all__ = ["bind_route"]


def bind_route(route, account):
    """Return the `Route` that applies to an account, or None if no region may serve it.

    The account's priority goes first, and the home regions of both are in force.
    """
    if account is None:
        return route
    if account.priority is not None:
        route = route._replace(priority=account.priority)
    if not account.homes:
        return route
    homes = account.homes
    if route.homes:
        homes = tuple(region for region in route.homes if region in account.homes)
    return route._replace(homes=homes) if homes else None
