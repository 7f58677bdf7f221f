"""Messages on the links between VMs, and the records that they carry.

Ages and remaining times are relative, since clocks of two VMs can't be compared.
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
    """One VM as others know it.

    `started` is the wall clock at its start, in milliseconds; with `sequence` it tells
    the newer of two records. Addresses that the role doesn't have are empty. `plan` is
    the version in force, `ready` whether callers may be sent there.
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
    """One target as it describes itself.

    `born` is the wall clock of its start in milliseconds, `sequence` grows with each
    heartbeat of that start. `cold_ms` is how much longer it is cold.
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
        """Return what tells the newer of two records of one target."""
        return self.born, self.sequence


class TargetLoad(NamedTuple):
    """Work at a target: requests, and prompt tokens that are still to be read.

    `streams` are those of the requests whose output takes longer than their prompt.
    """

    id: str
    requests: int
    tokens: int
    streams: int = 0


class Message(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base of all messages on a link."""


class LinkHello(Message, frozen=True, array_like=True, tag="Link"):
    """First message of a client on a link."""

    member: MemberRecord


class MemberHeartbeat(Message, frozen=True, array_like=True, tag="Beat"):
    """A member's record, repeated, with its work at each target.

    `wants_loads` asks for `Loads` at short intervals on this link.
    """

    member: MemberRecord
    loads: tuple[TargetLoad, ...] = ()
    wants_loads: bool = True


class MemberUp(Message, frozen=True, array_like=True, tag=True):
    """A member is there, or its record has changed."""

    member: MemberRecord


class MemberDown(Message, frozen=True, array_like=True, tag=True):
    """A member isn't heard any more."""

    name: str
    incarnation: str


class TargetSeen(Message, frozen=True, array_like=True, tag=True):
    """A target was heard `age_ms` ago."""

    target: TargetRecord
    age_ms: int


class TargetSilent(Message, frozen=True, array_like=True, tag=True):
    """A target has missed several heartbeats."""

    id: str


class TargetGone(Message, frozen=True, array_like=True, tag=True):
    """A target has left; `born` tells which start of it."""

    id: str
    born: int


class RoutesChanged(Message, frozen=True, array_like=True, tag=True):
    """The plan of routes; `document` is compressed."""

    revision: int
    version: int
    document: bytes


class EvacuationsChanged(Message, frozen=True, array_like=True, tag=True):
    """The failure domains that are evacuated."""

    revision: int
    failure_domains: tuple[str, ...]


class Loads(Message, frozen=True, array_like=True, tag=True):
    """Sums of the work of all members at the targets; also the server's heartbeat."""

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
    """Return the bytes of one message."""
    return ENCODER.encode(message)


def decode(data):
    """Return the message in `data`, or raise `msgspec.DecodeError`."""
    return DECODER.decode(data)
