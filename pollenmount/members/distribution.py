"""Distributes accepted plans to all nodes: a push tree, with fetches as a fallback.

The VM whose log accepts a plan pushes it to the relays of every failure domain; each
relay pushes it to its share of the other members. A node that missed a push fetches the
plan from the first peer whose heartbeat names a higher plan number.
"""

from enum import StrEnum
from typing import NamedTuple

from result import Ok

from pollenmount import task
from pollenmount.bridge.control import register_call
from pollenmount.errors import SheetError
from pollenmount.log import get_logger
from pollenmount.members.delta import PlanUpdate, apply_update, make_update
from pollenmount.members.peers import members_for_relay, relays_by_share
from pollenmount.plans.machine import AcceptedPlan

__all__ = ["FetchPlan", "PlanDistributor", "PushPlan", "PushReply", "UpdateResult"]

MAX_RECENT_PLANS = 4
PARALLEL_PUSHES = 8

logger = get_logger("spread")


class UpdateResult(StrEnum):
    """Outcome of an update on the node that received it."""

    IN_FORCE = "in_force"
    NEEDS_FULL_SHEET = "needs_whole"
    UNREADABLE = "unreadable"


class FetchPlan(NamedTuple):
    """Call: fetch the plan in force, if newer than `above`, which the caller has."""

    above: int
    digest: str


class PushPlan(NamedTuple):
    """Call: push a newer plan; `share` selects the members a relay passes it on to."""

    update: PlanUpdate
    share: int | None


class PushReply(NamedTuple):
    """Outcome of a push, and the number of the plan in force at the receiver."""

    result: UpdateResult
    number: int


register_call(FetchPlan, PlanUpdate | None)
register_call(PushPlan, PushReply)


