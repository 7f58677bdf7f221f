"""Client side of links: keeps links to the nearest control VMs open."""

import contextlib
import socket
import zlib
from typing import NamedTuple

from pollenmount import task
from pollenmount.fleet.channel import Channel, ChannelError
from pollenmount.fleet.messages import (
    LINK_PROTOCOL,
    LinkHello,
    Loads,
    MemberHeartbeat,
    RequestAsked,
    StreamAsked,
)
from pollenmount.fleet.observations import OBSERVATIONS, RESPONSE
from pollenmount.fleet.records import CONTROL, MemberRecord
from pollenmount.fleet.totals import LOAD_INTERVAL_MS, changed_loads
from pollenmount.log import get_logger

__all__ = ["LinkClient"]

CONNECT_TIMEOUT_S = 0.5
ROUND_INTERVAL_MS = 250
# Well below the time-out of a link.
SLOW_HEARTBEAT_INTERVAL_MS = 700
RECONNECT_INTERVAL_MS = 700
MAX_RECONNECT_INTERVAL_MS = 5600
ENTRY_LINKS = 2
# Further links while none of the nearest ones leads to the leader of the log.
EXTRA_LINKS = 2
QUORUM_GRACE_MS = 2500
# Control VMs that no link lists any more may be all that this VM can still reach.
CONTROL_RETENTION_MS = 60_000

logger = get_logger("links")


class LastHeartbeat(NamedTuple):
    """The record last sent on a link, and when a heartbeat was sent."""

    record: MemberRecord
    sent_at: int


class KnownControlVm(NamedTuple):
    """The record of a control VM, and when some link listed it last."""

    record: MemberRecord
    seen_at: int


class FailedAttempts(NamedTuple):
    """Attempts in a row to open a link that failed, and the time of the last one."""

    count: int
    last_at: int

    def next_at(self):
        """Return when the next attempt is due."""
        interval_ms = RECONNECT_INTERVAL_MS << min(self.count, 8)
        return self.last_at + min(interval_ms, MAX_RECONNECT_INTERVAL_MS)


