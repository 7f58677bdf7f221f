"""Settings of one VM of the gateway, loaded and validated from a JSON file.

Every error names the key and a remedy. Unknown keys are ignored, since the platform
that writes the file may add some.
"""

from typing import Annotated, NamedTuple

import msgspec

from pollenmount.accounts.limits import QuotaBounds
from pollenmount.documents import (
    MAX_DURATION_MS,
    Count,
    UnreadableDocumentError,
    decode_json,
)
from pollenmount.errors import Fault, SettingsError
from pollenmount.gateway.choose import FAMILY
from pollenmount.plugin import load_family
from pollenmount.retry_budget import RetryLimits
from pollenmount.wire.numbers import MAX_PORT, parse_port

__all__ = ["Bounds", "GatewaySettings", "Listen", "load_settings"]

MS_PER_S = 1000
MAX_BOUND = MAX_DURATION_MS // MS_PER_S
Port = Annotated[int, msgspec.Meta(ge=1, le=MAX_PORT)]
PortOrNone = Annotated[int, msgspec.Meta(ge=0, le=MAX_PORT)]
# Far more than any VM has; 0 means unknown.
MAX_LIMIT = 1 << 30
Limit = Annotated[int, msgspec.Meta(ge=0, le=MAX_LIMIT)]
HeartbeatMs = Annotated[int, msgspec.Meta(ge=1, le=MAX_DURATION_MS)]


class Listen(NamedTuple):
    """Listen addresses (`IP:port`) of a VM; '' for those that its role does not use."""

    callers: str
    readiness: str
    operators: str
    directory: str


class Bounds(NamedTuple):
    """Limits that the platform guarantees or requires.

    A planned stop may take `stop_grace_s`. In any window of `retry_window_s`, retries
    that reach a service must stay below `retry_share` of its requests plus
    `retry_slack`. Callers cache a directory entry for `entries_ttl_s` at most. The
    fields of quotas are as in `QuotaBounds`; the platform need not name them.
    """

    stop_grace_s: float
    retry_share: float
    retry_window_s: float
    retry_slack: float
    entries_ttl_s: float
    quota_window_s: float = 0
    quota_excess: float = 0
    quota_slack: float = 0

    @property
    def retry_limits(self):
        """Return the bounds of retries as `RetryLimits`."""
        window_ms = int(self.retry_window_s * MS_PER_S)
        return RetryLimits(window_ms, self.retry_share, self.retry_slack)

    @property
    def quota_bounds(self):
        """Return the bounds of quotas as `QuotaBounds`."""
        return QuotaBounds(self.quota_window_s, self.quota_excess, self.quota_slack)


class GatewaySettings(NamedTuple):
    """Validated settings.

    `seeds` are the operators' addresses of some control VMs. `first_port` and
    `last_port` are used for traffic between VMs, and are the same on all of them.
    `first_start` is true only when the whole fleet starts for the first time.
    `lost_disks` is the number of disks that may be lost at once. `failure_domains` maps
    each failure domain to its region. `chooser` is the name of the chooser.
    `memory_mb` is the memory of the process, and `max_descriptors` how many files and
    sockets it may open, both 0 if unknown.
    """

    name: str
    ip: str
    region: str
    failure_domain: str
    failure_domains: dict[str, str]
    listen: Listen
    first_port: int
    last_port: int
    seeds: tuple[str, ...]
    first_start: bool
    lost_disks: int
    heartbeat_ms: int
    bounds: Bounds
    data_folder: str = ""
    metrics_port: int = 0
    chooser: str = "expected_time"
    memory_mb: int = 0
    max_descriptors: int = 0

    @property
    def is_control(self):
        """Return whether this is a control VM, with the log and operators' calls."""
        return bool(self.listen.operators)

    @property
    def hops(self):
        """Return the address for requests from entry VMs of other regions."""
        return f"{self.ip}:{self.first_port}"

    @property
    def consensus(self):
        """Return the address for calls between replicas of the log."""
        return f"{self.ip}:{self.first_port}"

    @property
    def links(self):
        """Return the address for links from members."""
        return f"{self.ip}:{self.last_port}"

    def peer_ips(self):
        """Return the IPs of the seeds."""
        return tuple(seed.rpartition(":")[0] for seed in self.seeds)


class Document(msgspec.Struct):
    """Schema of the file; see `GatewaySettings`."""

    name: str
    ip: str
    region: str
    failure_domain: str
    failure_domains: dict[str, str]
    listen: dict[str, str]
    first_port: Port
    last_port: Port
    seeds: list[str]
    first_start: bool
    lost_disks: Count
    heartbeat_ms: HeartbeatMs
    bounds: dict[str, float]
    data_folder: str = ""
    metrics_port: PortOrNone = 0
    chooser: str = "expected_time"
    memory_mb: Limit = 0
    max_descriptors: Limit = 0


def load_settings(path):
    """Return the settings in the JSON file at `path`, or raise `SettingsError`."""
    try:
        with open(path, "rb") as file:
            document = decode_json(file.read(), Document)
        return to_settings(document)
    except (OSError, UnreadableDocumentError, TypeError) as error:
        fault = Fault(
            str(path), str(error), "correct this key, or the template of the file"
        )
        raise SettingsError([fault]) from error


def to_settings(document):
    """Return the settings for a decoded document, or raise `TypeError`."""
    values = msgspec.structs.asdict(document)
    values["listen"] = Listen(
        *(document.listen.get(name, "") for name in Listen._fields)
    )
    defaults = Bounds._field_defaults
    bounds = {
        name: document.bounds.get(name, defaults.get(name)) for name in Bounds._fields
    }
    missing = [name for name, value in bounds.items() if value is None]
    if missing:
        raise TypeError(f"bounds.{missing[0]} is missing")
    outside = [name for name, value in bounds.items() if not 0 <= value <= MAX_BOUND]
    if outside:
        raise TypeError(f"bounds.{outside[0]} must be from 0 to {MAX_BOUND}")
    check_ports(document)
    values["bounds"] = Bounds(**bounds)
    values["seeds"] = tuple(document.seeds)
    choosers = load_family(FAMILY)
    if document.chooser not in choosers:
        raise TypeError(f"chooser must be one of {', '.join(sorted(choosers))}")
    return GatewaySettings(**values)


def check_ports(document):
    """Raise `TypeError` for an address without a valid port."""
    addresses = {
        f"listen.{name}": document.listen.get(name, "") for name in Listen._fields
    }
    addresses |= {f"seeds.{n}": text for n, text in enumerate(document.seeds)}
    for key, address in addresses.items():
        if address and not parse_port(address.rpartition(":")[2]):
            raise TypeError(f"{key} must end with a port from 1 to {MAX_PORT}")
