"""A request on its way through the gateway, and the parts of its answer."""

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
    """A request for a model, with the adapter it names ('' for none)."""

    model: Model
    adapter: str


class ServiceRoute(NamedTuple):
    """A request for a plain service."""

    service: Service


class Call(NamedTuple):
    """One accepted request.

    `deadline` is monotonic milliseconds of this node's clock; `key` is the idempotency
    key; `headers` are those passed on; `path` includes the query. `resume_from` counts
    the events of the answer that were delivered before this attempt. `lease` is the
    lease of an action's attempt.
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


class Head(NamedTuple):
    """Start of an answer, and where it runs.

    `resume` tells whether another target can go on after any event.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    region: str
    target: str
    resume: bool = False


class Chunk(NamedTuple):
    """A part of an answer's body."""

    data: bytes


class LocalTarget(NamedTuple):
    """Candidate: a target of this failure domain.

    `expected_ms` is how long the first byte is expected to take.
    """

    target: Target
    expected_ms: float = 0.0

    @property
    def name(self):
        """Return the name under which requests at it are counted."""
        return self.target.announcement.name


class RemoteEntry(NamedTuple):
    """Candidate: an entry VM of another failure domain."""

    member: Member
    expected_ms: float = 0.0

    @property
    def name(self):
        """Return the name under which requests at it are counted."""
        return self.member.name


class RemoteDomain(NamedTuple):
    """Another failure domain that can run a call, and its entry VMs in reach."""

    summary: DomainSummary
    members: tuple[Member, ...]

    @property
    def name(self):
        """Return the name under which requests at it are counted."""
        return self.summary.failure_domain


class Options(NamedTuple):
    """Where a call may run: targets of this failure domain, other failure domains.

    `region` is that of this node.
    """

    local: tuple[Target, ...]
    remote: tuple[RemoteDomain, ...]
    region: str


class View(NamedTuple):
    """All that a decision looks at, taken once; `name` is this VM's."""

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
    raise TypeError(f"no route: {type(route).__name__}")


@route_regions.register
def _(route: ModelRoute):
    return route.model.regions


@route_regions.register
def _(route: ServiceRoute):
    return route.service.regions


@singledispatch
def route_class(route):
    """Return the class of requests that name none."""
    raise TypeError(f"no route: {type(route).__name__}")


@route_class.register
def _(route: ModelRoute):
    return route.model.class_


@route_class.register
def _(route: ServiceRoute):
    return route.service.class_


@singledispatch
def is_idempotent(route):
    """Return whether a request on this route may run more than once."""
    raise TypeError(f"no route: {type(route).__name__}")


@is_idempotent.register
def _(route: ModelRoute):
    return True


@is_idempotent.register
def _(route: ServiceRoute):
    return route.service.repeat == IDEMPOTENT


@singledispatch
def offer_name(route):
    """Return the name under which summaries list what the route needs."""
    raise TypeError(f"no route: {type(route).__name__}")


@offer_name.register
def _(route: ModelRoute):
    return f"{route.model.name}@{route.model.version}"


@offer_name.register
def _(route: ServiceRoute):
    return route.service.name


@singledispatch
def offers(route, announcement):
    """Return whether a target's announcement says that it can run the route."""
    raise TypeError(f"no route: {type(route).__name__}")


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
    """Return the adapters that the route needs, as a tuple."""
    return ()


@offered_adapters.register
def _(route: ModelRoute):
    return (route.adapter,) if route.adapter else ()
