"""The command that checks, applies and shows serving plans."""

import json
import sys

from pollenmount.commands.base import Command, OperatorClient, define_node_flag
from pollenmount.commands.gateway import (
    define_gateway_flag,
    fetch_state,
    render_routes,
)
from pollenmount.errors import PollenmountError, UsageError
from pollenmount.plans.sheet import parse_sheet
from pollenmount.plugin import register

USAGE = (
    "use: pollenmount plan check FILE | apply FILE | show | status | "
    "routes --gateway=ADDRESS"
)


@register("pollenmount.commands", "plan")
class PlanCommand(Command):
    """Serving plans: plan check FILE, apply FILE, show, status or routes.

    `node`
        Operators' address of any node (default 127.0.0.1:8082).
    `gateway`
        Metrics address of a VM of the HTTP gateway, for `routes`.
    """

    def define_flags(self, flag_values):
        """Define the flags of this command in `flag_values`."""
        define_node_flag(flag_values)
        define_gateway_flag(flag_values)

    def run(self, flag_values, args):
        """Run the subcommand in `args`; return 0 if it succeeded."""
        if len(args) == 2 and args[0] == "check":
            return self.check(args[1])
        if len(args) == 2 and args[0] == "apply":
            return self.request_and_print(
                flag_values, "PUT", "/v1/plan", read_sheet_file(args[1])
            )
        if args == ["show"]:
            return self.request_and_print(flag_values, "GET", "/v1/plan")
        if args == ["status"]:
            return self.request_and_print(flag_values, "GET", "/v1/plan/status")
        if args == ["routes"] and not flag_values.gateway:
            raise UsageError(
                "no VM is given; set --gateway to the metrics address of a VM"
            )
        if args == ["routes"]:
            print(render_routes(fetch_state(flag_values.gateway)))
            return 0
        raise PollenmountError(f"unknown arguments {' '.join(args)!r}; {USAGE}")

    def check(self, path):
        """Check a sheet locally, without a request to a node."""
        plan = parse_sheet(read_sheet_file(path))
        print(f"{path}: plan {plan.number} is valid, digest {plan.digest[:12]}")
        return 0

    def request_and_print(self, flag_values, method, path, body=None):
        """Send a request to the node and print its reply; return 1 on an error."""
        status, document = OperatorClient(flag_values.node).request(method, path, body)
        stream = sys.stdout if status < 400 else sys.stderr
        print(json.dumps(document, indent=2, sort_keys=True), file=stream)
        return 0 if status < 400 else 1


def read_sheet_file(path):
    """Return the bytes of the sheet at `path`."""
    try:
        with open(path, "rb") as file:
            return file.read()
    except OSError as error:
        raise PollenmountError(f"{error}; give the path of a CSV file") from error
