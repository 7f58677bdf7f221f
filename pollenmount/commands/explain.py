"""The command that collects the log records of one request."""

import json
import sys

from pollenmount.commands.base import Command
from pollenmount.errors import PollenmountError, UsageError
from pollenmount.plugin import register

USAGE = "use: pollenmount explain ID [FILE ...]; without files, reads standard input"
# Fields that each record has; the others depend on its message.
FRAME_FIELDS = ("asctime", "levelname", "name", "message", "vm", "region")


@register("pollenmount.commands", "explain")
class ExplainCommand(Command):
    """Show the log records of one request: explain ID [FILE ...]."""

    def run(self, flag_values, args):
        """Print the records of the request by time; return 1 if there are none."""
        if not args:
            raise UsageError(f"no request ID is given; {USAGE}")
        request_id, *paths = args
        records = sorted(find_records(request_id, read_lines(paths)), key=get_timestamp)
        if not records:
            print(
                f"no log records of request {request_id!r}; add the logs of other VMs"
            )
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
    """Yield the parsed records of a request; text before the JSON is skipped."""
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
    """Return the time of a record as a string whose order is that of time."""
    return record.get("asctime", "")


def format_record(record):
    """Return a record as one line: time, VM, message and remaining fields."""
    fields = " ".join(
        f"{key}={value}"
        for key, value in record.items()
        if key not in FRAME_FIELDS and key != "request" and value not in ("", None)
    )
    vm, message = record.get("vm", "?"), record.get("message", "?")
    return f"{get_timestamp(record)}  {vm}  {message}: {fields}"
