"""The control interface between nodes: hub, client and server."""

from pollenmount.bridge.control import ControlClient
from pollenmount.bridge.hub import Hub
from pollenmount.plugin import register


@register("pollenmount.parts", "hub")
def build_hub(kernel):
    """Return the hub that native threads hand closures to."""
    return kernel.manage(Hub())


@register("pollenmount.parts", "control_client")
def build_client(kernel):
    """Return the client for calls to peers."""
    return kernel.manage(ControlClient(kernel.get("hub"), kernel.settings.peer_key))
