"""Builds the servers of a node, once all other parts have been built."""

from typing import NamedTuple

from pollenmount.api.callers import CallersApi
from pollenmount.api.operators import OperatorsApi
from pollenmount.api.peers import PeersApi
from pollenmount.api.targets import TargetsApi
from pollenmount.api.web import WebServer, make_app
from pollenmount.bridge.control import ControlServer
from pollenmount.plugin import register

# Connections beyond the limit of the VM: callers leave some to the others.
SPARE_SLOTS = {"targets": 32, "operators": 16, "peers": 16, "callers": 0}


class Listeners(NamedTuple):
    """The servers of a node, by the name of their listen address."""

    control: ControlServer
    targets: WebServer
    operators: WebServer
    peers: WebServer
    callers: WebServer

    @property
    def servers_to_drain(self):
        """Return the servers whose running requests a planned stop waits for."""
        return (self.peers, self.callers)


@register("pollenmount.parts", "listeners")
def build_listeners(kernel):
    """Start and return the servers; that of callers starts last."""
    settings = kernel.settings
    listen = settings.listen
    loop_executor = kernel.get("hub")
    apis = {
        "targets": TargetsApi(kernel.get("targets")),
        "operators": OperatorsApi(kernel),
        "peers": PeersApi(kernel),
        "callers": CallersApi(kernel),
    }
    server = ControlServer(
        loop_executor, listen.control, settings.peer_key, kernel.handlers
    )
    servers = {"control": kernel.manage(server)}
    for listener, api in apis.items():
        app = make_app(api.handle, lambda: kernel.stopping, lambda: kernel.refusing)
        budget = kernel.get("memory").for_listener()
        address, spare = getattr(listen, listener), SPARE_SLOTS[listener]
        server = WebServer(address, app, budget=budget, spare_slots=spare)
        servers[listener] = kernel.manage(server)
    return Listeners(**servers)
