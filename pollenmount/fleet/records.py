"""What VMs know of members, targets and services, as links carry it."""

from typing import NamedTuple

__all__ = [
    "CONTROL",
    "ENTRY",
    "AccountLevel",
    "AccountTotal",
    "AccountUse",
    "MemberRecord",
    "ServiceCapacity",
    "TargetLoad",
    "TargetRecord",
]

ENTRY = "entry"
CONTROL = "control"


class MemberRecord(NamedTuple):
    """What a VM publishes about itself.

    `started` is the wall-clock time of its start in milliseconds; (`started`,
    `sequence`) orders its records. Addresses that don't apply to the role are empty.
    `plan` is the version in force, `ready` whether callers may be sent there, and
    `has_paths` whether it reaches any target of its region, as far as it knows.
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
    has_paths: bool = True


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


class ServiceCapacity(NamedTuple):
    """Usable targets of a service in a region, and the load that a request would meet.

    `targets` counts those that accept new work now. `slots`, `requests`, `tokens` and
    `streams` are the means of the less loaded half, among which a VM of the region
    would choose. `reporters` is the number of entry VMs whose load is included, and
    `versions` are those of the targets' software, in order. `prompt_targets` counts the
    targets with few streams, and `prompt_tokens` and `prompt_requests` are the means of
    the less loaded half of these.
    """

    region: str
    service: str
    targets: int
    slots: int
    requests: int
    tokens: int
    streams: int
    reporters: int
    versions: tuple[str, ...] = ()
    prompt_targets: int = 0
    prompt_tokens: int = 0
    prompt_requests: int = 0


class AccountUse(NamedTuple):
    """What requests of an account cost at an entry VM since its start.

    `spent` is the cost of admitted requests, less refunds, and `asked` that of all.
    """

    name: str
    spent: int
    asked: int


class AccountTotal(NamedTuple):
    """What a control VM counted of an account since its start, and its level of it."""

    name: str
    spent: int
    asked: int
    level: float


class AccountLevel(NamedTuple):
    """Level of an account's bucket, which all entry VMs share.

    `asked_per_s` is the cost of its requests at all VMs, refused ones included, and
    `part` the part of its rate that refills the bucket here.
    """

    name: str
    level: float
    asked_per_s: float
    part: float = 1.0
