"""The commands that show a node's members, targets and entry VMs."""

import json

from pollenmount.commands.base import Command, OperatorClient, define_client_flags
from pollenmount.plugin import register


class AskCommand(Command):
    """Print one document of the operators' interface."""

    path = ""

    def define_flags(self, values):
        """Define the flags of this command in `values`."""
        define_client_flags(values)

    def run(self, values, words):
        """Print the document; return 0 when the node gave it."""
        status, document = OperatorClient(values.node).ask("GET", self.path)
        print(json.dumps(document, indent=2, sort_keys=True))
        return 0 if status < 400 else 1


@register("pollenmount.commands", "status")
class StatusCommand(AskCommand):
    """Show members and targets as one node sees them."""

    path = "/v1/status"


@register("pollenmount.commands", "entries")
class EntriesCommand(AskCommand):
    """Show the entry VMs that callers are told to use."""

    path = "/v1/entries"
