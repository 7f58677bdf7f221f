"""Types for a request in the gateway and for its response."""

import hashlib
from typing import Any, NamedTuple

from pollenmount.gateway.dialect import CallerInfo
from pollenmount.routes.plan import Route
from pollenmount.wire.numbers import parse_decimal

__all__ = [
    "AttemptFailure",
    "Call",
    "ErrorResponse",
    "Response",
    "ResponseHead",
    "digest_request",
]

DIGEST_BYTES = 12


class Call(NamedTuple):
    """One request that matched a route.

    `deadline` is when the caller's or the route's timeout expires, by this VM's clock.
    `request_target` is the path and query as sent. `service` is the one picked from the
    route's splits. `version` is that of the target software that began the stream, if
    another VM has sent it along with the call, else None. `account` is the name of the
    caller's account, '' for none. `holding` is the `Holding` of the connection that
    waits for the response, None if nothing is accounted for.
    """

    info: CallerInfo
    route: Route
    service: str
    method: str
    request_target: str
    body: bytes
    received_at: int
    deadline: int
    plan_version: int
    version: str | None = None
    account: str = ""
    holding: Any = None

    @property
    def id(self):
        """Return the id that the caller gave to this request."""
        return self.info.id

    @property
    def resume_after(self):
        """Return the number of the last event that the caller has, or None."""
        return parse_decimal(self.info.resume_after)


class ResponseHead(NamedTuple):
    """Head of a response to the caller, and the target and region that sent it.

    `version` is that of the target's software.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    target_id: str
    region: str
    version: str = ""


class Response(NamedTuple):
    """A complete response."""

    head: ResponseHead
    body: bytes


class AttemptFailure(NamedTuple):
    """Why an attempt failed.

    `not_run` is true only if it is certain that no target ran the request.
    """

    problem: str
    not_run: bool


class ErrorResponse(NamedTuple):
    """An error response of the gateway itself.

    A `status` of 503 or 429 guarantees that no target ran the request; 502 and 504
    guarantee nothing. `retry_after_ms` is 0 if a retry cannot help. `pause_ms` is when
    the first target may be used again if all ask for a pause, else 0, and
    `quarantine_ms` for how long the call is in quarantine.
    """

    status: int
    reason: str
    retry_after_ms: int = 0
    pause_ms: int = 0
    quarantine_ms: int = 0


def digest_request(call):
    """Return a digest that is the same whenever the same request comes again.

    It covers the method, the host, the path and query, and the body, not the id. The
    host tells client accounts apart.
    """
    head = f"{call.method} {call.info.host} {call.request_target}\n".encode()
    digest = hashlib.blake2b(head, digest_size=DIGEST_BYTES)
    digest.update(call.body)
    return digest.hexdigest()
