"""Command line: looks up the command by name and runs it.

Each command is a module in `pollenmount.commands`, which can be used as a library too.
"""

import sys

from absl import flags

from pollenmount.errors import PollenmountError, UsageError
from pollenmount.plugin import load_family

__all__ = ["main"]

COMMAND_FAMILY = "pollenmount.commands"
EXIT_FAILED = 1
EXIT_USAGE = 2


def main(argv=None):
    """Run the command named in `argv` and return its exit status."""
    argv = list(sys.argv if argv is None else argv)
    if len(argv) < 2 or argv[1] in ("help", "--help", "-h"):
        print(format_usage())
        return 0 if len(argv) > 1 else EXIT_USAGE
    commands = load_family(COMMAND_FAMILY)
    if argv[1] not in commands:
        known = ", ".join(sorted(commands))
        print(f"unknown command {argv[1]!r}; use one of: {known}", file=sys.stderr)
        return EXIT_USAGE
    try:
        command = commands[argv[1]]()
        flag_values = flags.FlagValues()
        command.define_flags(flag_values)
        args = flag_values(argv[1:])[1:]
        return command.run(flag_values, args)
    except (flags.Error, UsageError) as error:
        print(f"{argv[1]}: {error}; see: pollenmount help", file=sys.stderr)
        return EXIT_USAGE
    except PollenmountError as error:
        print(error, file=sys.stderr)
        return EXIT_FAILED


def format_usage():
    """Return the text that lists the commands."""
    lines = [
        "usage: pollenmount COMMAND [ARGUMENT ...] [--FLAG=VALUE ...]",
        "",
        "commands:",
    ]
    for name, command in sorted(load_family(COMMAND_FAMILY).items()):
        summary = command.__doc__.splitlines()[0]
        lines.append(f"  {name:10} {summary}")
    return "\n".join(lines)