class LinkClient:
    """Links from this VM to control VMs: all of them, or the nearest ones.

    `addresses` are the link addresses of other control VMs, nearest first. `channels`
    maps addresses to channels, None while connecting; `established` are the addresses
    of links on which something was received. `describe` returns this VM's
    `MemberRecord`, `get_loads` its load on the targets, `get_seeds` the link addresses
    of the control VMs named in the settings, and `has_log` whether a control VM has
    plans and evacuations from a replica of the log. `sent_loads` has the load last sent
    on each link, by target. `quotas` has what this VM reports of accounts with a quota,
    None if it keeps no quotas; `quota_links` are the links on which it sent all of it.
    """

    def __init__(
        self,
        fleet,
        clock,
        describe,
        get_loads,
        get_seeds,
        has_log=lambda: True,
        quotas=None,
    ):
        self.fleet = fleet
        self.clock = clock
        self.describe = describe
        self.get_loads = get_loads
        self.get_seeds = get_seeds
        self.has_log = has_log
        self.quotas = quotas
        self.quota_links = set()
        self.addresses = []
        self.channels = {}
        self.established = set()
        self.last_heartbeats = {}
        self.sent_loads = {}
        self.failed_attempts = {}
        self.known_control_vms = {}
        self.quorum_seen_at = clock.now()
        fleet.listeners.append(self.report_observation)
        fleet.origins.ask = self.ask_stream
        fleet.request_origins.ask = self.ask_request
        self.task = task.PeriodicTask(self.run_round, ROUND_INTERVAL_MS)
        self.load_task = task.PeriodicTask(self.send_news, LOAD_INTERVAL_MS)

    def run_round(self):
        """Send heartbeats, expire old state, and open and close links."""
        self.send_heartbeats()
        self.fleet.sweep()
        self.update_addresses()
        limit = self.max_links()
        for address in self.missing_links(limit):
            self.channels[address] = None
            task.spawn(self.run_link, address)
        self.close_surplus_links(limit)

    def max_links(self):
        """Return how many links this VM wants."""
        if self.describe().role == CONTROL:
            return len(self.addresses)
        now = self.clock.now()
        nearest = [a for a in self.addresses if a in self.established][:ENTRY_LINKS]
        if not nearest or any(self.fleet.quorums.get(a) for a in nearest):
            self.quorum_seen_at = now
        is_isolated = now - self.quorum_seen_at >= QUORUM_GRACE_MS
        return ENTRY_LINKS + (EXTRA_LINKS if is_isolated else 0)

    def missing_links(self, limit):
        """Yield the addresses of links to open: the nearest ones that are not open.

        A link that was lost before is not counted until it is established again.
        """
        now, count = self.clock.now(), 0
        for address in self.addresses:
            if count >= limit:
                return
            failed = self.failed_attempts.get(address)
            if address in self.channels:
                count += address in self.established or failed is None
            elif failed is None or now >= failed.next_at():
                count += failed is None
                yield address

    def close_surplus_links(self, limit):
        """Close the farthest links if more are established than wanted."""
        ranks = {address: rank for rank, address in enumerate(self.addresses)}
        nearest_first = sorted(
            self.established, key=lambda address: ranks.get(address, len(ranks))
        )
        for address in nearest_first[limit:]:
            logger.info("link closed", extra={"address": address, "wanted": limit})
            self.established.discard(address)
            self.channels[address].close()

    def update_addresses(self):
        """Find the control VMs, including those that were lost a short while ago."""
        now = self.clock.now()
        for member in self.fleet.members.known():
            if member.role == CONTROL:
                self.note_restart(member)
                self.known_control_vms[member.name] = KnownControlVm(member, now)
        for name, known in [*self.known_control_vms.items()]:
            if now - known.seen_at >= CONTROL_RETENTION_MS:
                del self.known_control_vms[name]
        records = (known.record for known in self.known_control_vms.values())
        self.addresses = self.rank_addresses(tuple(self.get_seeds()), records)

    def note_restart(self, member):
        """Let a control VM try at once to open its link to one that has restarted.

        The other one has to know soon what this VM counts. Entry VMs keep the time of
        the next attempt, so that not all of them come at the same moment.
        """
        known = self.known_control_vms.get(member.name)
        has_restarted = known and known.record.incarnation != member.incarnation
        if has_restarted and self.describe().role == CONTROL:
            self.failed_attempts.pop(member.link_address, None)

    def rank_addresses(self, seeds, records):
        """Return the link addresses of control VMs and seeds, nearest first."""
        own = self.describe()
        ranks = {}
        for member in records:
            if not member.stopping:
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
        except (OSError, ValueError, OverflowError) as error:
            logger.info("no link", extra={"address": address, "problem": str(error)})
        finally:
            self.forget_link(address)

    def receive_messages(self, address, channel):
        """Send this VM's record, then handle messages until the link fails."""
        self.open_link(address, channel)
        try:
            while True:
                self.handle(address, channel.receive())
        except ChannelError as error:
            logger.info("link lost", extra={"address": address, "problem": str(error)})

    def handle(self, address, message):
        """Handle one message on a link; the first one shows that the link works."""
        self.fleet.freshness.record(address)
        self.fleet.handle(message, address)
        if address not in self.established:
            self.established.add(address)
            self.failed_attempts.pop(address, None)
            self.send_heartbeats()

    def open_link(self, address, channel):
        """Introduce this VM on a new link."""
        self.channels[address] = channel
        record = self.describe()
        self.last_heartbeats[address] = LastHeartbeat(record, 0)
        channel.push(LinkHello(record, LINK_PROTOCOL))
        for message in (*self.fleet.observations(), *self.fleet.streams_begun()):
            channel.push(message)

    def forget_link(self, address):
        """Drop the state of a link that has ended."""
        del self.channels[address]
        self.last_heartbeats.pop(address, None)
        self.sent_loads.pop(address, None)
        self.quota_links.discard(address)
        failed = self.failed_attempts.get(address)
        count = failed.count + 1 if failed else 0
        self.failed_attempts[address] = FailedAttempts(count, self.clock.now())
        self.established.discard(address)
        self.fleet.forget_source(address)

    def send_heartbeat(self, address, channel):
        """Send this VM's record and load if a heartbeat is due on this link.

        It is due each round on an entry VM's nearest link, else after a change of the
        record or after `SLOW_HEARTBEAT_INTERVAL_MS`.
        """
        now, record = self.clock.now(), self.describe()
        last = self.last_heartbeats[address]
        has_changed = last.record != record
        is_primary = self.is_primary(address)
        is_due = now - last.sent_at >= SLOW_HEARTBEAT_INTERVAL_MS
        if has_changed or is_primary or is_due:
            self.last_heartbeats[address] = LastHeartbeat(record, now)
            member = record if has_changed else None
            channel.push(MemberHeartbeat(member, is_primary))

    def is_primary(self, address):
        """Return whether a link is an entry VM's primary one, or brings the log."""
        if self.describe().role == CONTROL:
            return not self.has_log()
        return address == self.nearest_linked()

    def nearest_linked(self):
        """Return the address of the nearest control VM with a working link, or ''."""
        linked = (address for address in self.addresses if address in self.established)
        return next(linked, "")

    def send_heartbeats(self):
        """Send heartbeats on all links where they are due."""
        for address, channel in [*self.channels.items()]:
            if channel is not None:
                self.send_heartbeat(address, channel)

    def send_news(self):
        """Send what is sent in short intervals: loads, and streams that have begun."""
        self.send_loads()
        self.send_quotas()
        for message in self.fleet.take_streams_begun():
            self.push_to_all(message)

    def ask_stream(self, key):
        """Ask all linked control VMs at which version a stream began."""
        self.push_to_all(StreamAsked(key))

    def ask_request(self, number, key):
        """Ask all linked control VMs at which versions a request's streams began.

        Return the addresses of their links.
        """
        return self.push_to_all(RequestAsked(number, key))

    def push_to_all(self, message):
        """Send a message on all links that are open; return their addresses."""
        channels = {a: c for a, c in self.channels.items() if c is not None}
        for channel in channels.values():
            channel.push(message)
        return channels.keys()

    def send_loads(self):
        """Send on each link what changed of this VM's load since it was last sent."""
        loads = {load.id: load for load in self.get_loads()}
        for address, channel in [*self.channels.items()]:
            changed = changed_loads(self.sent_loads.get(address, {}), loads)
            if changed and channel is not None:
                channel.push(Loads(changed, complete=False))
                self.sent_loads[address] = loads

    def send_quotas(self):
        """Send on each link what changed of accounts with a quota, at first all."""
        if self.quotas is None or not self.quotas.is_active():
            self.quota_links.clear()
            return
        rows = self.quotas.take_rows()
        for address, channel in [*self.channels.items()]:
            if channel is None:
                continue
            is_new = address not in self.quota_links
            message = self.quotas.report(rows, self.is_primary(address), is_new)
            if message is not None:
                channel.push(message)
            self.quota_links.add(address)

    def report_observation(self, message, source):
        """Send a change on all links if this VM observed it in a target's response."""
        if not isinstance(message, OBSERVATIONS) or source != RESPONSE:
            return
        self.push_to_all(message)

    def close(self):
        """Close all links."""
        self.load_task.close()
        self.task.close()
        for channel in [*self.channels.values()]:
            if channel is not None:
                channel.close()
