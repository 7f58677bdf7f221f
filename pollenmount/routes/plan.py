"""The plan of routes as immutable data, and look-ups in it."""

from enum import StrEnum
from typing import NamedTuple

__all__ = [
    "DEFAULT_LIMITS",
    "Backend",
    "ClientLimits",
    "EngineLimits",
    "RetryMode",
    "Route",
    "RoutePlan",
    "Split",
    "get_route",
    "index_routes",
]


class RetryMode(StrEnum):
    """What may be repeated on a route."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


class Split(NamedTuple):
    """A share of a route's requests: `weight` parts go to the service `backend`."""

    backend: str
    weight: int


class Route(NamedTuple):
    """Requests of one host below one path prefix.

    `target_ms` is when an answer is still on time, `timeout_ms` the longest wait;
    `priority` 0 is the most urgent; `attempts` bounds the targets that run one request;
    `resumable` streams can go on at another target; `homes` are the only regions that
    may serve it (none named: all).
    """

    name: str
    host: str
    prefix: str
    retry_mode: RetryMode
    timeout_ms: int
    target_ms: int
    priority: int
    splits: tuple[Split, ...]
    attempts: int
    resumable: bool
    homes: tuple[str, ...]

    @property
    def may_retry(self):
        """Return whether a request that may have run can run once more."""
        return self.retry_mode is RetryMode.IDEMPOTENT or self.resumable


class EngineLimits(NamedTuple):
    """What one model engine of a service can hold: requests and cached tokens."""

    slots: int
    cache_tokens: int


class Backend(NamedTuple):
    """A service of the plan. Cold targets take `cold_per_s` requests a second."""

    name: str
    max_connections: int
    cold_per_s: float
    engine: EngineLimits | None


class ClientLimits(NamedTuple):
    """Bounds on what callers send and how long they take or stay idle."""

    head_bytes: int
    body_bytes: int
    head_ms: int
    idle_ms: int


DEFAULT_LIMITS = ClientLimits(16_384, 4 << 20, 3000, 15_000)


class RoutePlan(NamedTuple):
    """A whole plan of routes under its `version`."""

    version: int
    routes: tuple[Route, ...]
    backends: dict[str, Backend]
    limits: ClientLimits


def index_routes(routes):
    """Return the routes of each host in lower case, longest prefix first."""
    by_host = {}
    for route in routes:
        by_host.setdefault(route.host.lower(), []).append(route)
    for host_routes in by_host.values():
        host_routes.sort(key=lambda route: len(route.prefix), reverse=True)
    return by_host


def get_route(by_host, host, path):
    """Return the route with the longest prefix that begins `path`, or None."""
    for route in by_host.get(host.lower(), ()):
        if path.startswith(route.prefix):
            return route
    return None
