"""The command that gathers what the logs say of one request."""

import json
import sys

from pollenmount.commands.base import Command
from pollenmount.errors import PollenmountError, UsageError
from pollenmount.plugin import register

USAGE = "use: pollenmount explain ID [FILE ...]; without files, standard input is read"
# What each line says besides what happened.
FRAME_FIELDS = ("asctime", "levelname", "name", "message", "vm", "region")


@register("pollenmount.commands", "explain")
class ExplainCommand(Command):
    """Show the decisions on one request, from logs: explain ID [FILE ...]."""

    def run(self, flag_values, args):
        """Print the request's lines in order of time; return 1 if there are none."""
        if not args:
            raise UsageError(f"no request is named; {USAGE}")
        request_id, *paths = args
        records = sorted(find_records(request_id, read_lines(paths)), key=get_timestamp)
        if not records:
            print(f"no line on request {request_id!r}; add other VMs' logs")
            return 1
        for record in records:
            print(format_record(record))
        return 0


def read_lines(paths):
    """Yield the lines of files, or of standard input."""
    if not paths:
        yield from sys.stdin
    for path in paths:
        try:
            with open(path, encoding="utf-8", errors="replace") as file:
                yield from file
        except OSError as error:
            raise PollenmountError(f"{error}; give the path of a log") from error


def find_records(request_id, lines):
    """Yield the documents on a request; text before the JSON is left out."""
    for line in lines:
        if request_id not in line:
            continue
        try:
            record = json.loads(line[line.index("{") :])
        except ValueError:
            continue
        if record.get("request") == request_id:
            yield record


def get_timestamp(record):
    """Return when a line was written, as a text that sorts."""
    return record.get("asctime", "")


def format_record(record):
    """Return one line of text: when, where, what, and why."""
    fields = " ".join(
        f"{key}={value}"
        for key, value in record.items()
        if key not in FRAME_FIELDS and key != "request" and value not in ("", None)
    )
    vm, message = record.get("vm", "?"), record.get("message", "?")
    return f"{get_timestamp(record)}  {vm}  {message}: {fields}"
