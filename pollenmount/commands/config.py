"""The command that checks a settings file."""

import json

from pollenmount.commands.base import Command
from pollenmount.errors import UsageError
from pollenmount.gateway import settings as gateway_settings
from pollenmount.plugin import register
from pollenmount.settings import load_settings

GATEWAY_KEY = "first_port"


@register("pollenmount.commands", "config")
class ConfigCommand(Command):
    """Check a settings file without starting: config check FILE."""

    def run(self, values, words):
        """Check the file named last; return 0 when it is sound."""
        if len(words) != 2 or words[0] != "check":
            raise UsageError("nothing to check; use: pollenmount config check FILE")
        load = gateway_settings.load_settings if is_gateway(words[1]) else load_settings
        checked = load(words[1])
        print(f"{words[1]}: settings of {checked.name} are sound")
        return 0


def is_gateway(path):
    """Return whether a file has settings of a VM of the gateway of routes."""
    try:
        with open(path, "rb") as file:
            return GATEWAY_KEY in json.load(file)
    except (OSError, ValueError, TypeError):
        # The usual check says what is wrong with the file.
        return False
