"""Computes the table in docs/CAPACITY.md from the costs in bench/slopes.json.

`python -m scripts.capacity` writes the table into the page; with `--check` it only
compares and exits with status 1 if they differ.
"""

import sys
from pathlib import Path
from typing import NamedTuple

from bench import slopes

__all__ = ["make_page", "read_page"]

PAGE = Path(__file__).parent.parent / "docs" / "CAPACITY.md"
START = "<!-- table: python -m scripts.capacity -->\n"
END = "<!-- end of table -->\n"
DOMAINS = 24
NODES = 330
MEMBERS_PER_DOMAIN = 14
TARGETS = 30
CONTROL_VMS = 7
RELAYS = 2
CHANGES_A_DAY = 3100
DAY_S = 86_400
CHUNKS_A_SECOND = 950_000
REQUESTS_A_SECOND = 2100
BUDGET_MS = 17.0
BUDGET_BYTES = 7000
BUDGET_MB = 256
US_PER_MS = 1000
MB = 1_000_000
NOT_MEASURED = "not measured"


class ResourceCost(NamedTuple):
    """Cost of a mechanism for one node: messages, bytes and CPU ms, each a second."""

    role: str
    mechanism: str
    messages: float | None
    bytes: float | None
    cpu_ms: float | None


def resource_costs(measurements):
    """Yield the costs for each role at full size."""
    control = measurements["control"]
    size = control[f"members_{DOMAINS}x{MEMBERS_PER_DOMAIN}"]
    yield from membership_costs(control, size)
    yield from plan_push_costs(control)
    yield from announcement_costs(control)
    yield from consensus_costs(measurements)
    yield from data_path_costs(measurements)


def membership_costs(control, size):
    """Yield costs of heartbeats and reports: any node, a relay, the busiest relay."""
    bridge = control["bridge"]
    tables_ms = size["tables_us_a_second"] / US_PER_MS
    for role, messages, payload_bytes in (
        ("every node", size["plain_messages"], size["plain_bytes"]),
        ("relay", size["relay_messages"], size["relay_bytes"]),
        ("busiest relay", size["relay_messages"], size["most_bytes"]),
    ):
        cpu_ms = messages * bridge["call_us"] / 2 / US_PER_MS + tables_ms
        wire_bytes = payload_bytes + messages * bridge["call_framing_bytes"]
        yield ResourceCost(role, "heartbeats and reports", messages, wire_bytes, cpu_ms)


def plan_push_costs(control):
    """Yield the costs of distributing plan changes along the push tree."""
    changes = CHANGES_A_DAY / DAY_S
    call_ms = control["bridge"]["call_us"] / 2 / US_PER_MS
    sheet = control["sheet"]
    apply_ms = (sheet["sheet_parse_us"] + sheet["sheet_edit_us"]) / US_PER_MS
    push_bytes = sheet["sheet_edit_bytes"] + control["bridge"]["call_framing_bytes"]
    members_per_relay = (MEMBERS_PER_DOMAIN - RELAYS) / RELAYS
    for role, pushes in (
        ("every node", 1),
        ("relay", CONTROL_VMS + members_per_relay),
        ("control VM", DOMAINS * RELAYS),
    ):
        cost_ms = changes * (pushes * call_ms + apply_ms)
        yield ResourceCost(
            role,
            "plans, pushed as edits",
            changes * pushes,
            changes * pushes * push_bytes,
            cost_ms,
        )


def announcement_costs(control):
    """Yield the costs of announcements: as built, and if sent to two VMs only."""
    announcement = control["announcement"]
    each_ms = announcement["announcement_http_us"] / US_PER_MS
    for mechanism, rate in (
        ("announcements, each target to every VM", TARGETS),
        (
            "announcements, each target to two VMs (not built)",
            TARGETS * 2 / MEMBERS_PER_DOMAIN,
        ),
    ):
        size = rate * announcement["announcement_bytes"]
        yield ResourceCost("every node", mechanism, rate, size, rate * each_ms)


def consensus_costs(measurements):
    """Yield the costs of the replicated logs, if bench/groups.py has stored them."""
    groups = measurements.get("groups", {})
    for role in ("plans_leader", "plans_follower", "actions_leader"):
        cost = groups.get(role, {})
        yield ResourceCost(
            role.replace("_", " "),
            "replicated log",
            cost.get("messages"),
            cost.get("bytes"),
            cost.get("cpu_ms"),
        )


