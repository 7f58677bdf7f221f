"""Periodic rounds of heartbeats to a few peers, and the handlers of their calls.

In its failure domain a node sends each round to two members in rotation and to up to
two suspected ones. Two members, the relays, also exchange reports with relays of other
failure domains; the others pull these reports from a local member with newer ones.
"""

import random

from result import Ok

from pollenmount import task
from pollenmount.members.local import RELAYS
from pollenmount.members.messages import FetchRosters, Heartbeat, Pull, PullReply
from pollenmount.members.peers import Contacts, ShuffledRotation, relay_address

__all__ = ["Heartbeater"]

LOCAL_FANOUT = 2
REMOTE_FANOUT = 1
JOIN_ROUNDS = 3
UNREACHABLE_RETRY_ROUNDS = 5
SEED_CONTACT_ROUNDS = 10
MIN_ROUNDS_BETWEEN_PULLS = 3
MAX_PULLS_SERVED_PER_ROUND = 3
JOIN_ROUNDS_PER_TIMEOUT = 4


class Heartbeater:
    """Sends rounds of heartbeats and merges the replies.

    `report`
        Returns a current `Report` of this failure domain.
    `distributor`
        Fetches plans of peers with a higher plan number.
    `spawn`
        Runs a function in its own task (default `task.spawn`).
    """

    def __init__(
        self, control, members, report, distributor, seeds, timeout_ms, spawn=None
    ):
        self.control = control
        self.local = members.local
        self.remote = members.remote
        self.report = report
        self.distributor = distributor
        self.seeds = seeds
        self.timeout_ms = timeout_ms
        self.spawn = spawn or task.spawn
        self.rounds = 0
        self.last_pull_round = 0
        self.pulls_served = 0
        self.got_reply = False
        self.joined = False
        self.join_rounds = 0
        self.announced_version = 0
        self.pull_failures = {}
        self.contacts = Contacts(self.remote)
        self.fetching = set()
        seed = self.local.describe().incarnation
        self.local_rotation = ShuffledRotation(random.Random(seed))
        self.remote_rotation = ShuffledRotation(random.Random(seed))
        self.seed_rotation = ShuffledRotation(random.Random(seed))
        self.retry_rotation = ShuffledRotation(random.Random(seed))

    def join(self):
        """Contact all known members in short rounds, then let plans come into force."""
        while not self.joined:
            task.run_logged(self.join_step)
            task.sleep(self.timeout_ms // JOIN_ROUNDS_PER_TIMEOUT)

    def join_step(self):
        """Start the next join round; rounds without any reply are not counted."""
        self.remove_expired()
        self.join_rounds += self.got_reply
        self.got_reply = False
        if self.join_rounds < JOIN_ROUNDS:
            self.join_round()
        else:
            self.joined = True
            self.distributor.enable()

    def join_round(self):
        """Send heartbeats to all known local members and pulls to all other seeds."""
        self.local.heartbeat_counter += 1
        known = {row.member.control for row in self.local.rows.values()}
        for address in sorted(known):
            self.spawn(self.exchange, address)
        for address in sorted({*self.seeds} - known - {self.local.own().control}):
            self.spawn(self.pull, address)

    def send_heartbeats(self):
        """Send one round of heartbeats, each in its own task."""
        self.rounds += 1
        self.pulls_served = 0
        self.local.heartbeat_counter += 1
        self.remove_expired()
        for address in self.local_addresses():
            self.spawn(self.exchange, address)
        for address, domain in self.remote_addresses():
            self.spawn(self.pull, address, domain)
        self.distributor.catch_up()

    def remove_expired(self):
        """Remove expired members and reports."""
        self.local.remove_expired()
        self.remote.remove_expired()

    def local_addresses(self):
        """Return the local addresses of this round; all after a change of this node."""
        reachable = [row.member.control for row in self.local.reachable_rows().values()]
        version = self.local.own().version
        if version != self.announced_version:
            self.announced_version = version
            return reachable
        unreachable = [member.control for member in self.local.unreachable()]
        chosen = self.local_rotation.take(reachable, LOCAL_FANOUT)
        suspects = [member.control for member in self.local.suspects()]
        chosen += suspects[:LOCAL_FANOUT]
        if unreachable and (
            not reachable or self.rounds % UNREACHABLE_RETRY_ROUNDS == 0
        ):
            chosen += self.retry_rotation.take(unreachable, 1)
        return sorted({*chosen})

    def remote_addresses(self):
        """Yield (address, failure domain or '' for a seed) of this round's pulls."""
        if self.is_relay():
            domains = self.remote_rotation.take(self.remote.rosters, REMOTE_FANOUT)
            for domain in domains:
                roster = self.remote.rosters[domain].roster
                turn = self.rounds % RELAYS + self.pull_failures.get(domain, 0)
                address = relay_address(roster, turn)
                if address:
                    yield address, domain
        for address in self.seeds_to_contact():
            yield address, ""

    def seeds_to_contact(self):
        """Return the seeds to contact in this round, mostly none.

        Seeds that are reachable as members are skipped, but not by a node that is alone
        in its failure domain: another node may be alone there as well, and only a seed
        that both contact can tell each of the other. A node without any peer contacts
        all seeds in each round; otherwise it is one seed every `SEED_CONTACT_ROUNDS`,
        or each round as long as no report was received.
        """
        own = self.local.own().control
        seeds = {*self.seeds} - {own}
        reached = {member.control for member in self.local.live()}
        reached.update(member.control for member in self.remote.live())
        is_alone = not self.local.reachable_rows()
        unreached = sorted(seeds - reached)
        if is_alone and not self.remote.received:
            return unreached
        due = not self.remote.received or self.rounds % SEED_CONTACT_ROUNDS == 0
        candidates = sorted(seeds) if is_alone else unreached
        return self.seed_rotation.take(candidates, 1) if due else []

    def is_relay(self):
        """Return whether this node is a relay of its failure domain."""
        own = self.local.describe().name
        return any(member.name == own for member in self.local.relays())

    def make_heartbeat(self, descriptions=(), unknown_digests=(), known=()):
        """Return this node's heartbeat message, without entries as old as `known`."""
        domain = self.remote.failure_domain
        heartbeats = self.local.heartbeats(known)
        return Heartbeat(
            domain,
            heartbeats,
            descriptions,
            unknown_digests,
            self.remote.sequence_sum(),
        )

    def exchange(self, address):
        """Exchange heartbeats with a member; again if either lacks descriptions."""
        reply = self.control.call(address, self.make_heartbeat(), self.timeout_ms)
        if not isinstance(reply, Ok):
            return
        unknown_digests = self.handle_reply(reply.ok_value, address)
        descriptions = self.descriptions_for(reply.ok_value)
        if unknown_digests or descriptions:
            again = self.make_heartbeat(descriptions, unknown_digests)
            reply = self.control.call(address, again, self.timeout_ms)
            if isinstance(reply, Ok):
                self.handle_reply(reply.ok_value, address)

    def descriptions_for(self, message):
        """Return the descriptions that the sender of a message needs."""
        descriptions = self.local.find_descriptions(message.unknown_digests)
        return descriptions + self.local.newer_descriptions(
            message.heartbeats[0].description_digest
        )

    def handle_heartbeat(self, message):
        """Merge a member's heartbeat and return this node's."""
        if message.failure_domain != self.remote.failure_domain:
            return self.make_heartbeat()
        self.local.merge_descriptions(message.descriptions)
        unknown_digests = self.local.merge_heartbeats(message.heartbeats)
        return self.make_heartbeat(
            self.descriptions_for(message), unknown_digests, message.heartbeats
        )

    def handle_reply(self, message, address):
        """Merge a reply; return the digests whose description this node lacks."""
        if message.failure_domain != self.remote.failure_domain:
            return ()
        self.got_reply = True
        self.local.merge_descriptions(message.descriptions)
        unknown_digests = self.local.merge_heartbeats(message.heartbeats)
        self.distributor.note_peer_plan(message.heartbeats[0].plan_number, address)
        if message.remote_sequence_sum > self.remote.sequence_sum() and self.may_pull():
            self.last_pull_round = self.rounds
            self.spawn(self.pull, address, self.remote.failure_domain)
        return unknown_digests

    def may_pull(self):
        """Return whether a pull from a local member is due; limits their rate."""
        return (
            self.rounds - self.last_pull_round >= MIN_ROUNDS_BETWEEN_PULLS
            or not self.remote.received
        )

    def pull(self, address, domain=""):
        """Exchange reports with a peer of `domain`, '' for a seed of any domain."""
        own = self.local.own()
        sends_report = domain != self.remote.failure_domain and self.is_relay()
        report = self.report() if sends_report and self.joined else None
        request = Pull(
            self.remote.failure_domain,
            own.control,
            own.plan_number,
            report,
            self.remote.known_sequences(),
            not domain,
        )
        reply = self.control.call(address, request, self.timeout_ms)
        if isinstance(reply, Ok):
            self.pull_failures.pop(domain, None)
            self.handle_pull_reply(reply.ok_value, address)
            if not domain and reply.ok_value.failure_domain == own.failure_domain:
                self.exchange(address)
            for contact in sorted({*reply.ok_value.contacts} - {own.control}):
                self.exchange(contact)
        elif domain in self.remote.rosters:
            self.pull_failures[domain] = self.pull_failures.get(domain, 0) + 1

    def handle_pull_reply(self, reply, address):
        """Merge the reply to a `Pull`."""
        self.got_reply = True
        self.remote.raise_own_sequence(reply.caller_sequence)
        if not reply.reports:
            self.last_pull_round = 0
        self.process_reports(reply.reports, address)
        self.distributor.note_peer_plan(reply.plan_number, address)

    def handle_pull(self, request):
        """Answer a `Pull`."""
        self.remote.raise_own_sequence_from(request.known_sequences)
        if request.report:
            self.process_reports((request.report,), request.control)
        self.distributor.note_peer_plan(request.plan_number, request.control)
        domain = request.failure_domain
        contacts = ()
        if request.wants_contacts and domain != self.remote.failure_domain:
            contacts = self.contacts.contacts_for(domain, request.control)
        return PullReply(
            self.remote.failure_domain,
            self.local.describe().plan_number,
            self.remote.sequence_of(domain),
            self.reports_for(request),
            contacts,
        )

    def reports_for(self, request):
        """Return newer reports, or none above the limit of pulls per round."""
        self.pulls_served += 1
        if (
            self.pulls_served > MAX_PULLS_SERVED_PER_ROUND
            and not request.wants_contacts
        ):
            return ()
        return self.remote.reports_newer_than(request.known_sequences, request.report)

    def process_reports(self, reports, address):
        """Merge reports and fetch the rosters they name that are missing."""
        self.remote.merge_reports(reports)
        missing = {*self.remote.missing_rosters(reports)} - self.fetching
        if missing:
            self.fetching |= missing
            self.spawn(self.fetch_rosters, address, tuple(sorted(missing)))

    def fetch_rosters(self, address, keys):
        """Fetch rosters from a peer."""
        try:
            reply = self.control.call(address, FetchRosters(keys), self.timeout_ms)
            if isinstance(reply, Ok):
                self.remote.merge_rosters(reply.ok_value)
                self.merge_own_members(reply.ok_value)
        finally:
            self.fetching.difference_update(keys)

    def merge_own_members(self, rosters):
        """Merge members of the own failure domain that another domain knows."""
        for roster in rosters:
            self.local.merge_descriptions(roster.members)

    def handle_fetch_rosters(self, request):
        """Answer a `FetchRosters`."""
        return self.remote.find_rosters(request.keys)
