"""The member's side of links: keeps some to control VMs open, nearest first."""

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
ROUND_MS = 250
# Well within the silence after which a link is given up.
SLOW_BEAT_MS = 700
RETRY_MS = 700
LINKS_OF_AN_ENTRY = 3

logger = get_logger("links")


class Said(NamedTuple):
    """The record that was sent last on a link, and when."""

    record: MemberRecord
    at: int


class LinkClient:
    """Links of this VM: `open` has their channels by address, None while connecting.

    `describe` returns this VM's `MemberRecord`, `loads` its work at the targets,
    `seeds` the link addresses of the control VMs that the settings name.
    """

    def __init__(self, fleet, clock, describe, loads, seeds):
        self.fleet = fleet
        self.clock = clock
        self.describe = describe
        self.loads = loads
        self.seeds = seeds
        self.open = {}
        self.said = {}
        self.tried = {}
        self.task = task.Task(self.round, ROUND_MS)

    def round(self):
        """Speak on the links, open those that are missing; forget what is old."""
        self.send_heartbeats()
        self.fleet.sweep()
        now = self.clock.now()
        addresses = self.control_addresses()
        for address in addresses:
            is_due = now - self.tried.get(address, -RETRY_MS) >= RETRY_MS
            if address not in self.open and is_due and self.needs_link(addresses):
                self.tried[address] = now
                self.open[address] = None
                task.spawn(self.run, address)

    def needs_link(self, addresses):
        """Return whether one more link is needed."""
        me = self.describe()
        limit = len(addresses) if me.role == CONTROL else LINKS_OF_AN_ENTRY
        return len(self.open) < limit

    def control_addresses(self):
        """Return the link addresses of control VMs, nearest first, without our own."""
        seeds = tuple(self.seeds())
        return self.fleet.members.cache.get(
            ("control", seeds), lambda: self.rank_control(seeds)
        )

    def rank_control(self, seeds):
        """Return the link addresses of known control VMs and seeds, nearest first."""
        me = self.describe()
        ranks = {}
        for member in self.fleet.members.known():
            if member.role == CONTROL and not member.stopping:
                ranks[member.link_address] = (
                    member.failure_domain != me.failure_domain,
                    member.region != me.region,
                )
        for address in seeds:
            ranks.setdefault(address, (True, True))
        ranks.pop(me.link_address, None)

        def order(address):
            spread = zlib.crc32(f"{me.name} {address}".encode())
            return *ranks[address], spread

        return sorted(ranks, key=order)

    def run(self, address):
        """Keep one link until it breaks."""
        host, _, port = address.rpartition(":")
        try:
            opened = socket.create_connection((host, int(port)), CONNECT_TIMEOUT_S)
            opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with contextlib.closing(Channel(opened)) as channel:
                self.serve(address, channel)
        except OSError as error:
            logger.info("no link", extra={"address": address, "problem": str(error)})
        finally:
            del self.open[address]
            self.said.pop(address, None)

    def serve(self, address, channel):
        """Introduce this VM and take in messages until the link breaks."""
        self.open[address] = channel
        channel.push(LinkHello(self.describe()))
        try:
            while True:
                self.fleet.handle(channel.receive(), address)
        except ChannelError as error:
            logger.info("link lost", extra={"address": address, "problem": str(error)})
        self.fleet.forget_source(address)

    def beat(self, address, channel):
        """Send this VM's record and work, less often on links that matter less."""
        now, record = self.clock.now(), self.describe()
        said = self.said.get(address)
        is_news = said is None or said.record != record
        is_nearest = address == self.nearest()
        if is_news or is_nearest or now - said.at >= SLOW_BEAT_MS:
            self.said[address] = Said(record, now)
            channel.push(MemberHeartbeat(record, self.loads(), is_nearest))

    def nearest(self):
        """Return the address of the nearest control VM that is linked, or ''."""
        linked = (
            address for address in self.control_addresses() if self.open.get(address)
        )
        return next(linked, "")

    def send_heartbeats(self):
        """Send this VM's record on all links where it is due; a change always is."""
        for address, channel in [*self.open.items()]:
            if channel is not None:
                self.beat(address, channel)

    def close(self):
        """Close all links."""
        self.task.close()
        for channel in [*self.open.values()]:
            if channel is not None:
                channel.close()
