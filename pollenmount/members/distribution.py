"""Brings accepted plans to all nodes: a push tree, mended by what peers are ahead with.

The VM whose log accepts a plan pushes it to the relays of every failure domain, a relay
to its share of the other members. A push that is lost is made good by a fetch from the
first peer that says in a heartbeat that it is ahead.
"""

from enum import StrEnum
from typing import NamedTuple

from result import Ok

from pollenmount import task
from pollenmount.bridge.control import register_call
from pollenmount.errors import SheetError
from pollenmount.log import get_logger
from pollenmount.members.delta import PlanUpdate, apply_update, make_update
from pollenmount.members.local import RELAYS, by_rank
from pollenmount.plans.machine import AcceptedPlan

__all__ = ["FetchPlan", "PlanDistributor", "PushPlan", "PushReply", "Taken"]

KEPT_PLANS = 4
PUSHERS = 8

logger = get_logger("spread")


class Taken(StrEnum):
    """What a node did with an update."""

    IN_FORCE = "in_force"
    NEEDS_WHOLE = "needs_whole"
    UNREADABLE = "unreadable"


class FetchPlan(NamedTuple):
    """Call: the plan in force, if newer than `above`, whose sheet the caller has."""

    above: int
    digest: str


class PushPlan(NamedTuple):
    """Call: a newer plan; `share` tells a relay which members are its to push to."""

    update: PlanUpdate
    share: int | None


class PushReply(NamedTuple):
    """What became of a push, and the number of the plan in force."""

    taken: Taken
    number: int


register_call(FetchPlan, PlanUpdate | None)
register_call(PushPlan, PushReply)