def data_path_costs(measurements):
    """Yield the costs of the data path, which the budget for control excludes."""
    for name, key, rate in (
        ("streamed chunks", "chunk_us", CHUNKS_A_SECOND / NODES),
        ("short requests", "short_request_us", REQUESTS_A_SECOND / NODES),
    ):
        cost = measurements.get(key)
        cpu_ms = None if cost is None else rate * cost / US_PER_MS
        yield ResourceCost("every node", f"data path: {name}", rate, None, cpu_ms)


def format_cell(value, digits=1):
    """Return the text of a table cell."""
    return NOT_MEASURED if value is None else f"{value:,.{digits}f}"


def page_lines(measurements):
    """Yield the lines of the table and of the statements derived from it."""
    yield "| role | mechanism | messages/s | bytes/s | ms of a core/s |"
    yield "|---|---|---|---|---|"
    for cost in resource_costs(measurements):
        cells = (
            format_cell(cost.messages, 2),
            format_cell(cost.bytes, 0),
            format_cell(cost.cpu_ms, 2),
        )
        yield f"| {cost.role} | {cost.mechanism} | {' | '.join(cells)} |"
    yield ""
    yield from memory_lines(measurements["control"])
    yield from limit_lines(measurements["control"])


def memory_lines(control):
    """Yield the statement on the memory of a node."""
    process_mb = control["memory"]["node_bytes"] / MB
    state_mb = control[f"members_{DOMAINS}x{MEMBERS_PER_DOMAIN}"]["state_bytes"] / MB
    base_sheets_mb = 4 * control["sheet"]["sheet_bytes"] / MB
    yield (
        f"Memory: {process_mb:.1f} MB for a process that knows only itself, "
        f"{state_mb:.2f} MB for the tables of members, {base_sheets_mb:.2f} MB for the "
        f"sheets kept as bases of edits; budget {BUDGET_MB} MB."
    )


def limit_lines(control):
    """Yield the statements on the size at which the busiest relay reaches a budget."""
    full_size = control[f"members_{DOMAINS}x{MEMBERS_PER_DOMAIN}"]
    half_size = control[f"members_{DOMAINS // 2}x{MEMBERS_PER_DOMAIN}"]
    domain_bytes = (full_size["most_bytes"] - half_size["most_bytes"]) / (
        DOMAINS - DOMAINS // 2
    )
    framing_bytes = (
        full_size["relay_messages"] * control["bridge"]["call_framing_bytes"]
    )
    spare_domains = (
        BUDGET_BYTES - full_size["most_bytes"] - framing_bytes
    ) / domain_bytes
    growth_14_members = (
        control["members_3x28"]["most_bytes"] - control["members_3x14"]["most_bytes"]
    )
    yield ""
    yield (
        f"Bytes of the busiest relay grow by {domain_bytes:.0f} a second with each "
        f"failure domain and by {growth_14_members / 14:.0f} with each member of its "
        f"own; it reaches {BUDGET_BYTES:,} at {DOMAINS + spare_domains:.1f} failure "
        f"domains of {MEMBERS_PER_DOMAIN}."
    )
    calls = (BUDGET_MS - full_size["tables_us_a_second"] / US_PER_MS) / (
        control["bridge"]["call_us"] / 2 / US_PER_MS
    )
    yield (
        f"Processor time: {BUDGET_MS:.0f} ms a second pay for {calls:.1f} calls a "
        f"second at one end; a relay takes part in {full_size['relay_messages']:.1f}."
    )


def make_page(page, measurements):
    """Return the page with its table computed from the measurements."""
    before, _, after_start = page.partition(START)
    _, _, after = after_start.partition(END)
    table = "\n".join(page_lines(measurements)) + "\n"
    return before + START + table + END + after


def read_page():
    """Return the current text of the page."""
    return PAGE.read_text()


def main(args):
    """Write the page, or check it; return the exit status."""
    page = read_page()
    updated_page = make_page(page, slopes.load())
    if "--check" in args:
        if updated_page != page:
            print(
                "docs/CAPACITY.md is out of date: run python -m scripts.capacity",
                file=sys.stderr,
            )
        return int(updated_page != page)
    PAGE.write_text(updated_page)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
