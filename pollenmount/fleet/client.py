"""Client side of links: keeps links to the nearest control VMs open."""

import contextlib
import socket
import zlib
from typing import NamedTuple

from pollenmount import task
from pollenmount.fleet.channel import Channel, ChannelError
from pollenmount.fleet.messages import CONTROL, LinkHello, MemberHeartbeat, MemberRecord
from pollenmount.log import get_logger

__all__ = ["LinkClient"]

CONNECT_TIMEOUT_S = 0.5
ROUND_INTERVAL_MS = 250
# Well below the time-out of a link.
SLOW_HEARTBEAT_INTERVAL_MS = 700
RECONNECT_INTERVAL_MS = 700
MAX_ENTRY_LINKS = 3

logger = get_logger("links")


class LastHeartbeat(NamedTuple):
    """The record last sent on a link, and when it was sent."""

    record: MemberRecord
    sent_at: int


class LinkClient:
    """Links from this VM to control VMs.

    `channels` maps addresses to channels, None while connecting. `describe` returns
    this VM's `MemberRecord`, `get_loads` its load on the targets, `get_seeds` the link
    addresses of the control VMs named in the settings.
    """

    def __init__(self, fleet, clock, describe, get_loads, get_seeds):
        self.fleet = fleet
        self.clock = clock
        self.describe = describe
        self.get_loads = get_loads
        self.get_seeds = get_seeds
        self.channels = {}
        self.last_heartbeats = {}
        self.last_attempts = {}
        self.task = task.PeriodicTask(self.run_round, ROUND_INTERVAL_MS)

    def run_round(self):
        """Send heartbeats, expire old state and open missing links."""
        self.send_heartbeats()
        self.fleet.sweep()
        now = self.clock.now()
        addresses = self.control_addresses()
        for address in addresses:
            is_due = (
                now - self.last_attempts.get(address, -RECONNECT_INTERVAL_MS)
                >= RECONNECT_INTERVAL_MS
            )
            if address not in self.channels and is_due and self.needs_link(addresses):
                self.last_attempts[address] = now
                self.channels[address] = None
                task.spawn(self.run_link, address)

    def needs_link(self, addresses):
        """Return whether fewer links are open than wanted."""
        own = self.describe()
        limit = len(addresses) if own.role == CONTROL else MAX_ENTRY_LINKS
        return len(self.channels) < limit

    def control_addresses(self):
        """Return the link addresses of other control VMs, nearest first."""
        seeds = tuple(self.get_seeds())
        return self.fleet.members.cache.get(
            ("control", seeds), lambda: self.rank_addresses(seeds)
        )

    def rank_addresses(self, seeds):
        """Return the link addresses of known control VMs and seeds, nearest first."""
        own = self.describe()
        ranks = {}
        for member in self.fleet.members.known():
            if member.role == CONTROL and not member.stopping:
                ranks[member.link_address] = (
                    member.failure_domain != own.failure_domain,
                    member.region != own.region,
                )
        for address in seeds:
            ranks.setdefault(address, (True, True))
        ranks.pop(own.link_address, None)

        def sort_key(address):
            tiebreaker = zlib.crc32(f"{own.name} {address}".encode())
            return *ranks[address], tiebreaker

        return sorted(ranks, key=sort_key)

    def run_link(self, address):
        """Open a link and serve it until it fails."""
        host, _, port = address.rpartition(":")
        try:
            connection = socket.create_connection((host, int(port)), CONNECT_TIMEOUT_S)
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with contextlib.closing(Channel(connection)) as channel:
                self.receive_messages(address, channel)
        except OSError as error:
            logger.info("no link", extra={"address": address, "problem": str(error)})
        finally:
            del self.channels[address]
            self.last_heartbeats.pop(address, None)

    def receive_messages(self, address, channel):
        """Send this VM's record, then handle messages until the link fails."""
        self.channels[address] = channel
        channel.push(LinkHello(self.describe()))
        try:
            while True:
                self.fleet.handle(channel.receive(), address)
        except ChannelError as error:
            logger.info("link lost", extra={"address": address, "problem": str(error)})
        self.fleet.forget_source(address)

    def send_heartbeat(self, address, channel):
        """Send this VM's record and load if a heartbeat is due on this link.

        It is due each round on the nearest link, else after a change of the record or
        after `SLOW_HEARTBEAT_INTERVAL_MS`.
        """
        now, record = self.clock.now(), self.describe()
        last_heartbeat = self.last_heartbeats.get(address)
        has_changed = last_heartbeat is None or last_heartbeat.record != record
        is_nearest = address == self.nearest_linked()
        if (
            has_changed
            or is_nearest
            or now - last_heartbeat.sent_at >= SLOW_HEARTBEAT_INTERVAL_MS
        ):
            self.last_heartbeats[address] = LastHeartbeat(record, now)
            channel.push(MemberHeartbeat(record, self.get_loads(), is_nearest))

    def nearest_linked(self):
        """Return the address of the nearest linked control VM, or ''."""
        linked = (
            address
            for address in self.control_addresses()
            if self.channels.get(address)
        )
        return next(linked, "")

    def send_heartbeats(self):
        """Send heartbeats on all links where they are due."""
        for address, channel in [*self.channels.items()]:
            if channel is not None:
                self.send_heartbeat(address, channel)

    def close(self):
        """Close all links."""
        self.task.close()
        for channel in [*self.channels.values()]:
            if channel is not None:
                channel.close()
