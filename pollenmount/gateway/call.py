"""A request on its way through the gateway, and the parts of its answer."""

from typing import NamedTuple

from pollenmount.gateway.dialect import CallerInfo
from pollenmount.routes.plan import Route

__all__ = ["AttemptFailure", "Call", "ErrorResponse", "Response", "ResponseHead"]


class Call(NamedTuple):
    """One request that a route takes.

    `deadline` is when the caller's or the route's timeout expires, by this VM's clock.
    `target` is the path and query as sent. `service` is the one picked from the route's
    splits.
    """

    info: CallerInfo
    route: Route
    service: str
    method: str
    target: str
    body: bytes
    received_at: int
    deadline: int
    plan_version: int

    @property
    def id(self):
        """Return the id of this try of the caller."""
        return self.info.id

    @property
    def resume_after(self):
        """Return the number of the last event the caller has, None for none."""
        text = self.info.resume_after
        return int(text) if text.isdecimal() else None


class ResponseHead(NamedTuple):
    """Head of an answer on its way to the caller, and which target gave it."""

    status: int
    headers: tuple[tuple[str, str], ...]
    target: str
    region: str


class Response(NamedTuple):
    """A whole answer."""

    head: ResponseHead
    body: bytes


class AttemptFailure(NamedTuple):
    """Why an attempt brought nothing. `not_run` only when that is proved."""

    problem: str
    not_run: bool


class ErrorResponse(NamedTuple):
    """The gateway's own final answer.

    `status` 503 and 429 promise that nothing ran; 502 and 504 promise nothing.
    `retry_after_ms` is 0 when coming back can't help.
    """

    status: int
    reason: str
    retry_after_ms: int = 0
