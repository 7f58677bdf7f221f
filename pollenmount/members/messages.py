"""Messages between nodes about members, failure domains and crashes of targets."""

from typing import NamedTuple

from pollenmount.bridge.control import register_call
from pollenmount.documents import Count, Counter, DurationMs
from pollenmount.members.local import MemberHeartbeat
from pollenmount.members.remote import Report, Roster, RosterKey
from pollenmount.members.table import Member

__all__ = [
    "AnsweredReport",
    "CrashReport",
    "FetchRosters",
    "Heartbeat",
    "Pull",
    "PullReply",
    "ShareCrashes",
]


class Heartbeat(NamedTuple):
    """Call and reply in a failure domain; the first heartbeat is the sender's.

    `descriptions` are those that the receiver lacks, `unknown_digests` identify those
    that the sender lacks. A node with newer reports has a higher `remote_sequence_sum`.
    """

    failure_domain: str
    heartbeats: tuple[MemberHeartbeat, ...]
    descriptions: tuple[Member, ...]
    unknown_digests: tuple[int, ...]
    remote_sequence_sum: Count


class Pull(NamedTuple):
    """Call: get newer reports and pass on the sender's own one.

    `known_sequences` maps the key of a failure domain to the highest sequence known.
    With `wants_contacts` the caller asks for addresses of members of its own failure
    domain.
    """

    failure_domain: str
    control: str
    plan_number: int
    report: Report | None
    known_sequences: dict[int, Counter]
    wants_contacts: bool


class PullReply(NamedTuple):
    """Reply with the reports newer than the caller's `known_sequences`.

    `caller_sequence` is the highest sequence known of the caller's failure domain;
    `contacts` are control addresses of its members.
    """

    failure_domain: str
    plan_number: int
    caller_sequence: Counter
    reports: tuple[Report, ...]
    contacts: tuple[str, ...]


class FetchRosters(NamedTuple):
    """Call: get the rosters with these keys; the reply holds those that are known."""

    keys: tuple[RosterKey, ...]


class CrashReport(NamedTuple):
    """A target crashed while it had a request, or shortly after.

    `target` names it with its failure domain, `call` is the id of the call, and
    `digest` that of the request. `late` is as in `Crash`.
    """

    target: str
    incarnation: str
    call: str
    digest: str
    age_ms: DurationMs
    late: bool


class AnsweredReport(NamedTuple):
    """A target answered a request, or was still up a while after it (`survived`)."""

    digest: str
    survived: bool


class ShareCrashes(NamedTuple):
    """Call: tell a member what crashes targets, and what does not.

    `share` selects the members that a relay passes it on to. The reply has reports of
    other crashes of the same requests.
    """

    crashes: tuple[CrashReport, ...]
    answered: tuple[AnsweredReport, ...]
    share: int | None


register_call(Heartbeat, Heartbeat)
register_call(Pull, PullReply)
register_call(FetchRosters, tuple[Roster, ...])
register_call(ShareCrashes, tuple[CrashReport, ...])
