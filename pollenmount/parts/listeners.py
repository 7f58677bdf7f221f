"""Listeners of a node, started when all other parts are there."""

from pollenmount.api.callers import CallersApi
from pollenmount.api.operators import OperatorsApi
from pollenmount.api.peers import PeersApi
from pollenmount.api.targets import TargetsApi
from pollenmount.api.web import WebServer, make_app
from pollenmount.bridge.control import ControlServer
from pollenmount.plugin import register


@register("pollenmount.parts", "listeners")
def build(kernel):
    """Return the servers, callers' last."""
    settings = kernel.settings
    listen = settings.listen
    hub = kernel.get("hub")
    server = ControlServer(hub, listen.control, settings.peer_key, kernel.handlers)
    servers = [kernel.own(server)]
    apis = {
        listen.targets: TargetsApi(kernel.get("targets")),
        listen.operators: OperatorsApi(kernel),
        listen.peers: PeersApi(kernel),
        listen.callers: CallersApi(kernel),
    }
    for address, api in apis.items():
        servers.append(kernel.own(WebServer(address, make_app(api.handle))))
    return servers
