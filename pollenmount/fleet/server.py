"""Server side of links on a control VM: registers members and sends them changes."""

import contextlib
from typing import NamedTuple

from pollenmount import task
from pollenmount.fleet.channel import Channel, ChannelError
from pollenmount.fleet.messages import (
    CONTROL,
    LinkHello,
    Loads,
    MemberDown,
    MemberHeartbeat,
    MemberUp,
    TargetLoad,
    TargetSeen,
)
from pollenmount.log import get_logger

__all__ = ["DIRECT", "LinkServer"]

DIRECT = "direct"
LOADS_INTERVAL_MS = 250
# Members that use another control VM's totals need `Loads` only as a heartbeat.
SLOW_LOADS_TICKS = 3
RECONNECT_GRACE_MS = 800
LISTEN_BACKLOG = 512
ACCEPT_PAUSE_MS = 100

logger = get_logger("links")


class LostLink(NamedTuple):
    """When a member's link was lost, and the incarnation that had it."""

    lost_at: int
    incarnation: str


class LinkServer:
    """Accepts links on `address` and sends changes of the fleet to linked members.

    `channels` and `roles` are those of the currently linked members. `lost_links` holds
    links lost less than `RECONNECT_GRACE_MS` ago, `loads` the load that each member
    reported last. `load_subscribers` names the members that need this VM's load totals
    at short intervals.
    """

    def __init__(self, address, fleet, clock):
        self.fleet = fleet
        self.clock = clock
        self.channels = {}
        self.roles = {}
        self.lost_links = {}
        self.loads = {}
        self.load_subscribers = set()
        self.ticks = 0
        fleet.listeners.append(self.forward_change)
        self.socket = task.listen(address, LISTEN_BACKLOG)
        self.thread = task.spawn(self.accept_links)
        self.ticker = task.PeriodicTask(self.tick, LOADS_INTERVAL_MS)

    def accept_links(self):
        """Accept links until this task is killed."""
        while True:
            try:
                connection, _ = self.socket.accept()
            except OSError as error:
                logger.error("can't accept a link", extra={"problem": str(error)})
                task.sleep(ACCEPT_PAUSE_MS)
                continue
            task.spawn(self.serve_link, Channel(connection))

    def serve_link(self, channel):
        """Serve one link until it fails."""
        with contextlib.closing(channel):
            try:
                first = channel.receive()
                if isinstance(first, LinkHello):
                    self.serve_member(channel, first.member)
            except ChannelError as error:
                logger.info("link refused", extra={"problem": str(error)})

    def serve_member(self, channel, member):
        """Send a member the state of the fleet, then serve it until its link fails."""
        name = member.name
        previous = self.channels.pop(name, None)
        if previous is not None:
            previous.close()
        self.channels[name] = channel
        self.roles[name] = member.role
        self.lost_links.pop(name, None)
        logger.info("link open", extra={"member": name, "role": member.role})
        for message in self.fleet.snapshot():
            channel.push(message)
        self.fleet.members.handle_up(MemberUp(member), DIRECT)
        try:
            while True:
                self.handle(name, channel.receive())
        except ChannelError as error:
            self.handle_link_loss(member, channel, str(error))

    def handle(self, name, message):
        """Handle one message of a member."""
        if isinstance(message, MemberHeartbeat):
            self.loads[name] = message.loads
            self.set_subscription(name, message.wants_loads)
            known = self.fleet.members.get(name)
            if known != message.member:
                self.fleet.members.handle_up(MemberUp(message.member), DIRECT)

    def set_subscription(self, name, wants_loads):
        """Record whether a member needs the load totals at short intervals."""
        if wants_loads:
            self.load_subscribers.add(name)
        else:
            self.load_subscribers.discard(name)

    def handle_link_loss(self, member, channel, problem):
        """Record a lost link; the member has `RECONNECT_GRACE_MS` to reconnect."""
        name = member.name
        logger.info("link lost", extra={"member": name, "problem": problem})
        if self.channels.get(name) is channel:
            del self.channels[name]
            self.lost_links[name] = LostLink(self.clock.now(), member.incarnation)
            self.loads.pop(name, None)
            self.load_subscribers.discard(name)

    def tick(self):
        """Report members that didn't reconnect as down, and send load totals."""
        now = self.clock.now()
        for name, lost_link in [*self.lost_links.items()]:
            if now - lost_link.lost_at >= RECONNECT_GRACE_MS:
                del self.lost_links[name]
                self.fleet.members.handle_down(
                    MemberDown(name, lost_link.incarnation), DIRECT
                )
        loads = Loads(self.sum_loads())
        self.ticks += 1
        is_slow_tick = self.ticks % SLOW_LOADS_TICKS == 0
        for name, channel in [*self.channels.items()]:
            if is_slow_tick or name in self.load_subscribers:
                channel.push(loads)

    def sum_loads(self):
        """Return the total load of all members on each target."""
        totals = {}
        for loads in self.loads.values():
            for load in loads:
                total = totals.get(load.id, TargetLoad(load.id, 0, 0))
                totals[load.id] = TargetLoad(
                    load.id,
                    total.requests + load.requests,
                    total.tokens + load.tokens,
                    total.streams + load.streams,
                )
        return tuple(totals.values())

    def forward_change(self, message, source):
        """Send a change to all members; to control VMs only if it came in here."""
        for name, channel in [*self.channels.items()]:
            if self.roles[name] != CONTROL or source == DIRECT:
                channel.push(message)

    def forward_heartbeat(self, message):
        """Send a target's heartbeat to the other control VMs."""
        for name, channel in [*self.channels.items()]:
            if self.roles[name] == CONTROL:
                channel.push(message)

    def handle_target_heartbeat(self, record):
        """Handle a heartbeat that a target sent to this VM."""
        message = TargetSeen(record, 0)
        if self.fleet.targets.handle_seen(message, DIRECT):
            self.forward_heartbeat(message)

    def handle_target_leave(self, id_):
        """Handle a target's own notice that it leaves."""
        self.fleet.targets.handle_leave(id_, DIRECT)

    def close(self):
        """Stop accepting links and close them all."""
        self.ticker.close()
        self.thread.kill()
        self.socket.close()
        for channel in self.channels.values():
            channel.close()
