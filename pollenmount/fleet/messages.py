"""Messages on the links between VMs, and the records they carry.

An entry VM gets what it needs for its own region's targets, and a bounded amount about
the rest of the fleet; `docs/design/fleet.md` lists who is sent what. Ages and remaining
times are durations, since the clocks of two VMs aren't synchronised.
"""

import msgspec

from pollenmount.documents import decode_with
from pollenmount.fleet.records import (
    AccountLevel,
    AccountTotal,
    AccountUse,
    MemberRecord,
    ServiceCapacity,
    TargetLoad,
    TargetRecord,
)

__all__ = [
    "LINK_PROTOCOL",
    "Capacities",
    "EntryCounts",
    "EvacuationsChanged",
    "LinkHello",
    "Loads",
    "MemberDown",
    "MemberHeartbeat",
    "MemberUp",
    "PartsServed",
    "PromptBroke",
    "QuotaLevels",
    "QuotaTotals",
    "QuotaUse",
    "RequestAsked",
    "RequestBegan",
    "RequestsAnswered",
    "RequestsCrashed",
    "RoutesChanged",
    "StreamAsked",
    "StreamsBegan",
    "TargetDoubted",
    "TargetGone",
    "TargetLeaving",
    "TargetLimited",
    "TargetRefused",
    "TargetSeen",
    "TargetSilent",
    "TrialBegan",
    "decode",
    "encode",
]

# Incremented when VMs of two builds would misunderstand each other.
LINK_PROTOCOL = 12


