"""Rounds of heartbeats to few peers, and the answers to theirs.

Inside the failure domain each round goes to two members in turn, and to those that are
suspected. Two members, the relays, also exchange reports with relays of other failure
domains; the rest pull these from a neighbour whose reports are newer.
"""

import random

from result import Ok

from pollenmount import task
from pollenmount.members.local import RELAYS
from pollenmount.members.messages import FetchRosters, Heartbeat, Pull, PullReply
from pollenmount.members.peers import Contacts, Rotation, relay_address

__all__ = ["Heartbeater"]

LOCAL_FANOUT = 2
REMOTE_FANOUT = 1
JOIN_ROUNDS = 3
RETRY_ROUNDS = 5
SEED_ROUNDS = 10
PULL_ROUNDS = 3
MAX_PULLS_SERVED = 3
JOIN_SPACING = 4


class Heartbeater:
    """Sends rounds of heartbeats and takes in what comes back.

    `report`
        Returns a new `Report` of this failure domain.
    `distributor`
        Fetches plans that peers are ahead with.
    `spawn`
        Runs a function in a task of its own (default `task.spawn`).
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
        self.pulled = 0
        self.served = 0
        self.answered = False
        self.joined = False
        self.join_rounds = 0
        self.said_version = 0
        self.failures = {}
        self.contacts = Contacts(self.remote)
        self.fetching = set()
        seed = self.local.describe().incarnation
        self.local_rotation = Rotation(random.Random(seed))
        self.remote_rotation = Rotation(random.Random(seed))
        self.seed_rotation = Rotation(random.Random(seed))
        self.retry_rotation = Rotation(random.Random(seed))

    def join(self):
        """Ask all known members in quick rounds, then let plans come into force."""
        while not self.joined:
            self.join_step()
            task.sleep(self.timeout_ms // JOIN_SPACING)

    def join_step(self):
        """Start the next round; rounds in which no peer answered don't count."""
        self.sweep()
        self.join_rounds += self.answered
        self.answered = False
        if self.join_rounds < JOIN_ROUNDS:
            self.join_round()
        else:
            self.joined = True
            self.distributor.open()

    def join_round(self):
        """Send a heartbeat to every seed and every known local member."""
        self.local.beat += 1
        known = {row.member.control for row in self.local.rows.values()}
        for address in sorted(known):
            self.spawn(self.exchange, address)
        for address in sorted({*self.seeds} - known - {self.local.own().control}):
            self.spawn(self.pull, address)

    def beat(self):
        """Send one round of heartbeats, each in a task of its own."""
        self.rounds += 1
        self.served = 0
        self.local.beat += 1
        self.sweep()
        for address in self.local_addresses():
            self.spawn(self.exchange, address)
        for address, domain in self.remote_addresses():
            self.spawn(self.pull, address, domain)
        self.distributor.mend()

    def sweep(self):
        """Forget members and reports that were silent for long."""
        self.local.sweep()
        self.remote.sweep()

    def local_addresses(self):
        """Return the addresses of this round inside the failure domain."""
        alive = [row.member.control for row in self.local.alive().values()]
        version = self.local.own().version
        if version != self.said_version:
            self.said_version = version
            return alive
        missing = [member.control for member in self.local.missing()]
        chosen = self.local_rotation.take(alive, LOCAL_FANOUT)
        suspects = [member.control for member in self.local.suspects()]
        chosen += suspects[:LOCAL_FANOUT]
        if missing and (not alive or self.rounds % RETRY_ROUNDS == 0):
            chosen += self.retry_rotation.take(missing, 1)
        return sorted({*chosen})

    def remote_addresses(self):
        """Yield (address, failure domain or '') of this round outside."""
        if self.is_relay():
            domains = self.remote_rotation.take(self.remote.rosters, REMOTE_FANOUT)
            for domain in domains:
                roster = self.remote.rosters[domain].roster
                turn = self.rounds % RELAYS + self.failures.get(domain, 0)
                address = relay_address(roster, turn)
                if address:
                    yield address, domain
        for address in self.seeds_to_ask():
            yield address, ""

    def seeds_to_ask(self):
        """Return the seeds of this round, one now and then.

        Those are asked that no member in reach answers for; and any of them by a node
        that is alone in its failure domain, as another one may be alone there too, and
        only a seed that both ask can introduce them.
        """
        own = self.local.own().control
        seeds = {*self.seeds} - {own}
        reached = {member.control for member in self.local.live()}
        reached.update(member.control for member in self.remote.live())
        is_alone = not self.local.alive()
        lost = sorted(seeds - reached)
        if is_alone and not self.remote.held:
            return lost
        due = not self.remote.held or self.rounds % SEED_ROUNDS == 0
        wanted = sorted(seeds) if is_alone else lost
        return self.seed_rotation.take(wanted, 1) if due else []

    def is_relay(self):
        """Return whether this node is a relay of its failure domain."""
        own = self.local.describe().name
        return any(member.name == own for member in self.local.relays())

    def message(self, described=(), unknown=(), known=()):
        """Return this node's heartbeat, without what a peer's `known` pulses say."""
        domain = self.remote.failure_domain
        pulses = self.local.pulses(known)
        return Heartbeat(domain, pulses, described, unknown, self.remote.total())

    def exchange(self, address):
        """Exchange heartbeats with one member, twice if one lacks descriptions."""
        reply = self.control.call(address, self.message(), self.timeout_ms)
        if not isinstance(reply, Ok):
            return
        unknown = self.take_in(reply.ok_value, address)
        described = self.describe_for(reply.ok_value)
        if unknown or described:
            again = self.message(described, unknown)
            reply = self.control.call(address, again, self.timeout_ms)
            if isinstance(reply, Ok):
                self.take_in(reply.ok_value, address)

    def describe_for(self, message):
        """Return the descriptions that the sender of a message needs."""
        described = self.local.described(message.unknown)
        return described + self.local.corrections(message.pulses[0].key)

    def receive(self, message):
        """Take in a member's heartbeat and return this node's."""
        if message.failure_domain != self.remote.failure_domain:
            return self.message()
        self.local.learn(message.described)
        unknown = self.local.take_in(message.pulses)
        return self.message(self.describe_for(message), unknown, message.pulses)

    def take_in(self, message, address):
        """Take in a reply; return the keys that need a description."""
        if message.failure_domain != self.remote.failure_domain:
            return ()
        self.answered = True
        self.local.learn(message.described)
        unknown = self.local.take_in(message.pulses)
        self.distributor.hint(message.pulses[0].plan_number, address)
        if message.remote_sequence_sum > self.remote.total() and self.may_pull():
            self.pulled = self.rounds
            self.spawn(self.pull, address, self.remote.failure_domain)
        return unknown

    def may_pull(self):
        """Return whether the last pull inside the failure domain is old enough."""
        return self.rounds - self.pulled >= PULL_ROUNDS or not self.remote.held

    def pull(self, address, domain=""):
        """Exchange reports with a peer of `domain` ('' for a seed's, unknown)."""
        own = self.local.own()
        speaks = domain != self.remote.failure_domain and self.is_relay()
        report = self.report() if speaks and self.joined else None
        request = Pull(
            self.remote.failure_domain,
            own.control,
            own.plan_number,
            report,
            self.remote.stamps(),
            not domain,
        )
        reply = self.control.call(address, request, self.timeout_ms)
        if isinstance(reply, Ok):
            self.failures.pop(domain, None)
            self.take_reply(reply.ok_value, address)
            if not domain and reply.ok_value.failure_domain == own.failure_domain:
                self.exchange(address)
            for contact in sorted({*reply.ok_value.contacts} - {own.control}):
                self.exchange(contact)
        elif domain in self.remote.rosters:
            self.failures[domain] = self.failures.get(domain, 0) + 1

    def take_reply(self, reply, address):
        """Take in the answer to a `Pull`."""
        self.answered = True
        self.remote.take_known(reply.known)
        if not reply.reports:
            self.pulled = 0
        self.take_reports(reply.reports, address)
        self.distributor.hint(reply.plan_number, address)

    def give_reports(self, request):
        """Answer a `Pull`."""
        self.remote.take_stamps(request.stamps)
        if request.report:
            self.take_reports((request.report,), request.control)
        self.distributor.hint(request.plan_number, request.control)
        domain = request.failure_domain
        contacts = ()
        if request.seeking and domain != self.remote.failure_domain:
            contacts = self.contacts.introduce(domain, request.control)
        return PullReply(
            self.remote.failure_domain,
            self.local.describe().plan_number,
            self.remote.sequence_of(domain),
            self.reports_for(request),
            contacts,
        )

    def reports_for(self, request):
        """Return the newer reports, but none if too many asked in this round."""
        self.served += 1
        if self.served > MAX_PULLS_SERVED and not request.seeking:
            return ()
        return self.remote.newer_than(request.stamps, request.report)

    def take_reports(self, reports, address):
        """Take in reports; fetch the rosters they name that are missing."""
        self.remote.take_in(reports)
        missing = {*self.remote.missing_rosters(reports)} - self.fetching
        if missing:
            self.fetching |= missing
            self.spawn(self.fetch_rosters, address, tuple(sorted(missing)))

    def fetch_rosters(self, address, keys):
        """Fetch rosters from a peer."""
        try:
            reply = self.control.call(address, FetchRosters(keys), self.timeout_ms)
            if isinstance(reply, Ok):
                self.remote.take_rosters(reply.ok_value)
                self.learn_own(reply.ok_value)
        finally:
            self.fetching.difference_update(keys)

    def learn_own(self, rosters):
        """Learn members of the own failure domain that others know of."""
        for roster in rosters:
            self.local.learn(roster.members)

    def give_rosters(self, request):
        """Answer a `FetchRosters`."""
        return self.remote.give_rosters(request.keys)
