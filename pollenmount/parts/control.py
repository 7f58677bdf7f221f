"""Builds the client of the control interface and the executor it needs."""

from pollenmount.bridge.control import ControlClient
from pollenmount.bridge.loop_executor import LoopExecutor
from pollenmount.plugin import register


@register("pollenmount.parts", "hub")
def build_loop_executor(kernel):
    """Return the executor that runs functions of native threads on the event loop."""
    return kernel.manage(LoopExecutor())


@register("pollenmount.parts", "control_client")
def build_control_client(kernel):
    """Return the client for calls to other nodes."""
    return kernel.manage(ControlClient(kernel.get("hub"), kernel.settings.peer_key))
