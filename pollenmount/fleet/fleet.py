"""A VM's view of the fleet, updated by messages from links and the log."""

import zlib
from functools import singledispatchmethod

from pollenmount.fleet.members import MemberTable
from pollenmount.fleet.messages import (
    EvacuationsChanged,
    Loads,
    MemberDown,
    MemberUp,
    RoutesChanged,
    TargetGone,
    TargetSeen,
    TargetSilent,
)
from pollenmount.fleet.targets import TargetTable
from pollenmount.log import get_logger

__all__ = ["Fleet"]

logger = get_logger("fleet")


class Fleet:
    """Members, targets, routes and evacuations known to this VM.

    `store` receives new plans of routes. `listeners` are called with (message, source)
    for each message that changed the state.
    """

    def __init__(self, clock, store):
        self.clock = clock
        self.store = store
        self.listeners = []
        self.targets = TargetTable(clock, self.notify)
        self.members = MemberTable(clock, self.notify)
        self.evacuations = EvacuationsChanged(0, ())
        self.routes = RoutesChanged(0, 0, b"")
        self.loads = {}

    def notify(self, message, source):
        """Log a change and call the listeners."""
        logger.info(
            "fleet changed",
            extra={
                "source": source,
                "change": type(message).__name__,
                **log_fields(message),
            },
        )
        for listener in self.listeners:
            listener(message, source)

    @singledispatchmethod
    def handle(self, message, source):
        """Update the state from a message of `source`."""
        raise TypeError(f"unexpected message on a link: {type(message).__name__}")

    @handle.register
    def _(self, message: TargetSeen, source):
        self.targets.handle_seen(message, source)

    @handle.register
    def _(self, message: TargetSilent, source):
        self.targets.handle_silent(message, source)

    @handle.register
    def _(self, message: TargetGone, source):
        self.targets.handle_gone(message, source)

    @handle.register
    def _(self, message: MemberUp, source):
        self.members.handle_up(message, source)

    @handle.register
    def _(self, message: MemberDown, source):
        self.members.handle_down(message, source)

    @handle.register
    def _(self, message: Loads, source):
        self.loads[source] = {load.id: load for load in message.loads}

    @handle.register
    def _(self, message: RoutesChanged, source):
        if message.revision > self.routes.revision:
            document = zlib.decompress(message.document)
            if self.store.update(message.version, document):
                self.routes = message
                self.notify(message, source)

    @handle.register
    def _(self, message: EvacuationsChanged, source):
        if message.revision > self.evacuations.revision:
            self.evacuations = message
            self.notify(message, source)

    def forget_source(self, source):
        """Remove a source that is gone; what it alone reported expires later."""
        self.targets.forget_source(source)
        self.members.forget_source(source)
        self.loads.pop(source, None)

    def sweep(self):
        """Remove expired members, targets and tombstones."""
        self.members.sweep()
        self.targets.sweep(0)

    def snapshot(self):
        """Yield the messages that bring another VM up to date."""
        if self.routes.revision:
            yield self.routes
        if self.evacuations.revision:
            yield self.evacuations
        yield from self.members.snapshot()
        yield from self.targets.snapshot()


def log_fields(message):
    """Return the log fields of a message, without plan documents."""
    if isinstance(message, RoutesChanged):
        return {"revision": message.revision, "version": message.version}
    if isinstance(message, MemberUp):
        member = message.member
        return {
            "member": member.name,
            "ready": member.ready,
            "stopping": member.stopping,
            "plan": member.plan,
        }
    if isinstance(message, MemberDown):
        return {"member": message.name, "incarnation": message.incarnation}
    if isinstance(message, TargetSeen):
        target = message.target
        return {
            "target": target.id,
            "service": target.service,
            "address": target.address,
            "draining": target.draining,
            "sequence": target.sequence,
            "age_ms": message.age_ms,
        }
    return {name: getattr(message, name) for name in message.__struct_fields__}
