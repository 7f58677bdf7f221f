"""Settings of one node: a JSON file checked against a schema and a set of rules.

All faults are reported at once, each with key, value and remedy. Unknown keys are
faults. The values of secrets are never printed.
"""

import json
from typing import NamedTuple

from jsonschema import Draft202012Validator

from pollenmount.documents import UnreadableDocumentError, check_depth
from pollenmount.errors import Fault, SettingsError
from pollenmount.settings_rules import MIN_KEY_CHARS, find_faults, read_peer_key

__all__ = ["Listen", "Settings", "check_settings", "load_settings"]

ADDRESS = {"type": "string", "pattern": r"^[0-9a-fA-F.:\[\]]+:[0-9]{1,5}$"}
NAME = {"type": "string", "pattern": r"^[a-z0-9][a-z0-9.-]{0,62}$"}
PLUGIN_NAME = {"type": "string", "pattern": "^[a-z][a-z_]{0,62}$"}
DIGEST = {"type": "string", "pattern": "^[0-9a-f]{64}$"}
LISTENER_NAMES = ("callers", "targets", "operators", "peers", "control")

SCHEMA = {
    "type": "object",
    "additionalProperties": False,
    "required": ["name", "region", "failure_domain", "listen", "groups"],
    "properties": {
        "name": NAME,
        "region": NAME,
        "failure_domain": NAME,
        "listen": {
            "type": "object",
            "additionalProperties": False,
            "required": list(LISTENER_NAMES),
            "properties": dict.fromkeys(LISTENER_NAMES, ADDRESS),
        },
        "advertise": {
            "type": "object",
            "additionalProperties": False,
            "properties": dict.fromkeys(LISTENER_NAMES, ADDRESS),
        },
        "data_folder": {"type": "string", "minLength": 1},
        "seeds": {"type": "array", "items": ADDRESS},
        "peer_key": {"type": "string", "minLength": MIN_KEY_CHARS},
        "peer_key_file": {"type": "string", "minLength": 1},
        "operator_keys": {"type": "object", "additionalProperties": DIGEST},
        "groups": {
            "type": "object",
            "additionalProperties": {
                "type": "object",
                "minProperties": 1,
                "additionalProperties": ADDRESS,
            },
        },
        "log_level": {"enum": ["DEBUG", "INFO", "WARNING", "ERROR"]},
        "heartbeat_ms": {"type": "integer", "minimum": 50, "maximum": 10_000},
        "target_ttl_ms": {"type": "integer", "minimum": 200, "maximum": 10_000},
        "stop_delay_ms": {"type": "integer", "minimum": 0, "maximum": 60_000},
        "stop_limit_ms": {"type": "integer", "minimum": 0, "maximum": 3_600_000},
        "policy": PLUGIN_NAME,
        "max_body_bytes": {"type": "integer", "minimum": 1, "maximum": 1 << 30},
        "memory_mb": {"type": "integer", "minimum": 0, "maximum": 1 << 30},
        "max_descriptors": {"type": "integer", "minimum": 0, "maximum": 1 << 30},
    },
}

REMEDIES = {
    "required": "add the key",
    "additionalProperties": "remove the key, or correct its spelling",
    "type": "use a value of the given type",
    "enum": "use one of the listed values",
    "minimum": "use a larger number",
    "maximum": "use a smaller number",
    "minLength": "use a longer string",
    "minProperties": "add at least one VM",
}
PATTERN_REMEDIES = {
    ADDRESS["pattern"]: "use IP:port, such as 10.0.0.1:8080",
    NAME["pattern"]: "use lower-case letters, digits, dots and hyphens",
}
SECRET_REMEDIES = {
    "peer_key": f"use {MIN_KEY_CHARS} or more characters",
    "operator_keys": "map each operator to the SHA-256 of the key, in hexadecimal",
}
TOP_LEVEL = "(top level)"
MAX_SHOWN_CHARS = 180


