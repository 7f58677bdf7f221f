"""Settings of one node: a JSON file checked against a schema.

Every fault is reported at once, with key, value and remedy. Unknown keys are faults.
"""

import json
from typing import NamedTuple

from jsonschema import Draft202012Validator

from pollenmount.errors import Fault, SettingsError

__all__ = ["Listen", "Settings", "check_settings", "load_settings"]

ADDRESS = {"type": "string", "pattern": r"^[0-9a-fA-F.:\[\]]+:[0-9]{1,5}$"}
NAME = {"type": "string", "pattern": r"^[a-z0-9][a-z0-9.-]{0,62}$"}
NAME_OF_PLUGIN = {"type": "string", "pattern": "^[a-z][a-z_]{0,62}$"}
DIGEST = {"type": "string", "pattern": "^[0-9a-f]{64}$"}
LISTENERS = ("callers", "targets", "operators", "peers", "control")

SCHEMA = {
    "type": "object",
    "additionalProperties": False,
    "required": ["name", "region", "failure_domain", "listen", "peer_key", "groups"],
    "properties": {
        "name": NAME,
        "region": NAME,
        "failure_domain": NAME,
        "listen": {
            "type": "object",
            "additionalProperties": False,
            "required": list(LISTENERS),
            "properties": dict.fromkeys(LISTENERS, ADDRESS),
        },
        "data_folder": {"type": "string", "minLength": 1},
        "seeds": {"type": "array", "items": ADDRESS},
        "peer_key": {"type": "string", "minLength": 16},
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
        "policy": NAME_OF_PLUGIN,
        "max_body_bytes": {"type": "integer", "minimum": 1, "maximum": 1 << 30},
    },
}

REMEDIES = {
    "required": "add the key",
    "additionalProperties": "remove the key, or correct its spelling",
    "pattern": "use the form that docs/OPERATORS.md gives for this key",
    "type": "use a value of the type named",
    "enum": "use one of the values named",
    "minimum": "use a larger number",
    "maximum": "use a smaller number",
    "minLength": "use a longer text",
    "minProperties": "name at least one VM",
}
SHOWN_VALUE_CHARS = 60


class Listen(NamedTuple):
    """Addresses (`IP:port`) that a node listens on, one for each kind of peer."""

    callers: str
    targets: str
    operators: str
    peers: str
    control: str


class Settings(NamedTuple):
    """Checked settings. Durations are in milliseconds.

    `groups` names the first voters of each replicated log, VM name to control address.
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
    stop_delay_ms: int = 2000
    stop_limit_ms: int = 300_000
    max_body_bytes: int = 4 << 20
    policy: str = "adaptive"


def check_settings(document):
    """Return every fault of a parsed settings document, in the order of its keys."""
    errors = Draft202012Validator(SCHEMA).iter_errors(document)
    return [to_fault(error) for error in sorted(errors, key=lambda e: list(e.path))]


def to_fault(error):
    """Return the fault for one schema error; secret values are not shown."""
    key = ".".join(str(part) for part in error.path) or "(top level)"
    if "peer_key" in key:
        return Fault(key, "is not a usable secret", "use 16 or more characters")
    problem = error.message[: SHOWN_VALUE_CHARS * 3]
    return Fault(key, problem, REMEDIES.get(error.validator, "correct the value"))


def load_settings(path):
    """Return the settings in the file at `path`, or raise `SettingsError`."""
    try:
        with open(path, encoding="utf-8") as file:
            document = json.load(file)
    except (OSError, ValueError) as error:
        fault = Fault(str(path), str(error), "give the path of a readable JSON file")
        raise SettingsError([fault]) from error
    faults = check_settings(document)
    if faults:
        raise SettingsError(faults)
    document["listen"] = Listen(**document["listen"])
    document["seeds"] = tuple(document.get("seeds", ()))
    return Settings(**document)
