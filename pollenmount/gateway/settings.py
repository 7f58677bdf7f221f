"""Settings of one VM of the gateway: a JSON file, checked as a whole.

Every fault names the key and the remedy. Unknown keys are ignored, since the platform
that writes the file may add some.
"""

from typing import NamedTuple

import msgspec

from pollenmount.errors import Fault, SettingsError
from pollenmount.gateway.choose import FAMILY
from pollenmount.plugin import load_family

__all__ = ["Bounds", "GatewaySettings", "Listen", "load_settings"]


class Listen(NamedTuple):
    """Addresses (`IP:port`) that a VM listens on; '' where its role has none."""

    callers: str
    readiness: str
    operators: str
    directory: str


class Bounds(NamedTuple):
    """What the platform promises or demands.

    A planned stop may take `stop_grace_s`. In any `retry_window_s` the arrivals at a
    service beyond the first of each request stay below `retry_share` of its requests
    and `retry_slack` more. Callers keep a directory entry for `entries_ttl_s` at most.
    """

    stop_grace_s: float
    retry_share: float
    retry_window_s: float
    retry_slack: float
    entries_ttl_s: float


class GatewaySettings(NamedTuple):
    """Checked settings.

    `seeds` are operators' addresses of some control VMs. `first_port` and `last_port`
    are free for traffic between VMs, alike on all of them. `first_start` is true only
    when the whole fleet starts for the first time. `lost_disks` is how many disks may
    be lost at once. `failure_domains` maps each to its region. `chooser` names the way
    in which targets are chosen.
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

    @property
    def is_control(self):
        """Return whether this VM holds the log and serves operators."""
        return bool(self.listen.operators)

    @property
    def hops(self):
        """Return the address for requests of entry VMs of other regions."""
        return f"{self.ip}:{self.first_port}"

    @property
    def consensus(self):
        """Return the address for calls between replicas of the log."""
        return f"{self.ip}:{self.first_port}"

    @property
    def links(self):
        """Return the address for links of members."""
        return f"{self.ip}:{self.last_port}"

    def peer_ips(self):
        """Return the IPs of the seeds."""
        return tuple(seed.rpartition(":")[0] for seed in self.seeds)


class Document(msgspec.Struct):
    """The file as written; see `GatewaySettings`."""

    name: str
    ip: str
    region: str
    failure_domain: str
    failure_domains: dict[str, str]
    listen: dict[str, str]
    first_port: int
    last_port: int
    seeds: list[str]
    first_start: bool
    lost_disks: int
    heartbeat_ms: int
    bounds: dict[str, float]
    data_folder: str = ""
    metrics_port: int = 0
    chooser: str = "expected_time"


def load_settings(path):
    """Return the settings in the JSON file at `path`, or raise `SettingsError`."""
    try:
        with open(path, "rb") as file:
            document = msgspec.json.decode(file.read(), type=Document)
        return to_settings(document)
    except (OSError, msgspec.DecodeError, TypeError, UnicodeDecodeError) as error:
        fault = Fault(str(path), str(error), "correct the key named, or its template")
        raise SettingsError([fault]) from error


def to_settings(document):
    """Return the settings that a checked document means."""
    values = msgspec.structs.asdict(document)
    values["listen"] = Listen(
        *(document.listen.get(name, "") for name in Listen._fields)
    )
    bounds = {name: document.bounds.get(name) for name in Bounds._fields}
    missing = [name for name, value in bounds.items() if value is None]
    if missing:
        raise TypeError(f"bounds.{missing[0]} is missing")
    values["bounds"] = Bounds(**bounds)
    values["seeds"] = tuple(document.seeds)
    choosers = load_family(FAMILY)
    if document.chooser not in choosers:
        raise TypeError(f"chooser must be one of {', '.join(sorted(choosers))}")
    return GatewaySettings(**values)
