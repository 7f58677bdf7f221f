"""Server side of links on a control VM: registers members and sends them changes.

Other control VMs hear of what this VM observes itself, never of what it was told: so no
two of them can vouch to each other for a VM that is gone. Plans and evacuations go to
control VMs without a replica of the log in touch with its leader. Entry VMs hear of
what `fleet.session` selects for them.
"""

import collections
import contextlib
from typing import NamedTuple

from pollenmount import task
from pollenmount.fleet.capacity import CapacityReports, summarize_capacities
from pollenmount.fleet.channel import Channel, ChannelError
from pollenmount.fleet.members import is_news
from pollenmount.fleet.messages import (
    LINK_PROTOCOL,
    Capacities,
    EntryCounts,
    LinkHello,
    Loads,
    MemberDown,
    MemberHeartbeat,
    MemberUp,
    QuotaTotals,
    QuotaUse,
    RoutesChanged,
    StreamsBegan,
    TargetLimited,
    encode,
)
from pollenmount.fleet.observations import OBSERVATIONS
from pollenmount.fleet.records import CONTROL, ENTRY
from pollenmount.fleet.selection import (
    is_available,
    prefer_paths,
    select_hop_peers,
)
from pollenmount.fleet.sender_selection import SenderSelection
from pollenmount.fleet.session import Session, concerns
from pollenmount.fleet.target_reports import DIRECT, TargetReports
from pollenmount.fleet.totals import LOAD_INTERVAL_MS, LoadTotals, is_plausible
from pollenmount.log import get_logger

__all__ = ["DIRECT", "LinkServer"]

TICK_INTERVAL_MS = 250
# Every this many ticks, all links get a heartbeat, and what may be a little older.
SLOW_TICKS = 3
HOP_PEERS_INTERVAL_MS = 1000
# Time in which a member has reported that it got a plan over its primary link.
MISSING_PLAN_DELAY_MS = 1000
RECONNECT_GRACE_MS = 800
# Time in which all running VMs have linked to a control VM that started.
SETTLE_MS = 3000
LISTEN_BACKLOG = 512
ACCEPT_PAUSE_MS = 100
LINK_HEARTBEAT = encode(Loads((), complete=False))

logger = get_logger("links")


class LostLink(NamedTuple):
    """When a member's link was lost, and the incarnation that had it."""

    lost_at: int
    incarnation: str


