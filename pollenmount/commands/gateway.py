"""Requests to a VM of the HTTP gateway, and tables of its state."""

from absl import flags

from pollenmount.commands.base import format_table, request_json
from pollenmount.gateway.state import STATE_PATH

__all__ = ["define_gateway_flag", "fetch_state", "render_routes", "render_state"]


def define_gateway_flag(flag_values):
    """Define the flag that names the VM of the HTTP gateway to send requests to."""
    flags.DEFINE_string(
        "gateway",
        "",
        "metrics address of a VM of the HTTP gateway",
        flag_values=flag_values,
    )


def fetch_state(address):
    """Return the state document of a VM, or raise `NodeError`."""
    _, document = request_json(
        *("GET", f"http://{address}{STATE_PATH}"),
        *("name another VM with --gateway", "give a VM's metrics address"),
    )
    return document


def render_routes(document):
    """Return the routes in force as a table."""
    header = ("route", "host", "prefix", "repeat", "timeout", "services", "homes")
    rows = [
        (
            route["name"],
            route["host"],
            route["prefix"],
            route["repeat"],
            f"{route['timeout_ms']} ms",
            " ".join(f"{k}:{weight}" for k, weight in route["services"].items()),
            " ".join(route["homes"]) or "any",
        )
        for route in document["routes"]
    ]
    return format_table(header, rows)


def render_state(document):
    """Return the VM, its members, targets and evacuations as tables."""
    vm = document["vm"]
    evacuated = ", ".join(document["evacuations"]["failure_domains"]) or "none"
    summary = (
        f"{vm['name']}: plan {vm['plan']}, {describe_vm(vm)}; evacuated: {evacuated}"
    )
    members = [
        (
            member["name"],
            member["role"],
            member["failure_domain"],
            str(member["plan"]),
            describe_vm(member),
        )
        for member in document["members"]
    ]
    targets = [
        (
            target["name"],
            target["service"],
            target["address"],
            target["failure_domain"],
            describe_target(target),
            f"{target['age_ms']} ms",
        )
        for target in document["targets"]
    ]
    member_header = ("vm", "role", "failure domain", "plan", "state")
    target_header = (
        *("target", "service", "address", "failure domain"),
        *("state", "last heartbeat"),
    )
    tables = (
        format_table(member_header, members),
        format_table(target_header, targets),
    )
    return "\n\n".join((summary, *tables))


def describe_vm(vm):
    """Return the state of a VM as a short text."""
    if vm["stopping"]:
        return "stopping"
    return "ready" if vm["ready"] else "not ready"


def describe_target(target):
    """Return the state of a target as a short text."""
    if target["draining"]:
        return "draining"
    if not target["vouched"]:
        return "silent"
    if target["cold_ms"]:
        return f"cold for {target['cold_ms']} ms"
    return "ready"
