"""The command that checks a settings file."""

import json

from pollenmount.commands.base import Command
from pollenmount.errors import UsageError
from pollenmount.gateway import settings as gateway_settings
from pollenmount.plugin import register
from pollenmount.settings import load_settings

GATEWAY_ONLY_SETTING = "first_port"


@register("pollenmount.commands", "config")
class ConfigCommand(Command):
    """Check a settings file without starting: config check FILE."""

    def run(self, flag_values, args):
        """Check the given file; return 0 if it is valid."""
        if len(args) != 2 or args[0] != "check":
            raise UsageError("wrong arguments; use: pollenmount config check FILE")
        load = (
            gateway_settings.load_settings
            if has_gateway_settings(args[1])
            else load_settings
        )
        checked = load(args[1])
        print(f"{args[1]}: settings of {checked.name} are valid")
        return 0


def has_gateway_settings(path):
    """Return whether a file has the settings of a VM of the HTTP gateway."""
    try:
        with open(path, "rb") as file:
            return GATEWAY_ONLY_SETTING in json.load(file)
    except (OSError, ValueError, TypeError):
        # The full check that follows reports the problem with the file.
        return False