class PlanDistributor:
    """Receives plans from peers and forwards them.

    `unreadable`
        Number of the newest plan that this version can't parse, else 0; it is not
        fetched again.
    `enabled`
        False until a starting node has asked its peers for the newest plan.
    """

    def __init__(self, control, members, store, timeout_ms, spawn=None):
        self.control = control
        self.members = members
        self.store = store
        self.timeout_ms = timeout_ms
        self.spawn = spawn or task.spawn
        self.enabled = False
        self.applying = False
        self.fetching = False
        self.unreadable = 0
        self.newest_peer_plan = (0, "")
        self.recent_plans = {}
        self.notify = store.on_change
        store.on_change = self.on_change

    def on_change(self, plan):
        """Push a plan that this node's log accepted."""
        self.notify(plan)
        if not self.applying:
            # The store may not have set `accepted` yet: push in a task that runs later.
            self.spawn(self.push_to_relays, plan.number)

    def enable(self):
        """Let plans of peers come into force, beginning with the newest known one."""
        self.enabled = True
        self.catch_up()

    def note_peer_plan(self, number, address):
        """Record the plan number of a peer, and fetch the plan if it is newer."""
        if number > max(self.newest_peer_plan[0], self.store.number):
            self.newest_peer_plan = (number, address)
        if number > max(self.store.number, self.unreadable):
            self.catch_up(number, address)

    def catch_up(self, number=0, address=""):
        """Fetch a newer plan from `address`, or from the peer with the newest one."""
        if not address:
            number, address = self.newest_peer_plan
        behind = number > max(self.store.number, self.unreadable)
        if self.enabled and behind and not self.fetching:
            self.fetching = True
            self.spawn(self.fetch, address)

    def fetch(self, address):
        """Fetch the plan in force at `address` and apply it."""
        try:
            base = self.store.accepted
            result = self.fetch_above(address, base)
            if result is UpdateResult.NEEDS_FULL_SHEET:
                result = self.fetch_above(address, None)
            if result is None:
                self.newest_peer_plan = (0, "")
        finally:
            self.fetching = False

    def fetch_above(self, address, base):
        """Fetch and apply an update to `base`; return its outcome, None on failure."""
        request = FetchPlan(*(base[:2] if base else (0, "")))
        reply = self.control.call(address, request, self.timeout_ms)
        if isinstance(reply, Ok) and reply.ok_value:
            return self.process_update(reply.ok_value)
        return None

    def process_update(self, update):
        """Put an update in force unless it is old, lacks its base or is unreadable."""
        if update.number <= self.store.number:
            return UpdateResult.IN_FORCE
        if update.number <= self.unreadable:
            return UpdateResult.UNREADABLE
        sheet = apply_update(update, self.store.accepted)
        if sheet is None:
            return UpdateResult.NEEDS_FULL_SHEET
        return self.put_in_force(AcceptedPlan(update.number, update.digest, sheet))

    def put_in_force(self, accepted):
        """Put a plan in force; keep the old one if the new one can't be parsed."""
        self.applying = True
        try:
            self.store.put_if_newer(accepted)
        except SheetError as error:
            logger.warning(
                "can't parse a newer plan; run the same version on all VMs",
                extra={"plan": accepted.number, "faults": str(error)},
            )
        finally:
            self.applying = False
        if self.store.number < accepted.number:
            self.unreadable = accepted.number
            return UpdateResult.UNREADABLE
        self.add_recent(accepted)
        return UpdateResult.IN_FORCE

    def add_recent(self, accepted):
        """Keep a plan as the base of updates for peers with an older plan."""
        self.recent_plans[accepted.number] = accepted
        while len(self.recent_plans) > MAX_RECENT_PLANS:
            del self.recent_plans[min(self.recent_plans)]

    def handle_fetch(self, request):
        """Answer a `FetchPlan`."""
        accepted = self.store.accepted
        if accepted is None or accepted.number <= request.above:
            return None
        return make_update(accepted, self.find_base(request))

    def find_base(self, request):
        """Return the plan that the caller holds if it is kept here, or None."""
        base = self.recent_plans.get(request.above)
        return base if base and base.digest == request.digest else None

    def handle_push(self, request):
        """Answer a `PushPlan`; a relay forwards it to its share."""
        result = UpdateResult.NEEDS_FULL_SHEET
        if self.enabled:
            before = self.store.number
            result = self.process_update(request.update)
            if self.store.number > before and request.share is not None:
                self.spawn(self.push_to_share, request.share)
        return PushReply(result, self.store.number)

    def push_to_relays(self, number):
        """Push the plan in force to the relays of all failure domains."""
        accepted = self.store.accepted
        if accepted is None or accepted.number != number:
            return
        base = self.recent_plans.get(max(self.recent_plans, default=0))
        self.add_recent(accepted)
        pushes = [*self.relay_pushes()]
        for worker in range(PARALLEL_PUSHES):
            self.spawn(self.push_all, accepted, base, pushes[worker::PARALLEL_PUSHES])

    def relay_pushes(self):
        """Yield (address, share) for the relays of each reachable failure domain."""
        for member, share in relays_by_share(self.members.live()):
            yield member.control, share

    def push_to_share(self, share):
        """Push the plan in force to this relay's share of the failure domain."""
        accepted = self.store.accepted
        rows = self.members.local.reachable_rows()
        pushes = [
            (member.control, None)
            for member in members_for_relay(self.members.local, share)
            if rows[member.name].heartbeat.plan_number < accepted.number
        ]
        base = self.recent_plans.get(
            max((n for n in self.recent_plans if n < accepted.number), default=0)
        )
        self.push_all(accepted, base, pushes)

    def push_all(self, accepted, base, pushes):
        """Push to each (address, share); in full where the base is missing."""
        own = self.members.local.own().control
        update = make_update(accepted, base)
        for address, share in pushes:
            if address == own:
                continue
            reply = self.push(address, update, share)
            if reply and reply.result is UpdateResult.NEEDS_FULL_SHEET:
                self.push(address, make_update(accepted), share)

    def push(self, address, update, share):
        """Push one update; return the `PushReply`, or None if the call failed."""
        request = PushPlan(update, share)
        reply = self.control.call(address, request, self.timeout_ms)
        return reply.ok_value if isinstance(reply, Ok) else None
