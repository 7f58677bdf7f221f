"""Works out docs/CAPACITY.md's table from the slopes in bench/slopes.json.

`python -m scripts.capacity` writes the table into the page; with `--check` it fails
when the page says otherwise.
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
NEAR = 14
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
UNKNOWN = "not measured"


class Term(NamedTuple):
    """What one mechanism costs a node: messages, bytes, ms of processor time."""

    role: str
    mechanism: str
    messages: float | None
    bytes: float | None
    cpu_ms: float | None


def terms(known):
    """Yield the terms of each role at full size."""
    control = known["control"]
    size = control[f"members_{DOMAINS}x{NEAR}"]
    yield from members_terms(control, size)
    yield from spread_terms(control)
    yield from announcement_terms(control)
    yield from consensus_terms(known)
    yield from data_terms(known)


def members_terms(control, size):
    """Yield heartbeats and reports of a plain member, a relay, the busiest relay."""
    bridge = control["bridge"]
    tables_ms = size["tables_us_a_second"] / US_PER_MS
    for role, messages, payload in (
        ("every node", size["plain_messages"], size["plain_bytes"]),
        ("relay", size["relay_messages"], size["relay_bytes"]),
        ("busiest relay", size["relay_messages"], size["most_bytes"]),
    ):
        cpu = messages * bridge["call_us"] / 2 / US_PER_MS + tables_ms
        on_wire = payload + messages * bridge["call_framing_bytes"]
        yield Term(role, "heartbeats and reports", messages, on_wire, cpu)


def spread_terms(control):
    """Yield the push tree: what each role receives and sends for each change."""
    changes = CHANGES_A_DAY / DAY_S
    call_ms = control["bridge"]["call_us"] / 2 / US_PER_MS
    sheet = control["sheet"]
    once_ms = (sheet["sheet_parse_us"] + sheet["sheet_edit_us"]) / US_PER_MS
    push_bytes = sheet["sheet_edit_bytes"] + control["bridge"]["call_framing_bytes"]
    share = (NEAR - RELAYS) / RELAYS
    for role, pushes in (
        ("every node", 1),
        ("relay", CONTROL_VMS + share),
        ("control VM", DOMAINS * RELAYS),
    ):
        cost_ms = changes * (pushes * call_ms + once_ms)
        yield Term(
            role,
            "plans, pushed as edits",
            changes * pushes,
            changes * pushes * push_bytes,
            cost_ms,
        )


def announcement_terms(control):
    """Yield what targets' announcements cost: today, and if sent to two VMs."""
    one = control["announcement"]
    each_ms = one["announcement_http_us"] / US_PER_MS
    for mechanism, rate in (
        ("announcements, each target to every VM", TARGETS),
        ("announcements, each target to two VMs (not built)", TARGETS * 2 / NEAR),
    ):
        size = rate * one["announcement_bytes"]
        yield Term("every node", mechanism, rate, size, rate * each_ms)


def consensus_terms(known):
    """Yield the logs' terms, from the results of bench/groups.py when there."""
    groups = known.get("groups", {})
    for role in ("plans_leader", "plans_follower", "actions_leader"):
        term = groups.get(role, {})
        yield Term(
            role.replace("_", " "),
            "replicated log",
            term.get("messages"),
            term.get("bytes"),
            term.get("cpu_ms"),
        )


def data_terms(known):
    """Yield the data path's terms; they aren't part of the budget for control."""
    for name, key, rate in (
        ("streamed chunks", "chunk_us", CHUNKS_A_SECOND / NODES),
        ("short requests", "short_request_us", REQUESTS_A_SECOND / NODES),
    ):
        cost = known.get(key)
        cpu = None if cost is None else rate * cost / US_PER_MS
        yield Term("every node", f"data path: {name}", rate, None, cpu)


def show(value, digits=1):
    """Return a cell's text."""
    return UNKNOWN if value is None else f"{value:,.{digits}f}"


def lines(known):
    """Yield the lines of the table and of what follows from it."""
    yield "| role | mechanism | messages/s | bytes/s | ms of a core/s |"
    yield "|---|---|---|---|---|"
    for term in terms(known):
        cells = (show(term.messages, 2), show(term.bytes, 0), show(term.cpu_ms, 2))
        yield f"| {term.role} | {term.mechanism} | {' | '.join(cells)} |"
    yield ""
    yield from memory_lines(known["control"])
    yield from limit_lines(known["control"])


def memory_lines(control):
    """Yield what a node holds in memory."""
    base = control["memory"]["node_bytes"] / MB
    state = control[f"members_{DOMAINS}x{NEAR}"]["state_bytes"] / MB
    kept = 4 * control["sheet"]["sheet_bytes"] / MB
    yield (
        f"Memory: {base:.1f} MB for a process that knows only itself, {state:.2f} MB "
        f"for the tables of members, {kept:.2f} MB for the sheets kept as bases of "
        f"edits; budget {BUDGET_MB} MB."
    )


def limit_lines(control):
    """Yield at which size the busiest relay reaches the budgets."""
    big = control[f"members_{DOMAINS}x{NEAR}"]
    half = control[f"members_{DOMAINS // 2}x{NEAR}"]
    slope = (big["most_bytes"] - half["most_bytes"]) / (DOMAINS - DOMAINS // 2)
    framing = big["relay_messages"] * control["bridge"]["call_framing_bytes"]
    room = (BUDGET_BYTES - big["most_bytes"] - framing) / slope
    wide = control["members_3x28"]["most_bytes"] - control["members_3x14"]["most_bytes"]
    yield ""
    yield (
        f"Bytes of the busiest relay grow by {slope:.0f} a second with each failure "
        f"domain and by {wide / 14:.0f} with each member of its own; it reaches "
        f"{BUDGET_BYTES:,} at {DOMAINS + room:.1f} failure domains of {NEAR}."
    )
    calls = (BUDGET_MS - big["tables_us_a_second"] / US_PER_MS) / (
        control["bridge"]["call_us"] / 2 / US_PER_MS
    )
    yield (
        f"Processor time: {BUDGET_MS:.0f} ms a second pay for {calls:.1f} calls a "
        f"second at one end; a relay takes part in {big['relay_messages']:.1f}."
    )


def make_page(page, known):
    """Return the page with its table worked out anew."""
    before, _, rest = page.partition(START)
    _, _, after = rest.partition(END)
    table = "\n".join(lines(known)) + "\n"
    return before + START + table + END + after


def read_page():
    """Return the page as it is."""
    return PAGE.read_text()


def main(words):
    """Write the page, or check it; return the exit status."""
    page = read_page()
    made = make_page(page, slopes.load())
    if "--check" in words:
        if made != page:
            print("docs/CAPACITY.md: run python -m scripts.capacity", file=sys.stderr)
        return int(made != page)
    PAGE.write_text(made)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
