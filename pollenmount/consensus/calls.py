"""Calls between nodes about replicated logs, and the messages that they carry."""

from enum import StrEnum
from typing import NamedTuple

import msgspec

from pollenmount.bridge.control import register_call
from pollenmount.consensus import messages
from pollenmount.consensus.messages import Replica
from pollenmount.documents import UnreadableDocumentError, decode_msgpack

__all__ = [
    "EncodedMessage",
    "Exchange",
    "Hello",
    "HelloReply",
    "ProposalOutcome",
    "Propose",
    "ProposeReply",
    "decode_message",
    "encode_message",
]

REPLICA_MESSAGES = (
    messages.PreVoteRequest,
    messages.PreVoteReply,
    messages.VoteRequest,
    messages.VoteReply,
    messages.Append,
    messages.AppendReply,
    messages.InstallSnapshot,
    messages.TimeoutNow,
)
MESSAGE_TYPES = {type_.__name__: type_ for type_ in REPLICA_MESSAGES}


class ProposalOutcome(StrEnum):
    """Outcome of a proposal; after any but `applied` the caller may try again."""

    APPLIED = "applied"
    NOT_APPENDED = "not_appended"
    DISK_FULL = "no_room"
    UNKNOWN = "unknown"


class Propose(NamedTuple):
    """Call: append an encoded command to a group's log and apply it."""

    group: str
    command: str
    body: bytes


class ProposeReply(NamedTuple):
    """The outcome of a proposal, and the encoded answer if it was applied.

    `leader` is the address of the leader that the replica follows, '' for none. The
    outcomes `not_appended` and `no_room` guarantee that the command isn't in the log.
    """

    applied: bool
    answer: bytes
    leader: str
    outcome: ProposalOutcome = ProposalOutcome.NOT_APPENDED


class EncodedMessage(NamedTuple):
    """A message between replicas: the name of its type and its encoding."""

    kind: str
    body: bytes


class Exchange(NamedTuple):
    """Call and reply: messages from one replica to another, in order."""

    group: str
    sender: Replica
    to: Replica
    messages: tuple[EncodedMessage, ...]


class Hello(NamedTuple):
    """Call: a replica without a group or a leader announces itself.

    `voters` are the names of the first voters in its settings.
    """

    group: str
    replica: Replica
    voters: tuple[str, ...] = ()


class HelloReply(NamedTuple):
    """The replica on the VM that was called, or None if it has none of this group.

    `uninitialized` is set if that replica belongs to no group yet. `leader` is the
    address of the leader that it follows, '' for none. `may_bootstrap` is set if the
    VM is a witness that the voters in the call have created no group. `knows_group` is
    set if the VM has heard of a group, whether it belongs to it or not.
    """

    replica: Replica | None
    uninitialized: bool
    leader: str = ""
    may_bootstrap: bool = False
    knows_group: bool = False


register_call(Propose, ProposeReply)
register_call(Exchange, Exchange)
register_call(Hello, HelloReply)


def encode_message(message):
    """Return a message between replicas as `EncodedMessage`."""
    return EncodedMessage(type(message).__name__, msgspec.msgpack.encode(message))


def decode_message(encoded):
    """Return the message, or raise `UnreadableDocumentError`."""
    if encoded.kind not in MESSAGE_TYPES:
        raise UnreadableDocumentError(f"unknown message {encoded.kind!r}")
    return decode_msgpack(encoded.body, MESSAGE_TYPES[encoded.kind])
