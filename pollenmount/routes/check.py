"""Validation of plans of routes; a plan with any fault is rejected."""

from pollenmount.errors import Fault

__all__ = ["find_faults"]


def find_faults(plan):
    """Yield each fault of a `RoutePlan`."""
    route_names = {}
    for route in plan.routes:
        yield from check_route(route, plan.services)
        host_and_prefix = (route.host.lower(), route.prefix)
        if host_and_prefix in route_names:
            problem = f"has the host and prefix of {route_names[host_and_prefix]}"
            yield Fault(route.name, problem, "remove one of them")
        route_names[host_and_prefix] = route.name
    yield from check_accounts(plan.accounts)


def check_route(route, services):
    """Yield the faults of one route."""
    for split in route.splits:
        if split.service not in services:
            problem = f"names the unknown service {split.service!r}"
            yield Fault(route.name, problem, "add the service, or correct its name")
        if split.weight < 0:
            yield Fault(route.name, "has a negative weight", "use 0 or more")
    if sum(split.weight for split in route.splits) <= 0:
        yield Fault(route.name, "has weights that add up to 0", "give one a weight")
    if route.timeout_ms <= 0:
        yield Fault(route.name, "has no time-out", "use 1 ms or more")
    if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
        yield Fault(route.name, "has a malformed prefix", "begin and end it with /")


def check_accounts(accounts):
    """Yield the faults of client accounts."""
    names, key_owners = set(), {}
    for account in accounts:
        if account.name in names:
            yield Fault(account.name, "is an account twice", "remove one of them")
        names.add(account.name)
        for digest in account.key_digests:
            owner = key_owners.setdefault(digest, account.name)
            if owner != account.name:
                problem = f"has a key of the account {owner}"
                yield Fault(account.name, problem, "give each account keys of its own")
        yield from check_quota(account)


def check_quota(account):
    """Yield the faults of the quota of an account."""
    quota = account.quota
    if quota is None:
        return
    if quota.per_s < 0 or quota.burst < 0 or quota.default_tokens < 0:
        yield Fault(account.name, "has a negative quota", "use 0 for no limit")