class Message(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base class of the messages on a link."""


class LinkHello(Message, frozen=True, array_like=True, tag="Link"):
    """First message of a client on a link."""

    member: MemberRecord
    protocol: int = 1


class MemberHeartbeat(Message, frozen=True, array_like=True, tag="Beat"):
    """Periodic message of a member, with its record if it changed.

    `is_primary` marks the one link of the member on which it needs the load of targets,
    the capacity of other regions and the VMs for hops.
    """

    member: MemberRecord | None
    is_primary: bool = True


class MemberUp(Message, frozen=True, array_like=True, tag=True):
    """A member has joined, or its record has changed."""

    member: MemberRecord


class MemberDown(Message, frozen=True, array_like=True, tag=True):
    """The sender no longer lists a member."""

    name: str
    incarnation: str


class TargetSeen(Message, frozen=True, array_like=True, tag=True):
    """A heartbeat of a target arrived `age_ms` ago.

    While the target is cold, only the entry VMs named in `cold_senders` may send to it.
    """

    target: TargetRecord
    age_ms: int
    cold_senders: tuple[str, ...] = ()


class TargetDoubted(Message, frozen=True, array_like=True, tag=True):
    """A target may have turned cold since its newest heartbeat.

    `born` and `sequence` identify that heartbeat. Until there is a newer one, only the
    entry VMs named in `cold_senders` may send to the target, as to a cold one.
    """

    id: str
    born: int
    sequence: int
    cold_senders: tuple[str, ...] = ()


class TargetRefused(Message, frozen=True, array_like=True, tag=True):
    """No process listened at the address of an incarnation of a target.

    It may have crashed, and be cold when it answers again. Sent by the entry VM whose
    connection was refused, and passed on once by each control VM.
    """

    id: str
    born: int


class TargetSilent(Message, frozen=True, array_like=True, tag=True):
    """A target has missed several heartbeats."""

    id: str


class TargetGone(Message, frozen=True, array_like=True, tag=True):
    """A target has left; `born` identifies its incarnation."""

    id: str
    born: int


class TargetLeaving(Message, frozen=True, array_like=True, tag=True):
    """An incarnation of a target said in a response that it leaves.

    Sent by the entry VM that read the response, and passed on once by each control VM.
    """

    id: str
    born: int


class TargetLimited(Message, frozen=True, array_like=True, tag=True):
    """An incarnation of a target names a limit in its responses, or none any more.

    It takes `per_s` requests a second from all VMs together; only the entry VMs named
    in `senders` may send to it. An entry VM that read the limit leaves them empty, and
    the control VM that it tells selects them.
    """

    id: str
    born: int
    per_s: float | None
    senders: tuple[str, ...] = ()


class PromptBroke(Message, frozen=True, array_like=True, tag=True):
    """A target ended a response as it began; a part of the prompt may have crashed it.

    `prompt` is the id of the prompt's own part, `parts` are the shared ones that the
    sender has not seen served lately. It was `age_ms` ago. `late` tells that the target
    had begun to respond, or that the attempt had ended before the crash.
    """

    target: str
    born: int
    prompt: str
    parts: tuple[str, ...]
    age_ms: int = 0
    late: bool = False


class PartsServed(Message, frozen=True, array_like=True, tag=True):
    """Responses to prompts with these parts have begun.

    `survived` tells that a target was still up a while after a whole response.
    """

    parts: tuple[str, ...]
    survived: bool = False


class RequestsCrashed(Message, frozen=True, array_like=True, tag=True):
    """A target crashed while it had these requests, or shortly after.

    They are known by their digests; `call` is the id of the call. The crash was
    `age_ms` ago at most. `late` tells that the target had begun to answer
    it, or that its attempt had ended before.
    """

    target: str
    born: int
    call: str
    digests: tuple[str, ...]
    age_ms: int = 0
    late: bool = False


class RequestsAnswered(Message, frozen=True, array_like=True, tag=True):
    """Targets answered requests with these digests, or began to.

    `survived` tells that a target was still up a while after a whole answer.
    """

    digests: tuple[str, ...]
    survived: bool = False


class TrialBegan(Message, frozen=True, array_like=True, tag=True):
    """An attempt of a call tries what was in quarantine; no other should meanwhile.

    These are parts of its prompt, and the digest of the request.
    """

    call: str
    parts: tuple[str, ...]
    digests: tuple[str, ...]


class StreamsBegan(Message, frozen=True, array_like=True, tag=True):
    """Streams with these keys began at a version of a service's software.

    `requests` are keys of the requests that they answer, as in `RequestOrigins`.
    """

    service: str
    version: str
    keys: tuple[int, ...]
    requests: tuple[int, ...] = ()


class StreamAsked(Message, frozen=True, array_like=True, tag=True):
    """An entry VM asks a control VM at which version a stream began.

    If the control VM knows, `StreamsBegan` is the answer.
    """

    key: int


class RequestAsked(Message, frozen=True, array_like=True, tag=True):
    """An entry VM asks a control VM at which versions a request's streams began.

    `number` is new with each question, so that an answer proves what the control VM
    knew after it was asked.
    """

    number: int
    key: int


class RequestBegan(Message, frozen=True, array_like=True, tag=True):
    """The answer to `RequestAsked`: (service, version) of each origin that is known."""

    number: int
    origins: tuple[tuple[str, str], ...]


class RoutesChanged(Message, frozen=True, array_like=True, tag=True):
    """A new plan of routes; `document` is compressed with zlib."""

    revision: int
    version: int
    document: bytes


class EvacuationsChanged(Message, frozen=True, array_like=True, tag=True):
    """The current set of evacuated failure domains."""

    revision: int
    failure_domains: tuple[str, ...]


class Loads(Message, frozen=True, array_like=True, tag=True):
    """Load on targets: a member's own, or the total of all; also a server's heartbeat.

    Targets that are missing have no load if `complete` is true, else the same as
    before.
    """

    loads: tuple[TargetLoad, ...]
    complete: bool = True


class EntryCounts(Message, frozen=True, array_like=True, tag=True):
    """Number of entry VMs by region, as a control VM knows them.

    `has_quorum` is whether the control VM is in touch with the leader of the log.
    `settled` is true if, in addition, it has run for long enough to know all VMs.
    """

    counts: dict[str, int]
    has_quorum: bool
    settled: bool


class Capacities(Message, frozen=True, array_like=True, tag=True):
    """The capacity of the services in all other regions.

    Between control VMs, what the sender knows by its own links.
    """

    rows: tuple[ServiceCapacity, ...]


class QuotaUse(Message, frozen=True, array_like=True, tag=True):
    """What requests of accounts with a quota cost at an entry VM since its start.

    Accounts that are missing have cost nothing if `complete` is true, else the same as
    before. The control VM that gets it as `is_primary` counts the increments.
    """

    rows: tuple[AccountUse, ...]
    is_primary: bool
    complete: bool = False


class QuotaTotals(Message, frozen=True, array_like=True, tag=True):
    """What a control VM counted of accounts with a quota since its start.

    `members` is the number of entry VMs that it counts for, `running_ms` for how long
    it has known levels, and `heard` are the control VMs that it hears now.
    """

    rows: tuple[AccountTotal, ...]
    members: int
    running_ms: int
    heard: tuple[str, ...]
    complete: bool = False


class QuotaLevels(Message, frozen=True, array_like=True, tag=True):
    """Levels of accounts with a quota.

    The buckets of the accounts in `full` are full again. Accounts that are missing have
    a full bucket, too, if `complete` is true, else a level that follows from the one
    before.
    """

    rows: tuple[AccountLevel, ...]
    full: tuple[str, ...] = ()
    complete: bool = False


AnyMessage = (
    LinkHello
    | MemberHeartbeat
    | MemberUp
    | MemberDown
    | TargetSeen
    | TargetDoubted
    | TargetRefused
    | TargetSilent
    | TargetGone
    | TargetLeaving
    | TargetLimited
    | PromptBroke
    | PartsServed
    | RequestsCrashed
    | RequestsAnswered
    | TrialBegan
    | StreamsBegan
    | StreamAsked
    | RequestAsked
    | RequestBegan
    | RoutesChanged
    | EvacuationsChanged
    | Loads
    | EntryCounts
    | Capacities
    | QuotaUse
    | QuotaTotals
    | QuotaLevels
)
ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(AnyMessage)


def encode(message):
    """Return a message in MessagePack."""
    return ENCODER.encode(message)


def decode(data):
    """Return the decoded message, or raise `UnreadableDocumentError`."""
    return decode_with(DECODER, data)
