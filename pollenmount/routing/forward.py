"""Encoding of calls that are forwarded to an entry VM of another failure domain.

The receiver gets a `ForwardedCall` on a separate listener, whose handler uses local
targets only. So a call is forwarded at most once.
"""

import contextlib
import hmac
from typing import NamedTuple

import msgspec

from pollenmount.documents import (
    MAX_DURATION_MS,
    Count,
    Integer,
    UnreadableDocumentError,
    decode_json,
)
from pollenmount.errors import Refusal, RefusalKind
from pollenmount.routing.request import Call, Head, ModelRoute, offer_name
from pollenmount.targets.upstream import UpstreamError
from pollenmount.wire.numbers import parse_decimal

__all__ = [
    "PATH",
    "ForwardRefusedError",
    "ForwardedCall",
    "check_id",
    "decode_call",
    "decode_head",
    "encode_headers",
    "encode_quarantine",
    "encode_refusal",
    "id_headers",
    "raise_refusal",
]

PATH = "/v1/forward"
CALL_HEADER = "Pollenmount-Call"
KEY_HEADER = "Pollenmount-Key"
REFUSAL_HEADER = "Pollenmount-Refusal"
# Those before `length`.
HEAD_FIELDS = 5
HEAD_HEADER = "Pollenmount-Head"
QUARANTINE_HEADER = "Pollenmount-Quarantine-Ms"
ID_HEADER = "Pollenmount-Call-Id"


class ForwardedCall(NamedTuple):
    """A call without its body, as it is sent to another failure domain.

    The receiver looks up the caller in its own plan. `offer` names the model with its
    version and adapter ('' for a service). `remaining_ms` is the time until the
    deadline; a deadline itself can't be sent, since the clocks of two VMs aren't
    comparable. `attempt` identifies the attempt at an action ('' for other calls).
    """

    id: str
    key_digest: str
    offer: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    class_: str
    remaining_ms: Integer
    key: str
    stream: bool
    resume_from: Count = 0
    attempt: str = ""


class ForwardRefusedError(UpstreamError):
    """The entry VM in the other failure domain returned a `Refusal`.

    `quarantine_ms` is for how long the request is in quarantine there, 0 if it is not.
    """

    def __init__(self, refusal, quarantine_ms=0):
        super().__init__(refusal.message, refusal.not_run, refusal.retry_after_ms)
        self.refusal = refusal
        self.quarantine_ms = quarantine_ms


def encode_headers(call, now, peer_key):
    """Return the headers that carry a call to a peer VM."""
    forwarded = ForwardedCall(
        call.id,
        call.caller.key_digest,
        model_name(call.route),
        call.method,
        call.path,
        call.headers,
        call.class_,
        call.deadline - now,
        call.key,
        call.stream,
        call.resume_from,
        call.lease.attempt if call.lease else "",
    )
    encoded = msgspec.json.encode(forwarded).decode("latin-1")
    return {CALL_HEADER: encoded, KEY_HEADER: peer_key, ID_HEADER: call.id}


def model_name(route):
    """Return `name@version[+adapter]` of a model's route, '' for a service's."""
    if not isinstance(route, ModelRoute):
        return ""
    adapter = f"+{route.adapter}" if route.adapter else ""
    return offer_name(route) + adapter


def decode_call(headers, peer_key):
    """Return the `ForwardedCall` in the headers; a `Refusal` if the key is wrong."""
    if not hmac.compare_digest(headers.get(KEY_HEADER, "").encode(), peer_key.encode()):
        message = "this listener is for peer VMs only; set the same peer_key on all VMs"
        return Refusal(RefusalKind.UNAUTHENTICATED, message)
    encoded = headers.get(CALL_HEADER, "").encode("latin-1")
    try:
        return decode_json(encoded, ForwardedCall)
    except UnreadableDocumentError:
        message = "the forwarded call can't be decoded; run the same version on all VMs"
        return Refusal(RefusalKind.BAD_REQUEST, message)


def to_call(forwarded, caller, route, body, now, lease=None):
    """Return the `Call` of a `ForwardedCall`, its deadline by this node's clock."""
    return Call(
        forwarded.id,
        caller,
        route,
        forwarded.method,
        forwarded.path,
        forwarded.headers,
        body,
        forwarded.class_,
        now + forwarded.remaining_ms,
        forwarded.key,
        forwarded.stream,
        forwarded.resume_from,
        lease,
    )


def encode_refusal(refusal):
    """Return the header that carries a refusal back to the forwarding peer."""
    return REFUSAL_HEADER, msgspec.json.encode(refusal).decode("latin-1")


def encode_quarantine(left_ms):
    """Return the headers that tell a peer for how long a request is in quarantine."""
    return [(QUARANTINE_HEADER, str(left_ms))] if left_ms else []


def id_headers(request):
    """Return the headers that tell which call a reply is for, none if it has no id."""
    id_ = request.header(ID_HEADER)
    return ((ID_HEADER, id_),) if id_ else ()


def check_id(response, call):
    """Raise `UpstreamError` if a response is for another call; earlier builds omit it.

    A peer may send a response twice, and the copy come late on a kept connection.
    """
    if response.headers.get(ID_HEADER, call.id) != call.id:
        response.close()
        raise UpstreamError("the peer's response is for another call")


def raise_refusal(response):
    """Raise `ForwardRefusedError` if the peer's response carries a refusal."""
    encoded = response.headers.get(REFUSAL_HEADER)
    if encoded is None:
        return
    response.close()
    with contextlib.suppress(UnreadableDocumentError):
        refusal = decode_json(encoded, Refusal)
        left_ms = response.headers.get(QUARANTINE_HEADER, "")
        quarantine_ms = parse_decimal(left_ms, MAX_DURATION_MS) or 0
        raise ForwardRefusedError(refusal, quarantine_ms)
    raise UpstreamError("the peer's refusal can't be decoded")


def encode_head(head):
    """Return the header that carries the head of the target's response."""
    return HEAD_HEADER, msgspec.json.encode(head[:HEAD_FIELDS]).decode("latin-1")


def decode_head(response):
    """Return the `Head` that a peer's response carries."""
    try:
        return decode_json(response.headers[HEAD_HEADER], Head)
    except (KeyError, UnreadableDocumentError) as error:
        response.close()
        raise UpstreamError("the head from the peer can't be decoded") from error
