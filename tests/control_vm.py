"""A control VM on loopback with a replica of its own, for the tests of orders."""

import contextlib
import time
import types

import eventlet.patcher
from eventlet.green import socket

from pollenmount import task
from pollenmount.api.web import WebServer, make_app
from pollenmount.clock import Clock
from pollenmount.fleet.fleet import Fleet
from pollenmount.gateway.control import ControlApi
from pollenmount.gateway.routes_log import RoutesLog
from pollenmount.loop_monitor import LoopMonitor
from pollenmount.routes.store import RoutesStore
from tests.gateway_harness import REGIONS, make_settings
from tests.gateway_sockets import FleetDialect

__all__ = ["ControlVm", "order_bytes"]

TRIES = 60
STEP_MS = 50
REPLY_BYTES = 65_536
MS_PER_S = 1000
# It blocks: nothing else runs while it is used, as in a VM that stands still.
blocking_socket = eventlet.patcher.original("socket")


class ControlVm:
    """The parts of a control VM that handle orders on evacuations.

    With the address of a seed, it is not a member of the log that is there. `heard` has
    what targets have told it.
    """

    def __init__(self, ip, folder, seed_ip=None):
        seeds = (f"{seed_ip or ip}:90",)
        self.settings = make_settings("control-1", ip=ip, seeds=seeds)._replace(
            data_folder=str(folder), first_port=7410, failure_domains=REGIONS
        )
        self.clock = Clock()
        self.stopping = False
        self.stack = contextlib.ExitStack()
        self.dialect = FleetDialect()
        self.fleet = Fleet(self.clock, RoutesStore(lambda document: None), REGIONS)
        self.log = RoutesLog(self)
        self.address = (ip, 7420)
        self.loop_monitor = self.manage(LoopMonitor(self.clock, lambda delay_s: None))
        self.heard = []
        targets = types.SimpleNamespace(
            handle_heartbeat=self.heard.append, handle_leave=self.heard.append
        )
        server = types.SimpleNamespace(targets=targets)
        app = make_app(ControlApi(self, self.log, server).handle)
        self.manage(WebServer(f"{ip}:7420", app))
        if seed_ip is None:
            self.wait_until(self.log.has_quorum)
        else:
            self.log.joiner.close()

    def manage(self, part):
        """Close a part with the VM; return it."""
        self.stack.callback(part.close)
        return part

    def close(self):
        """Close all parts."""
        self.stack.close()

    def wait_until(self, condition):
        """Wait until a condition holds; fail after `TRIES` tries."""
        for _ in range(TRIES):
            if condition():
                return
            task.sleep(STEP_MS)
        raise AssertionError(f"not so after {TRIES} tries")

    def evacuated(self):
        """Return the failure domains that are evacuated."""
        return self.log.machine.state.evacuated

    def call(self, method, failure_domain):
        """Send an order and wait for the reply; return its status."""
        sent = task.spawn(self.exchange, method, failure_domain)
        return sent.wait()

    def exchange(self, method, failure_domain):
        """Send an order on a connection of its own; return the status."""
        with contextlib.closing(self.connect()) as peer:
            peer.sendall(order_bytes(method, failure_domain))
            return read_status(peer)

    def send_and_stand_still(self, request, ms):
        """Send a request, and stand still before it is read; return the status.

        The caller's connection stays open.
        """
        task.sleep(2 * STEP_MS)
        with contextlib.closing(self.connect()) as peer:
            peer.fd.sendall(request)
            time.sleep(ms / MS_PER_S)
            return read_status(peer)

    def connect(self):
        """Return a new connection for orders."""
        return socket.create_connection(self.address)

    def send_and_leave(self, method, failure_domain):
        """Send an order and close the connection, before this VM has read it."""
        with contextlib.closing(
            blocking_socket.create_connection(self.address)
        ) as peer:
            peer.sendall(order_bytes(method, failure_domain))


def read_status(peer):
    """Return the status of the next response."""
    return int(peer.recv(REPLY_BYTES).split()[1])


def order_bytes(method, failure_domain):
    """Return an order as bytes on the wire."""
    path = f"/-/evacuate/{failure_domain}"
    return f"{method} {path} HTTP/1.1\r\nHost: h\r\n\r\n".encode()
