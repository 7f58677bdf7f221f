"""Data types of a routed request and of its response."""

from functools import singledispatch
from typing import Any, NamedTuple

from pollenmount.members.table import DomainSummary, Member
from pollenmount.plans.plan import IDEMPOTENT, Caller, Model, Plan, Service
from pollenmount.targets.table import Target

__all__ = [
    "Call",
    "Chunk",
    "Head",
    "LocalTarget",
    "ModelRoute",
    "Options",
    "RemoteDomain",
    "RemoteEntry",
    "ServiceRoute",
    "View",
    "is_idempotent",
    "offer_name",
    "offered_adapters",
    "offers",
    "route_class",
    "route_regions",
]


class ModelRoute(NamedTuple):
    """Route to a model, with the requested adapter ('' for none)."""

    model: Model
    adapter: str


class ServiceRoute(NamedTuple):
    """Route to a service."""

    service: Service


class Call(NamedTuple):
    """An accepted request.

    `deadline` is in monotonic milliseconds of this node's clock. `key` is the
    idempotency key. `headers` are those to forward, `path` includes the query.
    `resume_from` is the number of events that were delivered before this attempt.
    `lease` is the `Lease` of an attempt at an action, None for other calls. `holding`
    is the `Holding` of the connection that waits for the response, None if nothing is
    accounted for.
    """

    id: str
    caller: Caller
    route: ModelRoute | ServiceRoute
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    class_: str
    deadline: int
    key: str
    stream: bool
    resume_from: int = 0
    lease: Any = None
    holding: Any = None


class Head(NamedTuple):
    """Status and headers of a response, and the region and target that sent it.

    `resume` tells whether another target can resume the stream after any event.
    `length` is the announced size of the body, 0 if unknown; other VMs are not told.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    region: str
    target: str
    resume: bool = False
    length: int = 0


class Chunk(NamedTuple):
    """A part of the body of a response."""

    data: bytes


class LocalTarget(NamedTuple):
    """A candidate that is a target of this failure domain.

    `expected_ms` is the expected time to the first byte.
    """

    target: Target
    expected_ms: float = 0.0

    @property
    def name(self):
        """Return the name under which its requests in flight are counted."""
        return self.target.announcement.name


class RemoteEntry(NamedTuple):
    """A candidate that is an entry VM of another failure domain."""

    member: Member
    expected_ms: float = 0.0

    @property
    def name(self):
        """Return the name under which its requests in flight are counted."""
        return self.member.name


class RemoteDomain(NamedTuple):
    """Another failure domain that can run a call, and its usable entry VMs."""

    summary: DomainSummary
    members: tuple[Member, ...]

    @property
    def name(self):
        """Return the name under which its requests in flight are counted."""
        return self.summary.failure_domain


class Options(NamedTuple):
    """Where a call may run: local targets and other failure domains.

    `region` is the region of this node.
    """

    local: tuple[Target, ...]
    remote: tuple[RemoteDomain, ...]
    region: str


class View(NamedTuple):
    """Immutable snapshot of all inputs of a routing decision.

    `name`, `region` and `failure_domain` are those of this VM; `now` is in monotonic
    milliseconds.
    """

    plan: Plan
    region: str
    failure_domain: str
    targets: tuple[Target, ...]
    members: tuple[Member, ...]
    summaries: tuple[DomainSummary, ...]
    now: int
    name: str = ""


@singledispatch
def route_regions(route):
    """Return the regions in which the plan lets the route run."""
    raise TypeError(f"not a route: {type(route).__name__}")


@route_regions.register
def _(route: ModelRoute):
    return route.model.regions


@route_regions.register
def _(route: ServiceRoute):
    return route.service.regions


@singledispatch
def route_class(route):
    """Return the class of requests on this route that don't specify one."""
    raise TypeError(f"not a route: {type(route).__name__}")


@route_class.register
def _(route: ModelRoute):
    return route.model.class_


@route_class.register
def _(route: ServiceRoute):
    return route.service.class_


@singledispatch
def is_idempotent(route):
    """Return whether a request on this route may be executed more than once."""
    raise TypeError(f"not a route: {type(route).__name__}")


@is_idempotent.register
def _(route: ModelRoute):
    return True


@is_idempotent.register
def _(route: ServiceRoute):
    return route.service.repeat == IDEMPOTENT


@singledispatch
def offer_name(route):
    """Return the name of the route's model version or service in summaries."""
    raise TypeError(f"not a route: {type(route).__name__}")


@offer_name.register
def _(route: ModelRoute):
    return f"{route.model.name}@{route.model.version}"


@offer_name.register
def _(route: ServiceRoute):
    return route.service.name


@singledispatch
def offers(route, announcement):
    """Return whether a target announces the model version or service of a route."""
    raise TypeError(f"not a route: {type(route).__name__}")


@offers.register
def _(route: ModelRoute, announcement):
    return any(
        (offered["name"], offered["version"]) == (route.model.name, route.model.version)
        and (not route.adapter or route.adapter in offered.get("adapters", ()))
        for offered in announcement.models
    )


@offers.register
def _(route: ServiceRoute, announcement):
    return route.service.name in announcement.services


@singledispatch
def offered_adapters(route):
    """Return the adapters that the route requires, as a tuple."""
    return ()


@offered_adapters.register
def _(route: ModelRoute):
    return (route.adapter,) if route.adapter else ()
