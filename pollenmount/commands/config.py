"""The command that checks a settings file."""

from pollenmount.commands.base import Command
from pollenmount.errors import UsageError
from pollenmount.plugin import register
from pollenmount.settings import load_settings


@register("pollenmount.commands", "config")
class ConfigCommand(Command):
    """Check a settings file without starting: config check FILE."""

    def run(self, values, words):
        """Check the file named last; return 0 when it is sound."""
        if len(words) != 2 or words[0] != "check":
            raise UsageError("nothing to check; use: pollenmount config check FILE")
        checked = load_settings(words[1])
        print(f"{words[1]}: settings of {checked.name} are sound")
        return 0
