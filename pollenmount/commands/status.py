"""The commands that show a node's members, targets and entry VMs."""

import json
import sys

from absl import flags

from pollenmount.commands.base import (
    Command,
    OperatorClient,
    define_node_flag,
    format_table,
)
from pollenmount.commands.gateway import (
    define_gateway_flag,
    fetch_state,
    render_state,
)
from pollenmount.errors import UsageError
from pollenmount.plugin import register

MIN_ERROR_STATUS = 400


class ShowDocumentCommand(Command):
    """Base class of commands that print one document of the operators' interface.

    `path` is the URL path of the document; `render` returns the document as text.
    """

    path = ""

    def define_flags(self, flag_values):
        """Define the flags of this command in `flag_values`."""
        define_node_flag(flag_values)
        flags.DEFINE_boolean("json", False, "print JSON", flag_values=flag_values)

    def run(self, flag_values, args):
        """Print the document; return 0 if the node returned it."""
        if args:
            raise UsageError(f"unknown arguments {' '.join(args)!r}; leave them out")
        status, document = OperatorClient(flag_values.node).request("GET", self.path)
        if status >= MIN_ERROR_STATUS:
            print(json.dumps(document, indent=2), file=sys.stderr)
            return 1
        print_document(document, flag_values.json, self.render)
        return 0

    def render(self, document):
        """Return the document as text."""
        raise NotImplementedError


def print_document(document, as_json, render):
    """Print a document as JSON, or as the text that `render` returns."""
    text = json.dumps(document, indent=2, sort_keys=True)
    print(text if as_json else render(document))


@register("pollenmount.commands", "status")
class StatusCommand(ShowDocumentCommand):
    """Show members and targets as one node sees them.

    `node`
        Operators' address of any node (default 127.0.0.1:8082).
    `gateway`
        Metrics address of a VM of the HTTP gateway, to show its state instead.
    `json`
        Print the document as JSON (default no).
    """

    path = "/v1/status"

    def define_flags(self, flag_values):
        """Define the flags of this command in `flag_values`."""
        super().define_flags(flag_values)
        define_gateway_flag(flag_values)

    def run(self, flag_values, args):
        """Print the state of the node, or of the VM given as `gateway`."""
        if not flag_values.gateway or args:
            return super().run(flag_values, args)
        print_document(fetch_state(flag_values.gateway), flag_values.json, render_state)
        return 0

    def render(self, document):
        """Return a table of members and a table of targets."""
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
class EntriesCommand(ShowDocumentCommand):
    """Show the entry VMs that callers are directed to.

    `node`
        Operators' address of any node (default 127.0.0.1:8082).
    `json`
        Print the document as JSON (default no).
    """

    path = "/v1/entries"

    def render(self, document):
        """Return a table of entry VMs; best first for callers near the node."""
        rows = [
            (entry["name"], entry["region"], entry["address"], str(entry["weight"]))
            for entry in document["entries"]
        ]
        return format_table(("vm", "region", "address", "weight"), rows)