class Listen(NamedTuple):
    """Listen addresses (`IP:port`) of a node, one for each kind of connection."""

    callers: str
    targets: str
    operators: str
    peers: str
    control: str


class Settings(NamedTuple):
    """Validated settings. Durations are in milliseconds.

    `groups` maps each replicated log to its first voters, and these from VM name to
    control address. `advertise` holds the addresses at which others reach this node,
    where they differ from `listen`. `memory_mb` and `max_descriptors` are limits of the
    process, 0 if unknown.
    """

    name: str
    region: str
    failure_domain: str
    listen: Listen
    peer_key: str
    groups: dict[str, dict[str, str]]
    data_folder: str | None = None
    seeds: tuple[str, ...] = ()
    operator_keys: dict[str, str] = {}
    log_level: str = "INFO"
    heartbeat_ms: int = 1000
    target_ttl_ms: int = 3000
    stop_delay_ms: int = 6000
    stop_limit_ms: int = 300_000
    max_body_bytes: int = 4 << 20
    memory_mb: int = 0
    max_descriptors: int = 0
    policy: str = "adaptive"
    advertise: dict[str, str] = {}

    @property
    def advertised(self):
        """Return the addresses at which others reach this node, for each listener."""
        return self.listen._replace(**self.advertise)


def check_settings(document):
    """Return all faults of a parsed document: schema errors by key, then rules."""
    errors = sorted(
        Draft202012Validator(SCHEMA).iter_errors(document),
        key=lambda error: [str(part) for part in error.path],
    )
    faults = [to_fault(error) for error in errors]
    if isinstance(document, dict):
        reported = {fault.where for fault in faults}
        faults += [f for f in find_faults(document) if f.where not in reported]
    return faults


def to_fault(error):
    """Return the `Fault` for a schema error, without the values of secrets."""
    key = ".".join(str(part) for part in error.path) or TOP_LEVEL
    top_level_key = str(error.path[0]) if error.path else ""
    if top_level_key in SECRET_REMEDIES:
        return Fault(key, "is invalid", SECRET_REMEDIES[top_level_key])
    if error.validator == "pattern":
        problem = f"is {error.instance!r}"[:MAX_SHOWN_CHARS]
        return Fault(key, problem, PATTERN_REMEDIES[error.validator_value])
    if key == TOP_LEVEL and error.validator == "type":
        return Fault(
            key, "is not a JSON object", "write the settings as one JSON object"
        )
    remedy = REMEDIES.get(error.validator, "correct the value")
    return Fault(key, error.message[:MAX_SHOWN_CHARS], remedy)


def read_document(path):
    """Return the parsed JSON file at `path`; duplicate keys raise `SettingsError`."""
    repeated = []

    def collect_repeated_names(pairs):
        names = [name for name, _ in pairs]
        repeated.extend(name for name in set(names) if names.count(name) > 1)
        return dict(pairs)

    try:
        with open(path, "rb") as file:
            data = file.read()
        check_depth(data)
        document = json.loads(data.decode(), object_pairs_hook=collect_repeated_names)
    except (OSError, ValueError, UnreadableDocumentError) as error:
        fault = Fault(str(path), str(error), "give the path of a readable JSON file")
        raise SettingsError([fault]) from error
    if repeated:
        faults = [
            Fault(n, "is a duplicate key", "keep only one of them")
            for n in sorted(repeated)
        ]
        raise SettingsError(faults)
    return document


def load_settings(path):
    """Return the settings in the file at `path`, or raise `SettingsError`."""
    document = read_document(path)
    faults = check_settings(document)
    if faults:
        raise SettingsError(faults)
    key_file = document.pop("peer_key_file", None)
    if key_file:
        document["peer_key"] = read_peer_key(key_file)
    document["listen"] = Listen(**document["listen"])
    document["seeds"] = tuple(document.get("seeds", ()))
    return Settings(**document)
