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
        """Check the file named last; return 0 when it is sound."""
        if len(args) != 2 or args[0] != "check":
            raise UsageError("nothing to check; use: pollenmount config check FILE")
        load = (
            gateway_settings.load_settings
            if has_gateway_settings(args[1])
            else load_settings
        )
        checked = load(args[1])
        print(f"{args[1]}: settings of {checked.name} are sound")
        return 0


def has_gateway_settings(path):
    """Return whether a file has settings of a VM of the gateway of routes."""
    try:
        with open(path, "rb") as file:
            return GATEWAY_ONLY_SETTING in json.load(file)
    except (OSError, ValueError, TypeError):
        # The usual check says what is wrong with the file.
        return False
