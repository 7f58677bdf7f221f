"""Levels of the quotas on a control VM, from what entry VMs and control VMs report.

It counts the increments of the entry VMs that use this control VM as the nearest one,
and adds what the other control VMs counted of theirs. `control_peers` has what happens
while some of them are silent.
"""

from pollenmount.accounts.bucket import Bucket
from pollenmount.accounts.control_peers import (
    USE_DECAY_MS,
    ControlPeers,
    Increment,
)
from pollenmount.accounts.level_news import LevelNews
from pollenmount.accounts.limits import NO_TOLERANCE, find_limits
from pollenmount.accounts.rates import AverageRate
from pollenmount.fleet.messages import QuotaTotals
from pollenmount.fleet.records import AccountTotal
from pollenmount.running_clock import RunningClock

__all__ = ["Ledger"]

MS_PER_S = 1000
KEEPALIVE_MS = 250
# In this time after its start, a control VM takes levels from another one as they are,
# and takes no account for a new one: the log may bring plans that the others have had
# for long.
START_MS = 3000
# An entry VM without news for this time goes on with its own share, which is no part of
# what control VMs count.
ABSENCE_MS = 700
MEMBER_RETENTION_MS = 60_000
# After a tick that is as late, what others sent meanwhile may still wait to be read.
LATE_TICK_MS = 400


class LedgerMember:
    """An entry VM: the rows it reported by account, None before it reported all.

    `lost_at` is when its link was lost, None while it has one.
    """

    def __init__(self, incarnation):
        self.incarnation = incarnation
        self.rows = None
        self.lost_at = None


