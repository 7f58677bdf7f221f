"""The kernel of a node: builds the registered parts on demand and owns them.

A part is built by a function `build(kernel)`, registered under the part's name in
`pollenmount.parts`. The function gets the parts it depends on by name, so that parts
are built in order of their dependencies and closed in reverse order.
"""

import contextlib
import uuid

from pollenmount.clock import Clock
from pollenmount.errors import PollenmountError
from pollenmount.plugin import get_plugin_by_name, load_family

__all__ = ["Kernel", "PartCycleError"]

PART_FAMILY = "pollenmount.parts"
LAST_PART = "listeners"
TARGET_ANNOUNCEMENT_WAIT_MS = 2000


class PartCycleError(PollenmountError):
    """Parts depend on each other in a cycle."""


class Kernel:
    """Settings, clock and parts of one node.

    `stopping` is set once the node leaves the directory, `refusing` once it accepts no
    new requests. `started_at` is the time at which all listeners were open, or None.
    `incarnation` identifies one start of the process.
    """

    def __init__(self, settings, clock=None):
        self.settings = settings
        self.clock = clock or Clock()
        self.incarnation = uuid.uuid4().hex
        self.started_at = None
        self.stopping = False
        self.refusing = False
        self.stack = contextlib.ExitStack()
        self.handlers = {}
        self.parts = {}
        self.names_being_built = []

    def get(self, name):
        """Return the part called `name`, built on first use."""
        if name not in self.parts:
            if name in self.names_being_built:
                path = " -> ".join([*self.names_being_built, name])
                raise PartCycleError(f"parts depend on each other: {path}; split one")
            self.names_being_built.append(name)
            self.parts[name] = get_plugin_by_name(PART_FAMILY, name)(self)
            self.names_being_built.remove(name)
        return self.parts[name]

    def manage(self, part):
        """Register `part` to be closed with the kernel; return it."""
        self.stack.callback(part.close)
        return part

    def register_handler(self, request_type, handler):
        """Register the handler of calls from peers with this type of request."""
        self.handlers[request_type] = handler

    def start(self):
        """Build all parts; the listeners come last."""
        for name in sorted(load_family(PART_FAMILY)):
            if name != LAST_PART:
                self.get(name)
        self.get(LAST_PART)
        self.started_at = self.clock.now()

    def is_ready(self):
        """Return whether callers may send requests to this node.

        It is not ready before a plan is in force and every target has had time to
        announce itself.
        """
        if self.started_at is None or self.stopping or self.get("plans").plan is None:
            return False
        return self.clock.now() - self.started_at >= TARGET_ANNOUNCEMENT_WAIT_MS

    def close(self):
        """Close all parts in reverse order."""
        self.stack.close()
