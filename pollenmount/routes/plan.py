"""Immutable plans of routes, and route look-up."""

from enum import StrEnum
from typing import NamedTuple

from pollenmount.accounts.account import Account

__all__ = [
    "DEFAULT_LIMITS",
    "ClientLimits",
    "EngineLimits",
    "RetryMode",
    "Route",
    "RoutePlan",
    "ServiceLimits",
    "Split",
    "get_route",
    "index_gaps",
    "index_routes",
]


class RetryMode(StrEnum):
    """Which requests on a route may be retried after they may have run."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


class Split(NamedTuple):
    """Relative share of a route's traffic that goes to one service."""

    service: str
    weight: int


class Route(NamedTuple):
    """Rules for requests to one host below one path prefix.

    `slo_ms` is the latency objective, `timeout_ms` the time limit of a request;
    `priority` 0 is the most urgent; `attempts` limits the targets that run one request;
    `resumable` streams can be continued by another target; `homes` are the only
    regions that may serve the route (all if empty). `public` routes need no account.
    `max_gap_ms` is the longest pause in a stream that is on time, 0 if none is given.
    """

    name: str
    host: str
    prefix: str
    retry_mode: RetryMode
    timeout_ms: int
    slo_ms: int
    priority: int
    splits: tuple[Split, ...]
    attempts: int
    resumable: bool
    homes: tuple[str, ...]
    public: bool = False
    max_gap_ms: int = 0

    @property
    def may_retry(self):
        """Return whether a request that may have run may be retried."""
        return self.retry_mode is RetryMode.IDEMPOTENT or self.resumable


class EngineLimits(NamedTuple):
    """Capacity of one model engine: concurrent requests, and cached tokens."""

    slots: int
    cache_tokens: int


class ServiceLimits(NamedTuple):
    """Limits of each target of a service.

    `max_connections` is without effect if it is 0, and so is `cold_per_s`, the requests
    per second to a target that is warming up.
    """

    name: str
    max_connections: int
    cold_per_s: float
    engine: EngineLimits | None


class ClientLimits(NamedTuple):
    """Limits on callers: sizes of header sections and bodies, and time-outs."""

    head_bytes: int
    body_bytes: int
    head_ms: int
    idle_ms: int


DEFAULT_LIMITS = ClientLimits(16_384, 4 << 20, 3000, 15_000)


class RoutePlan(NamedTuple):
    """All routes and services, with limits for callers.

    `accounts` are the client accounts. Without any, callers need no key.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, ServiceLimits]
    limits: ClientLimits
    accounts: tuple[Account, ...] = ()


def index_routes(routes):
    """Return routes by host name in lower case, each list longest prefix first."""
    by_host = {}
    for route in routes:
        by_host.setdefault(route.host.lower(), []).append(route)
    for host_routes in by_host.values():
        host_routes.sort(key=lambda route: len(route.prefix), reverse=True)
    return by_host


def index_gaps(routes):
    """Return the shortest pause in a stream that routes permit, by service."""
    gaps = {}
    for route in routes:
        for split in route.splits if route.max_gap_ms > 0 else ():
            shortest = gaps.get(split.service, route.max_gap_ms)
            gaps[split.service] = min(shortest, route.max_gap_ms)
    return gaps


def get_route(by_host, host, path):
    """Return the route whose prefix is the longest match of `path`, or None."""
    for route in by_host.get(host.lower(), ()):
        if path.startswith(route.prefix):
            return route
    return None
