"""Calls between nodes that concern groups."""

from enum import StrEnum
from typing import NamedTuple

import msgspec

from pollenmount.bridge.control import register_call
from pollenmount.consensus import messages
from pollenmount.consensus.messages import Replica

__all__ = [
    "Exchange",
    "Fate",
    "Hello",
    "HelloReply",
    "Packed",
    "Propose",
    "ProposeReply",
    "pack",
    "unpack",
]

BETWEEN_REPLICAS = (
    messages.PreVoteRequest,
    messages.PreVoteReply,
    messages.VoteRequest,
    messages.VoteReply,
    messages.Append,
    messages.AppendReply,
    messages.InstallSnapshot,
    messages.TimeoutNow,
)
TYPES = {type_.__name__: type_ for type_ in BETWEEN_REPLICAS}


class Fate(StrEnum):
    """What became of a proposal; the caller may try again after any but `applied`."""

    APPLIED = "applied"
    NOT_APPENDED = "not_appended"
    NO_ROOM = "no_room"
    UNKNOWN = "unknown"


class Propose(NamedTuple):
    """Call: apply an encoded command to a group's machine."""

    group: str
    command: str
    body: bytes


class ProposeReply(NamedTuple):
    """The encoded answer; `leader` is the address to ask when this VM isn't it.

    With `not_appended` and `no_room` it is proved that the command is not in the log.
    """

    applied: bool
    answer: bytes
    leader: str
    fate: Fate = Fate.NOT_APPENDED


class Packed(NamedTuple):
    """A message between replicas, encoded."""

    kind: str
    body: bytes


class Exchange(NamedTuple):
    """Call and reply: messages from one replica to another, in order."""

    group: str
    sender: Replica
    to: Replica
    messages: tuple[Packed, ...]


class Hello(NamedTuple):
    """Call: a replica that is no voter tells that it is there."""

    group: str
    replica: Replica


class HelloReply(NamedTuple):
    """The replica of the VM asked, if it has one; `blank` if it knows of no group.

    `leader` is the address of the leader that it follows, '' for none; `may_start`
    whether it has been up since the fleet started for the first time.
    """

    replica: Replica | None
    blank: bool
    leader: str = ""
    may_start: bool = False


register_call(Propose, ProposeReply)
register_call(Exchange, Exchange)
register_call(Hello, HelloReply)


def pack(message):
    """Return a message between replicas as `Packed`."""
    return Packed(type(message).__name__, msgspec.msgpack.encode(message))


def unpack(packed):
    """Return the message in a `Packed`."""
    return msgspec.msgpack.decode(packed.body, type=TYPES[packed.kind])