class LinkServer:
    """Accepts links on `address` and sends changes of the fleet to linked members.

    `has_quorum` returns whether this VM is in touch with the leader of the log, and
    `targets` handles what targets report here.
    `sessions` are the linked members by name, `lost_links` those whose link was lost
    less than `RECONNECT_GRACE_MS` ago, `totals` the load of targets, and `capacities`
    what this VM and other control VMs know of the services in each region. `ledger`
    keeps the quotas of accounts, None without any.
    """

    def __init__(self, address, fleet, clock, has_quorum, ledger=None):
        self.fleet = fleet
        self.clock = clock
        self.has_quorum = has_quorum
        self.ledger = ledger
        self.started_at = clock.now()
        self.sessions = {}
        self.lost_links = {}
        self.senders = SenderSelection(fleet)
        self.totals = LoadTotals(fleet.region_of_target)
        self.capacities = CapacityReports()
        self.entry_counts = EntryCounts({}, False, False)
        self.hop_peers_version = None
        self.hop_peers_at = clock.now()
        self.ticks = 0
        fleet.listeners.append(self.forward_change)
        self.targets = TargetReports(fleet, self.senders, self.push_to_control_vms)
        self.socket = task.listen(address, LISTEN_BACKLOG)
        self.thread = task.spawn(self.accept_links)
        self.ticker = task.PeriodicTask(self.tick, TICK_INTERVAL_MS)
        self.load_ticker = task.PeriodicTask(self.send_news, LOAD_INTERVAL_MS)

    def accept_links(self):
        """Accept links until this task is killed."""
        while True:
            try:
                connection, _ = self.socket.accept()
            except Exception as error:
                logger.error("can't accept a link", extra={"problem": str(error)})
                task.sleep(ACCEPT_PAUSE_MS)
                continue
            task.spawn(self.serve_link, Channel(connection))

    def serve_link(self, channel):
        """Serve one link until it fails."""
        with contextlib.closing(channel):
            try:
                first = channel.receive()
                if not isinstance(first, LinkHello) or first.protocol != LINK_PROTOCOL:
                    raise ChannelError("the peer is of another build; replace it")
            except ChannelError as error:
                logger.info("link refused", extra={"problem": str(error)})
                return
            self.serve_member(first, channel)

    def serve_member(self, hello, channel):
        """Serve a member until its link fails."""
        session = self.open_session(hello, channel)
        problem = "a message could not be handled"
        try:
            while True:
                self.handle(session, channel.receive())
        except ChannelError as error:
            problem = str(error)
        finally:
            self.close_session(session, problem)

    def open_session(self, hello, channel):
        """Register a member and send it the state of the fleet; return its session."""
        session = Session(hello, channel)
        # A message that can't be encoded must not leave a session without a link.
        messages = [encode(message) for message in self.snapshot(session)]
        previous = self.sessions.pop(session.name, None)
        if previous is not None:
            previous.channel.close()
        self.sessions[session.name] = session
        self.totals.forget(session.name)
        self.lost_links.pop(session.name, None)
        if self.ledger is not None and session.is_entry:
            self.ledger.member_linked(session.name, session.record.incarnation)
        extra = {"member": session.name, "role": session.record.role}
        logger.info("link open", extra=extra)
        for data in messages:
            channel.push_encoded(data)
        self.handle_record(hello.member)
        return session

    def snapshot(self, session):
        """Yield the messages that bring a newly linked member up to date."""
        fleet = self.fleet
        # A VM that knows targets has to know what crashes them.
        yield from fleet.crash_reports()
        if session.is_control:
            yield from fleet.members.snapshot(DIRECT)
            yield from fleet.targets.snapshot(DIRECT)
            yield Capacities(self.capacities.own)
            return
        yield from self.orders(session)
        changes = (*fleet.members.snapshot(), *fleet.targets.snapshot())
        yield from (m for m in changes if concerns(m, session, fleet))
        yield self.entry_counts

    def handle(self, session, message):
        """Handle one message of a member."""
        if isinstance(message, Loads):
            self.handle_loads(session, message.loads)
        if isinstance(message, TargetLimited) and session.is_entry:
            message = self.senders.complete(message)
        if isinstance(message, OBSERVATIONS):
            self.fleet.handle(message, session.name)
        if isinstance(message, StreamsBegan):
            self.fleet.store_streams(message, is_news=session.is_entry)
        self.handle_quotas(session, message)
        for answer in self.fleet.answers_on_streams(message):
            session.channel.push(answer)
        if not isinstance(message, MemberHeartbeat):
            return
        self.set_primary(session, message.is_primary)
        if message.member is not None:
            session.record = message.member
            self.handle_record(message.member)

    def handle_quotas(self, session, message):
        """Count what a member reports of accounts with a quota."""
        if self.ledger is None:
            return
        if isinstance(message, QuotaUse) and session.is_entry:
            self.ledger.handle_use(session.name, message)
        if isinstance(message, QuotaTotals) and session.is_control:
            incarnation = session.record.incarnation
            self.ledger.handle_totals(session.name, incarnation, message)

    def handle_loads(self, session, loads):
        """Store the loads of a member, unless it has a newer link."""
        if not all(is_plausible(load) for load in loads):
            raise ChannelError("a load is out of range")
        if self.sessions.get(session.name) is session:
            self.totals.report(session.name, loads)

    def set_primary(self, session, is_primary):
        """Send a member all that goes over its primary link once this one is it."""
        if not session.set_primary(is_primary) or not is_primary:
            return
        for message in self.orders(session):
            session.channel.push(message)
        if session.is_entry:
            region = session.record.region
            session.channel.push_encoded(self.totals.encode_complete(region))
            session.channel.push_encoded(self.capacities.encode_others(region))
            peers = find_hop_peers(session.record, self.available_by_region())
            session.send_hop_peers(peers)
            self.send_all_levels(session)

    def orders(self, session):
        """Yield the plan, if the member has an older one, and the evacuations."""
        fleet = self.fleet
        if session.record.plan < fleet.routes.version:
            session.routes_revision = fleet.routes.revision
            yield fleet.routes
        if fleet.evacuations.revision:
            yield fleet.evacuations

    def handle_record(self, record):
        """Store the record of a linked member; pass a change on to control VMs."""
        known = self.fleet.members.record_from(record.name, DIRECT)
        self.fleet.members.handle_up(MemberUp(record), DIRECT)
        if is_news(known, record):
            self.push_to_control_vms(MemberUp(record))

    def close_session(self, session, problem):
        """Record a lost link; the member has `RECONNECT_GRACE_MS` to reconnect."""
        name = session.name
        logger.info("link lost", extra={"member": name, "problem": problem})
        if self.sessions.get(name) is session:
            del self.sessions[name]
            incarnation = session.record.incarnation
            self.lost_links[name] = LostLink(self.clock.now(), incarnation)
            self.totals.forget(name)
            if self.ledger is not None:
                self.ledger.member_lost(name)

    def tick(self):
        """Report lost members, and send what is sent periodically."""
        self.expire_lost_links()
        self.send_entry_counts()
        self.ticks += 1
        is_slow_tick = self.ticks % SLOW_TICKS == 0
        self.update_capacities()
        self.send_hop_peers()
        self.targets.update_limit_senders()
        for session in [*self.sessions.values()]:
            self.send_changes(session, is_slow_tick)
            if session.is_entry:
                self.send_missing_plan(session)

    def expire_lost_links(self):
        """Report members that didn't reconnect as down."""
        now = self.clock.now()
        for name, lost_link in [*self.lost_links.items()]:
            if now - lost_link.lost_at >= RECONNECT_GRACE_MS:
                del self.lost_links[name]
                message = MemberDown(name, lost_link.incarnation)
                self.fleet.members.handle_down(message, DIRECT)
                self.push_to_control_vms(message)

    def send_entry_counts(self):
        """Send the number of entry VMs by region to entry VMs if it has changed."""
        members = self.fleet.members.known()
        counts = collections.Counter(m.region for m in members if m.role == ENTRY)
        has_quorum = self.has_quorum()
        has_settled = self.clock.now() - self.started_at >= SETTLE_MS
        message = EntryCounts(dict(counts), has_quorum, has_quorum and has_settled)
        if message != self.entry_counts:
            self.entry_counts = message
            self.push_to_entry_vms(message)

    def update_capacities(self):
        """Sum up the capacity of each region."""
        reporters = collections.Counter(
            session.record.region
            for session in self.sessions.values()
            if session.is_entry
        )
        rows = summarize_capacities(self.fleet, self.totals.by_target, reporters)
        self.capacities.update(
            tuple(rows),
            self.fleet.capacity_rows.values(),
            {*self.fleet.regions.values()},
        )
        if self.capacities.own_changed:
            self.push_encoded_to(CONTROL, self.capacities.own_changed)

    def send_hop_peers(self):
        """Send members the VMs to which they may send hops."""
        now, version = self.clock.now(), self.fleet.members.version
        is_due = now - self.hop_peers_at >= HOP_PEERS_INTERVAL_MS
        if not is_due or version == self.hop_peers_version:
            return
        self.hop_peers_version, self.hop_peers_at = version, now
        by_region = self.available_by_region()
        for session in self.sessions.values():
            if session.is_primary and session.is_entry:
                session.send_hop_peers(find_hop_peers(session.record, by_region))

    def available_by_region(self):
        """Return the entry VMs of each region that take requests, and can run them."""
        by_region = collections.defaultdict(list)
        for member in self.fleet.members.live():
            if is_available(member):
                by_region[member.region].append(member)
        return {region: prefer_paths(found) for region, found in by_region.items()}

    def send_changes(self, session, is_slow_tick):
        """Send changes of capacity to a member that uses this link for them.

        All others get a heartbeat at each slow tick.
        """
        changed = None
        if session.is_primary and session.is_entry:
            changed = self.capacities.changed.get(session.record.region)
        if changed:
            session.channel.push_encoded(changed)
        elif is_slow_tick:
            session.channel.push_encoded(LINK_HEARTBEAT)

    def send_news(self):
        """Send what is sent in short intervals: loads, and levels of quotas."""
        self.send_loads()
        self.send_levels()

    def send_levels(self):
        """Send levels that changed to entry VMs that use this link for them."""
        if self.ledger is None or not self.ledger.is_active():
            return
        primary = [s for s in self.sessions.values() if s.is_primary and s.is_entry]
        self.ledger.tick(len(primary))
        message = self.ledger.take_levels()
        data = encode(message) if message is not None else b""
        for session in primary if data else ():
            session.channel.push_encoded(data)

    def send_all_levels(self, session):
        """Send an entry VM all levels, if there are quotas."""
        if self.ledger is None or not self.ledger.is_active():
            return
        message = self.ledger.all_levels()
        if message is not None:
            session.channel.push(message)

    def send_loads(self):
        """Send changed totals of load to members that use this link for them."""
        changes = self.totals.take_changes()
        for session in [*self.sessions.values()] if changes else ():
            changed = changes.get(session.record.region)
            if changed and session.is_primary and session.is_entry:
                session.channel.push_encoded(changed)

    def send_missing_plan(self, session):
        """Send the plan if a member has lacked one for longer than its links take."""
        now, routes = self.clock.now(), self.fleet.routes
        has_plan = session.record.plan >= routes.version
        if has_plan or session.routes_revision >= routes.revision:
            session.behind_since = None
        elif session.behind_since is None:
            session.behind_since = now
        elif now - session.behind_since >= MISSING_PLAN_DELAY_MS:
            session.behind_since = None
            session.routes_revision = routes.revision
            session.channel.push(routes)

    def forward_change(self, message, source):
        """Send a change to the members that it concerns.

        What a member observed goes on to the other control VMs.
        """
        data = encode(message)
        is_plan = isinstance(message, RoutesChanged)
        for session in [*self.sessions.values()]:
            if concerns(message, session, self.fleet):
                session.channel.push_encoded(data)
                if is_plan:
                    session.routes_revision = message.revision
        if isinstance(message, OBSERVATIONS) and source in self.sessions:
            self.push_encoded_to(CONTROL, data)

    def push_to_entry_vms(self, message):
        """Send a message to all linked entry VMs."""
        self.push_encoded_to(ENTRY, encode(message))

    def push_to_control_vms(self, message):
        """Send what this VM observed itself to the other control VMs."""
        self.push_encoded_to(CONTROL, encode(message))

    def push_encoded_to(self, role, data):
        """Send an encoded message to all linked members of a role."""
        for session in [*self.sessions.values()]:
            if session.record.role == role:
                session.channel.push_encoded(data)

    def close(self):
        """Stop accepting links and close them all."""
        self.load_ticker.close()
        self.ticker.close()
        self.thread.kill()
        self.socket.close()
        for session in self.sessions.values():
            session.channel.close()


def find_hop_peers(record, by_region):
    """Return the VMs to which a member may send hops, by name.

    `by_region` has the available entry VMs of each region. Those of its own region are
    for a member that reaches no target itself.
    """
    return {
        peer.name: peer
        for region, members in by_region.items()
        if region != record.region or not record.has_paths
        for peer in select_hop_peers(record.name, members)
    }
