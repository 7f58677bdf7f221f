"""Messages on the links between VMs, and the records they carry.

Ages and remaining times are durations, since the clocks of two VMs aren't synchronised.
"""

from typing import NamedTuple

import msgspec

__all__ = [
    "CONTROL",
    "ENTRY",
    "MemberHeartbeat",
    "EvacuationsChanged",
    "LinkHello",
    "Loads",
    "MemberDown",
    "MemberRecord",
    "MemberUp",
    "RoutesChanged",
    "TargetGone",
    "TargetLoad",
    "TargetRecord",
    "TargetSeen",
    "TargetSilent",
    "decode",
    "encode",
]

ENTRY = "entry"
CONTROL = "control"


class MemberRecord(NamedTuple):
    """What a VM publishes about itself.

    `started` is the wall-clock time of its start in milliseconds; (`started`,
    `sequence`) orders its records. Addresses that don't apply to the role are empty.
    `plan` is the version in force, `ready` whether callers may be sent there.
    """

    name: str
    incarnation: str
    started: int
    sequence: int
    role: str
    region: str
    failure_domain: str
    caller_address: str
    hop_address: str
    link_address: str
    consensus_address: str
    plan: int
    ready: bool
    stopping: bool


class TargetRecord(NamedTuple):
    """What a target publishes about itself in a heartbeat.

    `born` is the wall-clock time of its start in milliseconds; `sequence` increases
    with each heartbeat after that start. `cold_ms` is the remaining warm-up time.
    """

    id: str
    born: int
    sequence: int
    service: str
    address: str
    failure_domain: str
    version: str
    slots: int
    draining: bool
    cold_ms: int

    @property
    def order_key(self):
        """Return the key by which records of one target are ordered, oldest first."""
        return self.born, self.sequence


class TargetLoad(NamedTuple):
    """Load on a target: requests in flight, and prompt tokens not yet processed.

    `streams` counts the requests whose output takes longer than their prompt.
    """

    id: str
    requests: int
    tokens: int
    streams: int = 0


class Message(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base class of the messages on a link."""


class LinkHello(Message, frozen=True, array_like=True, tag="Link"):
    """First message of a client on a link."""

    member: MemberRecord


class MemberHeartbeat(Message, frozen=True, array_like=True, tag="Beat"):
    """Periodic message of a member: its record and its load on each target.

    `wants_loads` requests `Loads` at short intervals on this link.
    """

    member: MemberRecord
    loads: tuple[TargetLoad, ...] = ()
    wants_loads: bool = True


class MemberUp(Message, frozen=True, array_like=True, tag=True):
    """A member has joined, or its record has changed."""

    member: MemberRecord


class MemberDown(Message, frozen=True, array_like=True, tag=True):
    """The sender no longer lists a member."""

    name: str
    incarnation: str


class TargetSeen(Message, frozen=True, array_like=True, tag=True):
    """A heartbeat of a target arrived `age_ms` ago."""

    target: TargetRecord
    age_ms: int


class TargetSilent(Message, frozen=True, array_like=True, tag=True):
    """A target has missed several heartbeats."""

    id: str


class TargetGone(Message, frozen=True, array_like=True, tag=True):
    """A target has left; `born` identifies its incarnation."""

    id: str
    born: int


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
    """Total load of all members on each target; also the server's heartbeat."""

    loads: tuple[TargetLoad, ...]


AnyMessage = (
    LinkHello
    | MemberHeartbeat
    | MemberUp
    | MemberDown
    | TargetSeen
    | TargetSilent
    | TargetGone
    | RoutesChanged
    | EvacuationsChanged
    | Loads
)
ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(AnyMessage)


def encode(message):
    """Return a message in MessagePack."""
    return ENCODER.encode(message)


def decode(data):
    """Return the decoded message, or raise `msgspec.DecodeError`."""
    return DECODER.decode(data)
