"""Validation rules for settings that can't be expressed in the schema.

Each rule is a function that takes the parsed document and yields its faults. It skips
keys that are missing or have the wrong type, since the schema check reports these.
"""

import ipaddress
import os

from pollenmount.errors import Fault
from pollenmount.wire.numbers import MAX_PORT, parse_port

__all__ = ["MIN_KEY_CHARS", "find_faults", "read_peer_key"]

MIN_KEY_CHARS = 16
PLANS_GROUP = "plans"
ACTIONS_GROUP_PREFIX = "actions/"


def find_faults(document):
    """Yield the faults found by all rules."""
    for rule in RULES:
        yield from rule(document)


def get_object(document, key):
    """Return the JSON object under `key`, or an empty dict if there is none."""
    value = document.get(key)
    return value if isinstance(value, dict) else {}


def iterate_addresses(document):
    """Yield (key, address) for each address in the document."""
    for listener, address in get_object(document, "listen").items():
        yield f"listen.{listener}", address
    seeds = document.get("seeds")
    for index, address in enumerate(seeds if isinstance(seeds, list) else ()):
        yield f"seeds.{index}", address
    for group, voters in get_object(document, "groups").items():
        for vm, address in voters.items() if isinstance(voters, dict) else ():
            yield f"groups.{group}.{vm}", address


def check_addresses(document):
    """Yield a fault for each address without a valid IP address and port."""
    for key, address in iterate_addresses(document):
        if isinstance(address, str) and (problem := find_address_problem(address)):
            remedy = "use IP:port, such as 10.0.0.1:8080 or [fd00::1]:8080"
            yield Fault(key, f"is {address!r}, {problem}", remedy)


def find_address_problem(address):
    """Return a description of the problem with an address, or None."""
    host, _, port = address.rpartition(":")
    if parse_port(port) is None:
        return f"whose port is not between 1 and {MAX_PORT}"
    bracketed = host.startswith("[") and host.endswith("]")
    try:
        ip = ipaddress.ip_address(host[1:-1] if bracketed else host)
    except ValueError:
        return "whose host is not an IP address"
    if bracketed != (ip.version == 6):
        return "which must have brackets around an IPv6 host, and around no other"
    if ip.is_unspecified or ip.is_multicast:
        return "which is unspecified or multicast, so other VMs can't reach it"
    return None


def check_listeners(document):
    """Yield a fault for each listener whose address another listener has already."""
    listener_by_address = {}
    for listener, address in get_object(document, "listen").items():
        if not isinstance(address, str):
            continue
        if address in listener_by_address:
            problem = f"is {address!r}, like listen.{listener_by_address[address]}"
            yield Fault(
                f"listen.{listener}", problem, "give each listener its own port"
            )
        listener_by_address.setdefault(address, listener)


def check_groups(document):
    """Yield faults in the names and voters of the replicated logs."""
    groups = get_object(document, "groups")
    if "groups" in document and PLANS_GROUP not in groups:
        yield Fault(
            "groups", f"has no {PLANS_GROUP!r}", "add it, with its first voters"
        )
    for group, voters in groups.items():
        if group != PLANS_GROUP and not group.startswith(ACTIONS_GROUP_PREFIX):
            remedy = f"use {PLANS_GROUP!r} or '{ACTIONS_GROUP_PREFIX}REGION'"
            yield Fault(f"groups.{group}", "is not a known log", remedy)
        if isinstance(voters, dict):
            yield from check_voters(document, group, voters)


def check_voters(document, group, voters):
    """Yield faults in the voters of one replicated log."""
    if len(set(map(str, voters.values()))) < len(voters):
        remedy = "give each voter its own control address"
        yield Fault(f"groups.{group}", "has two voters with the same address", remedy)
    name = document.get("name")
    if not isinstance(name, str) or name not in voters:
        return
    addresses = get_object(document, "listen") | get_object(document, "advertise")
    own_address = addresses.get("control")
    if own_address is not None and voters[name] != own_address:
        problem = (
            f"is {voters[name]!r}, but this VM's control address is {own_address!r}"
        )
        yield Fault(f"groups.{group}.{name}", problem, "make both the same")
    if "data_folder" not in document:
        problem = f"is missing, but {name!r} is a voter of {group!r}"
        remedy = "set a folder on a disk, or use another voter"
        yield Fault("data_folder", problem, remedy)


def check_data_folder(document):
    """Yield a fault if the data folder is not a directory or not writable."""
    folder = document.get("data_folder")
    if isinstance(folder, str) and folder and os.path.exists(folder):
        if not os.path.isdir(folder):
            yield Fault(
                "data_folder",
                f"is {folder!r}, not a folder",
                "set the path of a folder",
            )
        elif not os.access(folder, os.W_OK | os.X_OK):
            remedy = "give the process write permission"
            yield Fault("data_folder", f"is {folder!r}, not writable", remedy)


def check_peer_key(document):
    """Yield faults in the key that VMs share; the key itself is never printed."""
    given = [key for key in ("peer_key", "peer_key_file") if key in document]
    if len(given) != 1:
        problem = "is given twice" if given else "is missing"
        yield Fault("peer_key", problem, "set either peer_key or peer_key_file")
    path = document.get("peer_key_file")
    if not isinstance(path, str) or not path:
        return
    try:
        key = read_peer_key(path)
    except (OSError, UnicodeDecodeError) as error:
        problem = f"is {path!r}, not readable ({type(error).__name__})"
        yield Fault(
            "peer_key_file", problem, "set the path of a text file with the key"
        )
        return
    if len(key) < MIN_KEY_CHARS:
        remedy = f"put {MIN_KEY_CHARS} or more characters on its first line"
        yield Fault("peer_key_file", f"is {path!r}, whose key is too short", remedy)


def read_peer_key(path):
    """Return the key on the first line of a file."""
    with open(path, encoding="ascii") as file:
        return file.readline().strip()


RULES = (
    check_addresses,
    check_listeners,
    check_groups,
    check_data_folder,
    check_peer_key,
)
