"""Heartbeats between nodes: who lives, what each failure domain can take, which plan.

A node that hears of a newer plan fetches it from the one that has it.
"""

from typing import NamedTuple

from result import Ok

from pollenmount import task
from pollenmount.bridge.control import register_call
from pollenmount.members.table import DomainSummary, Member
from pollenmount.plans.machine import AcceptedPlan

__all__ = ["FetchPlan", "Heartbeat", "Heartbeater"]


class Heartbeat(NamedTuple):
    """Call and reply: a member, those it knows, its failure domain's summaries."""

    member: Member
    known: tuple[Member, ...]
    summaries: tuple[DomainSummary, ...]


class FetchPlan(NamedTuple):
    """Call: the plan in force, if it is newer than `above`."""

    above: int


register_call(Heartbeat, Heartbeat)
register_call(FetchPlan, AcceptedPlan | None)


class Heartbeater:
    """Sends a heartbeat to every known member and to the seeds.

    `summarize` returns the summaries of this node's failure domain.
    """

    def __init__(self, control, table, store, seeds, summarize, timeout_ms):
        self.control = control
        self.table = table
        self.store = store
        self.seeds = seeds
        self.summarize = summarize
        self.timeout_ms = timeout_ms

    def beat(self):
        """Send one round of heartbeats, each in a task of its own."""
        own = self.table.describe()
        message = self.message()
        known = {member.control for member in self.table.members.values()}
        for address in {*known, *self.seeds} - {own.control}:
            task.spawn(self.send, address, message)

    def message(self):
        """Return this node's heartbeat."""
        known = tuple(self.table.alive().values())
        return Heartbeat(self.table.describe(), known, self.summarize())

    def send(self, address, message):
        """Send a heartbeat and take in the reply."""
        reply = self.control.call(address, message, self.timeout_ms)
        if isinstance(reply, Ok):
            self.take_in(reply.ok_value)

    def receive(self, message):
        """Take in a peer's heartbeat and return this node's."""
        self.take_in(message)
        return self.message()

    def take_in(self, message):
        """Remember what a heartbeat says; fetch its plan if that is newer."""
        self.table.hear(message.member, message.summaries)
        self.table.learn(message.known)
        if message.member.plan_number > self.store.number:
            task.spawn(self.fetch, message.member.control)

    def fetch(self, address):
        """Fetch the plan in force at `address` and put it in force here."""
        request = FetchPlan(self.store.number)
        reply = self.control.call(address, request, self.timeout_ms)
        if isinstance(reply, Ok):
            self.store.offer(reply.ok_value)

    def give_plan(self, request):
        """Return the plan in force if it is newer than the peer's."""
        newer = self.store.number > request.above
        return self.store.accepted if newer else None
