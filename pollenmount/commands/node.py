"""The command that runs one node."""

import os
import warnings

from absl import flags

from pollenmount.commands.base import Command
from pollenmount.plugin import register


@register("pollenmount.commands", "node")
class NodeCommand(Command):
    """Run one node in the foreground until SIGTERM.

    `config`
        Path of the settings file (required).
    """

    def define_flags(self, flag_values):
        """Define the flags of this command in `flag_values`."""
        flags.DEFINE_string("config", None, "settings file", flag_values=flag_values)
        flags.mark_flag_as_required("config", flag_values=flag_values)

    def run(self, flag_values, args):
        """Run the node; return 0 if it stopped without cutting off requests."""
        # Standard output has JSON lines only, and standard error stays empty.
        warnings.simplefilter("ignore")
        os.environ.setdefault("GRPC_VERBOSITY", "NONE")
        from pollenmount import task

        task.monkey_patch()
        from pollenmount import log, settings
        from pollenmount.node import run_node

        node_settings = settings.load_settings(flag_values.config)
        writer = log.configure(
            node_settings.log_level,
            vm=node_settings.name,
            region=node_settings.region,
            failure_domain=node_settings.failure_domain,
        )
        with task.flush_in_background(writer):
            return run_node(node_settings)