class Ledger:
    """Keeps the levels of all accounts with a quota.

    `store` has the plan in force, `get_bounds` returns the `QuotaBounds`, and
    `has_quorum` whether this VM is in touch with the leader of the log. `ready_at` is
    when the levels became valid, None before.
    """

    def __init__(
        self, clock, store, has_quorum=lambda: True, get_bounds=lambda: NO_TOLERANCE
    ):
        self.clock = clock
        self.running = RunningClock(clock)
        self.store = store
        self.has_quorum = has_quorum
        self.get_bounds = get_bounds
        self.started_at = clock.now()
        self.ready_at = None
        self.has_adopted = False
        self.plan = None
        self.bounds = None
        self.buckets = {}
        self.members = {}
        self.peers = ControlPeers()
        self.totals = {}
        self.rates = {}
        self.changed = set()
        self.primary_members = 0
        self.reported_at = clock.now()
        self.ticked_at = clock.now()
        self.was_late = False
        self.is_report_due = False
        self.news = LevelNews()

    def is_active(self):
        """Return whether the plan in force has a quota."""
        self.update_limits()
        return bool(self.buckets)

    def update_limits(self):
        """Take over the limits of a new plan or of new bounds."""
        plan, bounds = self.store.plan, self.get_bounds()
        if plan is self.plan and bounds == self.bounds:
            return
        now, running_at = self.clock.now(), self.running.now()
        limits = find_limits(plan, bounds)
        if not limits:
            # Nothing is sent without quotas, so that silence means nothing.
            self.peers = ControlPeers()
        for name in self.buckets.keys() - limits.keys():
            del self.buckets[name]
        for name, limit in limits.items():
            bucket = self.buckets.get(name)
            if bucket is None:
                level = self.first_level(name, limit)
                is_known = not self.is_start()
                bucket = Bucket(limit, level, now, running_at, is_known)
                self.buckets[name] = bucket
            else:
                bucket.set_limits(limit)
        self.plan, self.bounds = plan, bounds

    def first_level(self, name, limits):
        """Return the first level of an account: full for a new one of a newer plan."""
        known = self.peers.levels(name)
        if known:
            return min(limits.capacity, *known)
        return 0.0 if self.is_start() else limits.capacity

    def is_start(self):
        """Return whether this VM may not know yet what the others have known."""
        running_ms = self.clock.now() - self.started_at
        return self.plan is None or running_ms < START_MS

    def member_linked(self, name, incarnation):
        """Note that an entry VM has a link here.

        After an absence, its first report counts as the baseline.
        """
        member = self.members.get(name)
        if (
            member is None
            or member.incarnation != incarnation
            or (
                member.lost_at is not None
                and self.clock.now() - member.lost_at >= ABSENCE_MS
            )
        ):
            member = self.members[name] = LedgerMember(incarnation)
        member.lost_at = None

    def member_lost(self, name):
        """Note that the link of an entry VM was lost."""
        if name in self.members:
            self.members[name].lost_at = self.clock.now()

    def handle_use(self, name, message):
        """Count the increments in a `QuotaUse` of an entry VM."""
        member = self.members.get(name)
        if member is None:
            return
        if member.rows is None:
            if message.complete:
                member.rows = {row.name: row for row in message.rows}
            return
        now = self.clock.now()
        for row in message.rows:
            known = member.rows.get(row.name)
            member.rows[row.name] = row
            spent, asked = (known.spent, known.asked) if known else (0, 0)
            if message.is_primary and (spent, asked) != (row.spent, row.asked):
                increment = Increment(row.name, row.spent - spent, row.asked - asked)
                self.count_own(increment, now)

    def count_own(self, increment, now):
        """Add an increment to the totals that other control VMs are told."""
        name = increment.name
        spent, asked = self.totals.get(name, (0, 0))
        self.totals[name] = (spent + increment.spent, asked + increment.asked)
        self.changed.add(name)
        rate = self.rates.setdefault(name, AverageRate(USE_DECAY_MS))
        rate.add(increment.spent, now)
        self.spend(increment, now)

    def spend(self, increment, now):
        """Take an increment from its bucket."""
        bucket = self.buckets.get(increment.name)
        if bucket is not None:
            bucket.spend(increment.spent, increment.asked, now)

    def handle_totals(self, name, incarnation, message):
        """Count the increments in a `QuotaTotals` of another control VM."""
        now = self.clock.now()
        self.update_limits()
        for increment in self.peers.handle(name, incarnation, message, now):
            self.spend(increment, now)
        if message.complete and not self.has_adopted:
            self.adopt(message, now)

    def adopt(self, message, now):
        """Take over the levels of a control VM that has had some for longer.

        If its totals come late, those of some entry VMs may have been counted here
        already, so the lower level is taken.
        """
        running_ms = now - self.ready_at if self.ready_at is not None else 0
        is_start = self.ready_at is None or now - self.started_at < START_MS
        if message.running_ms <= running_ms:
            return
        self.has_adopted = True
        self.ready_at = now - message.running_ms
        levels = {row.name: row.level for row in message.rows}
        for name, bucket in self.buckets.items():
            level = levels.get(name, bucket.limits.capacity)
            highest = bucket.capacity if is_start else bucket.level
            bucket.level = min(highest, level)

    def tick(self, primary_members):
        """Refill all buckets; `primary_members` is the number of entry VMs to count.

        Without a quorum, a control VM that has just started can't tell whether others
        go on, so its levels are not valid before it has one or hears another.
        """
        now, has_quorum = self.clock.now(), self.has_quorum()
        running_at = self.running.now()
        self.update_limits()
        self.primary_members = primary_members
        is_late = now - self.ticked_at >= LATE_TICK_MS
        if self.was_late or not is_late:
            self.peers.update(primary_members, self.rates, has_quorum, now)
        self.was_late, self.ticked_at = is_late, now
        if self.ready_at is None and has_quorum:
            self.ready_at = now
        for name, bucket in self.buckets.items():
            part = self.peers.part(name) if self.ready_at is not None else 0.0
            bucket.refill(part, now, running_at)
        self.forget_members(now)

    def forget_members(self, now):
        """Drop entry VMs that have been without a link here for long."""
        for name, member in [*self.members.items()]:
            lost_at = member.lost_at
            if lost_at is not None and now - lost_at >= MEMBER_RETENTION_MS:
                del self.members[name]

    def take_rows(self):
        """Return the `AccountTotal`s that changed since the last call."""
        now = self.clock.now()
        changed, self.changed = self.changed, set()
        self.is_report_due = bool(changed) or now - self.reported_at >= KEEPALIVE_MS
        if self.is_report_due:
            self.reported_at = now
        return tuple(self.row(name) for name in sorted(changed))

    def report(self, rows, is_primary, is_new_link):
        """Return the message for a link to another control VM, None if none is due."""
        if is_new_link:
            names = self.totals.keys() | {
                name for name, bucket in self.buckets.items() if not bucket.is_full
            }
            rows = tuple(self.row(name) for name in sorted(names))
            return self.totals_message(rows, complete=True)
        return self.totals_message(rows) if self.is_report_due else None

    def totals_message(self, rows, complete=False):
        """Return a `QuotaTotals` with rows."""
        now = self.clock.now()
        running_ms = now - self.ready_at if self.ready_at is not None else 0
        heard = self.peers.heard()
        return QuotaTotals(rows, self.primary_members, running_ms, heard, complete)

    def row(self, name):
        """Return the `AccountTotal` of an account."""
        spent, asked = self.totals.get(name, (0, 0))
        bucket = self.buckets.get(name)
        return AccountTotal(name, spent, asked, bucket.level if bucket else 0.0)

    def take_levels(self):
        """Return the `QuotaLevels` that is due for entry VMs, or None."""
        if self.ready_at is None:
            return None
        return self.news.take(self.buckets, self.clock.now())

    def all_levels(self):
        """Return a complete `QuotaLevels`, None before the levels are valid."""
        if self.ready_at is None:
            return None
        return self.news.all_levels(self.buckets, self.clock.now())

    def describe(self):
        """Yield the levels of all accounts with a quota, for operators."""
        self.update_limits()
        now = self.clock.now()
        for name, bucket in sorted(self.buckets.items()):
            yield {
                "account": name,
                "level": round(bucket.level, 3),
                "capacity": round(bucket.limits.capacity, 3),
                "per_s": round(bucket.limits.per_ms * MS_PER_S, 3),
                "asked_per_s": round(bucket.asked_per_ms(now) * MS_PER_S, 3),
                "part": round(bucket.part, 3),
                "valid": self.ready_at is not None,
            }
