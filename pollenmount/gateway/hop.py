"""Forwarding of a request to an entry VM of another region, by one hop.

A hop is never forwarded again: the receiving entry VM considers only targets of its own
region. The headers below are internal to the gateway; callers' copies are dropped.
"""

from typing import NamedTuple

import msgspec

from pollenmount.documents import (
    Count,
    DurationMs,
    Integer,
    UnreadableDocumentError,
    decode_json,
)
from pollenmount.routes.plan import RetryMode, Route
from pollenmount.wire.errors import ExchangeError, MalformedResponseError

__all__ = [
    "HOP_REQUEST",
    "HOP_VERSION",
    "HopRefusal",
    "HopRefusedError",
    "HopRequest",
    "PeerNotReadyError",
    "decode_hop",
    "encode_hop",
    "hop_route",
    "is_hop_header",
    "id_headers",
    "raise_if_refused",
    "refusal_headers",
]

HOP_REQUEST = "Pollenmount-Hop"
HOP_REFUSED = "Pollenmount-Hop-Refused"
HOP_TARGET = "Pollenmount-Hop-Target"
# Headers of their own, which VMs of builds before ignore.
HOP_PAUSE_MS = "Pollenmount-Hop-Pause-Ms"
HOP_QUARANTINE_MS = "Pollenmount-Hop-Quarantine-Ms"
# The version of the software of the target that responds.
HOP_VERSION = "Pollenmount-Hop-Version"
# The id of the request that a reply is for.
HOP_ID = "Pollenmount-Hop-Id"
HOP_NOT_READY = "Pollenmount-Hop-Not-Ready"
HEADER_PREFIX = "pollenmount-hop"
MS_PER_S = 1000


class HopRequest(NamedTuple):
    """Data that the receiving entry VM needs in addition to the request.

    `version` is the only one of the target software that may run it, None if all may.
    `account` is the name of the caller's account, '' for none.
    """

    service: str
    retry_mode: RetryMode
    resumable: bool
    priority: Integer
    attempts: Integer
    slo_ms: Integer
    remaining_ms: DurationMs
    plan_version: Integer
    version: str | None = None
    account: str = ""


class HopRefusal(NamedTuple):
    """Why the other region returned no response of a target.

    `not_run` is true if it is certain that no target ran the request. `sends` counts
    the attempts at targets.
    """

    status: Count
    reason: str
    not_run: bool
    retry_after_ms: DurationMs
    sends: Count = 0


class HopRefusedError(ExchangeError):
    """The entry VM of the other region returned no response of a target.

    `pause_ms` is when the first target there may be used again if all have asked that
    VM for a pause, else 0, and `quarantine_ms` for how long the request is in
    quarantine.
    """

    def __init__(self, refusal, pause_ms=0, quarantine_ms=0):
        super().__init__(f"the other region refused: {refusal.reason}")
        self.not_run = refusal.not_run
        self.retry_after_ms = refusal.retry_after_ms
        self.sends = refusal.sends
        self.pause_ms = pause_ms
        self.quarantine_ms = quarantine_ms


class PeerNotReadyError(ExchangeError):
    """The entry VM of the hop stops, has no plan yet, or reaches no target.

    Its region may take the request through another VM.
    """

    not_run = True

    def __init__(self, refusal):
        super().__init__(f"the other VM is not ready: {refusal.reason}")


def encode_hop(call, remaining_ms, attempts, version=None):
    """Return the header, as (name, value), for a call sent to another region.

    `version` is that of `HopRequest`.
    """
    route = call.route
    request = HopRequest(
        call.service,
        route.retry_mode,
        route.resumable,
        route.priority,
        attempts,
        route.slo_ms,
        remaining_ms,
        call.plan_version,
        version,
        call.account,
    )
    return (HOP_REQUEST, encode_header(request))


def decode_hop(text):
    """Return the `HopRequest` in a header, or None if it is invalid."""
    try:
        return decode_header(text, HopRequest)
    except UnreadableDocumentError:
        return None


def hop_route(hop):
    """Return a route with the properties that a hop carries."""
    return Route(
        "hop",
        "",
        "/",
        hop.retry_mode,
        hop.remaining_ms,
        hop.slo_ms,
        hop.priority,
        (),
        hop.attempts,
        hop.resumable,
        (),
    )


def refusal_headers(error_response, not_run, sends=0, is_ready=True):
    """Return the headers that report a refusal to another region's entry VM.

    `is_ready` is false if this VM itself takes no requests.
    """
    refusal = HopRefusal(
        error_response.status,
        error_response.reason,
        not_run,
        error_response.retry_after_ms,
        sends,
    )
    headers = [(HOP_REFUSED, encode_header(refusal))]
    if error_response.pause_ms:
        headers.append((HOP_PAUSE_MS, str(error_response.pause_ms)))
    if error_response.quarantine_ms:
        headers.append((HOP_QUARANTINE_MS, str(error_response.quarantine_ms)))
    if not is_ready:
        headers.append((HOP_NOT_READY, "1"))
    return headers


def raise_if_refused(head, id_=None):
    """Raise `HopRefusedError` if a response is a refusal of the other region.

    With the `id_` of the request, a refusal of another one is passed over, such as a
    copy that comes late on a kept connection.
    `PeerNotReadyError` is raised if it is one of the VM itself, and
    `MalformedResponseError` if it can't be read.
    """
    text = head.header(HOP_REFUSED.lower())
    if not text or not is_for(head, id_):
        return
    try:
        refusal = decode_header(text, HopRefusal)
        pause_ms = read_milliseconds(head, HOP_PAUSE_MS)
        quarantine_ms = read_milliseconds(head, HOP_QUARANTINE_MS)
    except UnreadableDocumentError as error:
        raise MalformedResponseError(f"malformed refusal: {error}") from error
    if head.header(HOP_NOT_READY.lower()):
        raise PeerNotReadyError(refusal)
    raise HopRefusedError(refusal, pause_ms, quarantine_ms)


def is_for(head, id_):
    """Return whether a response may be for a request; earlier builds don't tell."""
    return id_ is None or head.header(HOP_ID.lower()) in ("", id_)


def read_milliseconds(head, name):
    """Return the number in a header of a refusal, 0 if it is absent."""
    return decode_header(head.header(name.lower()) or "0", DurationMs)


def id_headers(id_):
    """Return the headers that tell which request a reply is for."""
    return ((HOP_ID, id_),) if id_ else ()


def encode_header(value):
    """Return a value as JSON whose bytes pass through a header of HTTP."""
    return msgspec.json.encode(value).decode("latin-1")


def decode_header(text, type_):
    """Return the `type_` in a header, or raise `UnreadableDocumentError`."""
    return decode_json(text.encode("latin-1", "replace"), type_)


def is_hop_header(name):
    """Return whether a header is internal to hops."""
    return name.lower().startswith(HEADER_PREFIX)
