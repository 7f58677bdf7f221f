"""The commands that show a node's members, targets and entry VMs."""

import json
import sys

from absl import flags

from pollenmount.commands.base import (
    Command,
    OperatorClient,
    define_client_flags,
    format_table,
)
from pollenmount.commands.gateway import (
    ask_state,
    define_gateway_flag,
    render_state,
)
from pollenmount.errors import UsageError
from pollenmount.plugin import register

BAD_STATUS = 400


class AskCommand(Command):
    """Print one document of the operators' interface.

    `path` is the document's; `render` returns it as text.
    """

    path = ""

    def define_flags(self, values):
        """Define the flags of this command in `values`."""
        define_client_flags(values)
        flags.DEFINE_boolean("json", False, "print JSON", flag_values=values)

    def run(self, values, words):
        """Print the document; return 0 when the node gave it."""
        if words:
            raise UsageError(f"unknown words {' '.join(words)!r}; leave them out")
        status, document = OperatorClient(values.node).ask("GET", self.path)
        if status >= BAD_STATUS:
            print(json.dumps(document, indent=2), file=sys.stderr)
            return 1
        show(document, values.json, self.render)
        return 0

    def render(self, document):
        """Return the document as text."""
        raise NotImplementedError


def show(document, as_json, render):
    """Print a document as JSON or as `render` returns it."""
    text = json.dumps(document, indent=2, sort_keys=True)
    print(text if as_json else render(document))


@register("pollenmount.commands", "status")
class StatusCommand(AskCommand):
    """Show members and targets as one node sees them.

    `node`
        Operators' address of any node (default 127.0.0.1:8082).
    `gateway`
        Metrics address of a VM of the gateway of routes, asked instead.
    `json`
        Print the document as JSON (default no).
    """

    path = "/v1/status"

    def define_flags(self, values):
        """Define the flags of this command in `values`."""
        super().define_flags(values)
        define_gateway_flag(values)

    def run(self, values, words):
        """Print the state of the VM asked."""
        if not values.gateway or words:
            return super().run(values, words)
        show(ask_state(values.gateway), values.json, render_state)
        return 0

    def render(self, document):
        """Return a table of members and one of targets."""
        members = [
            (
                member["name"],
                member["region"],
                member["failure_domain"],
                str(member["plan_number"]),
                "stopping" if member["stopping"] else "serving",
            )
            for member in document["members"]
        ]
        targets = [
            (row["name"], row["kind"], str(row["running"]), str(row["in_flight"]))
            for row in document["targets"]
        ]
        header = ("vm", "region", "failure domain", "plan", "state")
        target_header = ("target", "kind", "running", "in flight from here")
        tables = (format_table(header, members), format_table(target_header, targets))
        return "\n\n".join(tables)


@register("pollenmount.commands", "entries")
class EntriesCommand(AskCommand):
    """Show the entry VMs that callers are told to use.

    `node`
        Operators' address of any node (default 127.0.0.1:8082).
    `json`
        Print the document as JSON (default no).
    """

    path = "/v1/entries"

    def render(self, document):
        """Return a table of entry VMs, best first for callers near the node."""
        rows = [
            (entry["name"], entry["region"], entry["address"], str(entry["weight"]))
            for entry in document["entries"]
        ]
        return format_table(("vm", "region", "address", "weight"), rows)
