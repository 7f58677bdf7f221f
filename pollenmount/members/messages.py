"""Messages between nodes about members, failure domains and plans."""

from typing import NamedTuple

from pollenmount.bridge.control import register_call
from pollenmount.members.local import Pulse
from pollenmount.members.remote import Report, Roster, RosterKey
from pollenmount.members.table import Member

__all__ = ["FetchRosters", "Heartbeat", "Pull", "PullReply"]


class Heartbeat(NamedTuple):
    """Call and reply inside a failure domain; the first pulse is the sender's.

    `described` are descriptions that the receiver lacks, `unknown` the keys of those
    that the sender lacks; `remote_sequence_sum` tells how new its reports are.
    """

    failure_domain: str
    pulses: tuple[Pulse, ...]
    described: tuple[Member, ...]
    unknown: tuple[int, ...]
    remote_sequence_sum: int


class Pull(NamedTuple):
    """Call: the newer reports, please; carries the sender's own report.

    `stamps` maps the numbers of failure domains to the newest sequences held.
    With `seeking` the caller asks for addresses of its own failure domain's members.
    """

    failure_domain: str
    control: str
    plan_number: int
    report: Report | None
    stamps: dict[int, int]
    seeking: bool


class PullReply(NamedTuple):
    """Reports newer than the caller's stamps.

    `known` is the newest sequence heard of the caller's failure domain; `contacts` are
    control addresses there.
    """

    failure_domain: str
    plan_number: int
    known: int
    reports: tuple[Report, ...]
    contacts: tuple[str, ...]


class FetchRosters(NamedTuple):
    """Call: the rosters named; the reply holds those that the callee has."""

    keys: tuple[RosterKey, ...]


register_call(Heartbeat, Heartbeat)
register_call(Pull, PullReply)
register_call(FetchRosters, tuple[Roster, ...])