class PlanDistributor:
    """Takes plans from peers and passes them on.

    `unreadable`
        Number of the newest plan that this version can't read, else 0; it isn't
        fetched again.
    `opened`
        False while a starting node still asks its peers for the newest plan.
    """

    def __init__(self, control, members, store, timeout_ms, spawn=None):
        self.control = control
        self.members = members
        self.store = store
        self.timeout_ms = timeout_ms
        self.spawn = spawn or task.spawn
        self.opened = False
        self.taking = False
        self.fetching = False
        self.unreadable = 0
        self.ahead = (0, "")
        self.kept = {}
        self.notify = store.on_change
        store.on_change = self.on_change

    def on_change(self, plan):
        """Pass on a plan that came into force here by the log."""
        self.notify(plan)
        if not self.taking:
            # The store sets what it accepted around this call; push afterwards.
            self.spawn(self.push_to_relays, plan.number)

    def open(self):
        """Let plans of peers come into force; the newest one known first."""
        self.opened = True
        self.mend()

    def hint(self, number, address):
        """Remember that a peer has a plan, and fetch it if it is newer."""
        if number > max(self.ahead[0], self.store.number):
            self.ahead = (number, address)
        if number > max(self.store.number, self.unreadable):
            self.mend(number, address)

    def mend(self, number=0, address=""):
        """Fetch a newer plan from the peer given, or from the one furthest ahead."""
        if not address:
            number, address = self.ahead
        behind = number > max(self.store.number, self.unreadable)
        if self.opened and behind and not self.fetching:
            self.fetching = True
            self.spawn(self.fetch, address)

    def fetch(self, address):
        """Fetch the plan in force at `address` and put it in force here."""
        try:
            base = self.store.accepted
            taken = self.fetch_above(address, base)
            if taken is Taken.NEEDS_WHOLE:
                taken = self.fetch_above(address, None)
            if taken is None:
                self.ahead = (0, "")
        finally:
            self.fetching = False

    def fetch_above(self, address, base):
        """Fetch the update from a base; return what became of it, None if lost."""
        request = FetchPlan(*(base[:2] if base else (0, "")))
        reply = self.control.call(address, request, self.timeout_ms)
        if isinstance(reply, Ok) and reply.ok_value:
            return self.take(reply.ok_value)
        return None

    def take(self, update):
        """Put an update in force unless it is old, broken or unreadable."""
        if update.number <= self.store.number:
            return Taken.IN_FORCE
        if update.number <= self.unreadable:
            return Taken.UNREADABLE
        sheet = apply_update(update, self.store.accepted)
        if sheet is None:
            return Taken.NEEDS_WHOLE
        return self.put_in_force(AcceptedPlan(update.number, update.digest, sheet))

    def put_in_force(self, accepted):
        """Offer a plan to the store; keep the old one if this can't be read."""
        self.taking = True
        try:
            self.store.offer(accepted)
        except SheetError as error:
            logger.warning(
                "a newer plan can't be read; run the version that the others run",
                extra={"plan": accepted.number, "faults": str(error)},
            )
        finally:
            self.taking = False
        if self.store.number < accepted.number:
            self.unreadable = accepted.number
            return Taken.UNREADABLE
        self.keep(accepted)
        return Taken.IN_FORCE

    def keep(self, accepted):
        """Keep a plan as the base of updates for peers that are behind."""
        self.kept[accepted.number] = accepted
        while len(self.kept) > KEPT_PLANS:
            del self.kept[min(self.kept)]

    def give_plan(self, request):
        """Answer a `FetchPlan`."""
        accepted = self.store.accepted
        if accepted is None or accepted.number <= request.above:
            return None
        return make_update(accepted, self.find_base(request))

    def find_base(self, request):
        """Return the kept plan that the caller holds, or None."""
        base = self.kept.get(request.above)
        return base if base and base.digest == request.digest else None

    def receive(self, request):
        """Answer a `PushPlan`; a relay passes it on."""
        taken = Taken.NEEDS_WHOLE
        if self.opened:
            before = self.store.number
            taken = self.take(request.update)
            if self.store.number > before and request.share is not None:
                self.spawn(self.push_to_share, request.share)
        return PushReply(taken, self.store.number)

    def push_to_relays(self, number):
        """Push the plan in force to the relays of all failure domains."""
        accepted = self.store.accepted
        if accepted is None or accepted.number != number:
            return
        base = self.kept.get(max(self.kept, default=0))
        self.keep(accepted)
        jobs = [*self.relay_jobs()]
        for lane in range(PUSHERS):
            self.spawn(self.push_all, accepted, base, jobs[lane::PUSHERS])

    def relay_jobs(self):
        """Yield (address, share) for the relays of each failure domain in reach."""
        domains = {}
        for member in self.members.live():
            domains.setdefault(member.failure_domain, []).append(member)
        for members in domains.values():
            for share, member in enumerate(by_rank(members)[:RELAYS]):
                yield member.control, share

    def push_to_share(self, share):
        """Push the plan in force to this relay's share of the failure domain."""
        accepted = self.store.accepted
        local = self.members.local
        relays = {member.name for member in local.relays()}
        rest = [
            row for name, row in sorted(local.alive().items()) if name not in relays
        ]
        jobs = [
            (row.member.control, None)
            for row in rest[share::RELAYS]
            if row.pulse.plan_number < accepted.number
        ]
        base = self.kept.get(
            max((n for n in self.kept if n < accepted.number), default=0)
        )
        self.push_all(accepted, base, jobs)

    def push_all(self, accepted, base, jobs):
        """Push to each (address, share), whole where the base is missing."""
        own = self.members.local.own().control
        update = make_update(accepted, base)
        for address, share in jobs:
            if address == own:
                continue
            reply = self.push(address, update, share)
            if reply and reply.taken is Taken.NEEDS_WHOLE:
                self.push(address, make_update(accepted), share)

    def push(self, address, update, share):
        """Push one update; return the `PushReply`, or None if it was lost."""
        request = PushPlan(update, share)
        reply = self.control.call(address, request, self.timeout_ms)
        return reply.ok_value if isinstance(reply, Ok) else None
