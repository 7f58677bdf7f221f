"""Messages between nodes about members, failure domains and plans."""

from typing import NamedTuple

from pollenmount.bridge.control import register_call
from pollenmount.members.local import MemberHeartbeat
from pollenmount.members.remote import Report, Roster, RosterKey
from pollenmount.members.table import Member

__all__ = ["FetchRosters", "Heartbeat", "Pull", "PullReply"]


class Heartbeat(NamedTuple):
    """Call and reply inside a failure domain; the first heartbeat is the sender's.

    `descriptions` are those that the receiver lacks, `unknown_digests` name those that
    the sender lacks; `remote_sequence_sum` tells how new its reports are.
    """

    failure_domain: str
    heartbeats: tuple[MemberHeartbeat, ...]
    descriptions: tuple[Member, ...]
    unknown_digests: tuple[int, ...]
    remote_sequence_sum: int


class Pull(NamedTuple):
    """Call: the newer reports, please; carries the sender's own report.

    `known_sequences` maps the numbers of failure domains to the newest sequences held.
    With `wants_contacts` the caller asks for addresses of members of its own failure
    domain.
    """

    failure_domain: str
    control: str
    plan_number: int
    report: Report | None
    known_sequences: dict[int, int]
    wants_contacts: bool


class PullReply(NamedTuple):
    """Reports newer than the caller's `known_sequences`.

    `caller_sequence` is the newest sequence heard of the caller's failure domain;
    `contacts` are control addresses there.
    """

    failure_domain: str
    plan_number: int
    caller_sequence: int
    reports: tuple[Report, ...]
    contacts: tuple[str, ...]


class FetchRosters(NamedTuple):
    """Call: the rosters named; the reply holds those that the callee has."""

    keys: tuple[RosterKey, ...]


register_call(Heartbeat, Heartbeat)
register_call(Pull, PullReply)
register_call(FetchRosters, tuple[Roster, ...])
