"""Records that the messages on links carry."""

from typing import NamedTuple

__all__ = ["MemberRecord", "ServiceCapacity", "TargetLoad", "TargetRecord"]


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


class ServiceCapacity(NamedTuple):
    """Usable targets of a service in a region, and the load that a request would meet.

    `targets` counts those that accept new work now. `slots`, `requests`, `tokens` and
    `streams` are the means of the less loaded half, among which a VM of the region
    would choose. `reporters` is the number of entry VMs whose load is included, and
    `versions` are those of the targets' software, in order.
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
