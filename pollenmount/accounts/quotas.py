"""Quotas of accounts on an entry VM: admits requests before they run, without asking.

Control VMs send the levels of the buckets that all entry VMs share, and this VM reports
what it admitted. `docs/design/accounts_and_limits.md` has the reasons.
"""

import random
from typing import NamedTuple

from pollenmount.accounts.admission import (
    MAX_WAIT_MS,
    admission_probability,
    extrapolate_level,
    find_wait_ms,
)
from pollenmount.accounts.costs import AccountCosts
from pollenmount.accounts.limits import NO_TOLERANCE, find_limits, to_limits
from pollenmount.accounts.own_share import OwnShare
from pollenmount.fleet.messages import QuotaUse
from pollenmount.fleet.records import AccountLevel, AccountUse
from pollenmount.log import get_logger
from pollenmount.loop_monitor import NO_STALL

__all__ = ["Quotas"]

MS_PER_S = 1000
# Levels come at least every 250 ms.
NEWS_TIMEOUT_MS = 700
# Time after a stall of this VM in which news must come if control VMs are reachable: a
# link that was lost is opened after 700 ms, in rounds of 250 ms, and another region
# answers in 110 ms.
NEWS_AFTER_STALL_MS = 1500
# How long this VM goes on with its own share; then the others may have all of the rate.
OWN_SHARE_MS = 60_000
# Part of a full bucket that a request needs that costs more than the bucket holds. The
# level is an estimate and may stay a little below.
NEARLY_FULL = 0.95
# Time over which this VM spreads what it has just admitted, to estimate the rate of a
# caller that sends all its requests to one VM.
OWN_RATE_MS = 1000
# Sums of larger numbers, which a caller may send, wouldn't fit into a message.
MAX_COST = 1_000_000_000

logger = get_logger("quotas")


class Received(NamedTuple):
    """An `AccountLevel`, and when it was received."""

    row: AccountLevel
    at: int


class View(NamedTuple):
    """What this VM knows of an account at a moment.

    `is_isolated` is whether the news is too old to rely on; the level is that of this
    VM's own share then.
    """

    level: float
    asked_per_ms: float
    part: float
    news_age_ms: int | None
    is_isolated: bool


class Quotas:
    """Admits requests within the quotas of the plan in force.

    `get_share` returns this VM's share, 0 to 1, in what all entry VMs may do,
    `get_bounds` the `QuotaBounds`, `count_cost` counts a cost by account and outcome,
    `draw` returns a random number from 0 to 1, `get_stall` the last `Stall` of this VM,
    and `get_read_delay_ms` for how long a message that is read now may have waited.
    """

    def __init__(
        self,
        clock,
        store,
        get_share=lambda: 1.0,
        get_bounds=lambda: NO_TOLERANCE,
        count_cost=lambda name, outcome, cost: None,
        draw=random.random,
        get_stall=lambda: NO_STALL,
        get_read_delay_ms=lambda: 0,
    ):
        self.clock = clock
        self.store = store
        self.get_share = get_share
        self.get_bounds = get_bounds
        self.count_cost = count_cost
        self.draw = draw
        self.get_stall = get_stall
        self.get_read_delay_ms = get_read_delay_ms
        self.plan = None
        self.bounds = None
        self.limits = {}
        self.accounts = {}
        self.costs = {}
        self.changed = set()
        self.levels = {}
        self.own_share = OwnShare(draw)
        self.started_at = clock.now()
        self.news_at = None

    def admit(self, account, prompt, request_id=""):
        """Return 0 if a request is admitted, else after how many ms it could be.

        `request_id` identifies the request in the log.
        """
        if account.quota is None:
            return 0
        self.update_limits()
        cost = bounded_cost(account.quota, prompt)
        if not cost:
            return 0
        name, now = account.name, self.clock.now()
        limits = self.limits.get(name) or to_limits(account.quota, self.bounds)
        costs = self.costs.setdefault(name, AccountCosts())
        costs.asked += int(min(cost, limits.largest))
        self.changed.add(name)
        view = self.view(name, limits, now)
        wait_ms = self.decide(name, cost, view, limits, now)
        if wait_ms:
            self.count_cost(name, "refused", min(cost, limits.largest))
            log_refusal(request_id, name, cost, view, limits, wait_ms)
        else:
            costs.spend(cost, now)
            self.count_cost(name, "admitted", cost)
        return wait_ms

    def decide(self, name, cost, view, limits, now):
        """Return 0 if a request is admitted, else after how many ms it could be."""
        if cost > limits.largest:
            return MAX_WAIT_MS
        if view.is_isolated:
            since = self.isolated_since()
            if now - since >= OWN_SHARE_MS:
                return MAX_WAIT_MS
            per_ms = limits.per_ms * self.get_share()
            return self.own_share.admit(name, cost, per_ms, since, now)
        level, asked_per_ms, part, *_ = view
        if cost > limits.capacity * part:
            is_admitted = level >= NEARLY_FULL * limits.capacity * part > 0
        else:
            chance = admission_probability(level, asked_per_ms, part, limits)
            is_admitted = chance >= 1 or self.draw() < chance
        return 0 if is_admitted else find_wait_ms(cost, level, part, limits)

    def refund(self, name, prompt):
        """Give back what an admitted request cost, as it certainly didn't run."""
        self.update_limits()
        account, costs = self.accounts.get(name), self.costs.get(name)
        if account is None or costs is None:
            return
        cost = bounded_cost(account.quota, prompt)
        costs.refund(cost)
        self.changed.add(name)
        self.count_cost(name, "refunded", cost)

    def update_limits(self):
        """Take over the limits of a new plan or of new bounds."""
        plan, bounds = self.store.plan, self.get_bounds()
        if plan is self.plan and bounds == self.bounds:
            return
        had_limits = bool(self.limits)
        self.limits = find_limits(plan, bounds)
        accounts = plan.accounts if plan else ()
        self.accounts = {a.name: a for a in accounts if a.name in self.limits}
        is_first = self.limits and not had_limits
        if self.plan is not None and is_first and not self.has_news():
            # Nothing was sent without quotas. All buckets are full now.
            self.news_at = self.clock.now()
            self.levels = {}
        self.plan, self.bounds = plan, bounds

    def has_news(self):
        """Return whether levels came lately; a control VM may have the plan earlier."""
        now = self.clock.now()
        return self.news_at is not None and now - self.news_at < NEWS_TIMEOUT_MS

    def awaits_news(self, account):
        """Return whether a request should wait for the level of its account.

        After a stall of this VM, callers' requests may be read before the levels. This
        VM's own share would refuse most of them, also of accounts below their limit.
        """
        if account.quota is None or self.news_at is None or self.has_news():
            return False
        stall = self.get_stall()
        had_news = stall.began_at - self.news_at < NEWS_TIMEOUT_MS
        return had_news and self.clock.now() - stall.ended_at < NEWS_AFTER_STALL_MS

    def isolated_since(self):
        """Return the time from which this VM has relied on its own share."""
        if self.news_at is None:
            return self.started_at
        return self.news_at + NEWS_TIMEOUT_MS

    def view(self, name, limits, now):
        """Return the `View` of an account."""
        age_ms = None if self.news_at is None else now - self.news_at
        if not self.has_news():
            per_ms, since = limits.per_ms * self.get_share(), self.isolated_since()
            level = self.own_share.level(name, per_ms, since, now)
            return View(level, 0.0, self.get_share(), age_ms, True)
        received = self.levels.get(name)
        if received is None:
            level, asked_per_ms, part = limits.capacity, 0.0, 1.0
        else:
            row, elapsed_ms = received.row, now - received.at
            part, asked_per_ms = row.part, row.asked_per_s / MS_PER_S
            level = extrapolate_level(row.level, asked_per_ms, part, limits, elapsed_ms)
        costs = self.costs.get(name)
        if costs is not None:
            unreported = costs.unreported(self.news_at)
            level -= unreported
            asked_per_ms = max(asked_per_ms, unreported / OWN_RATE_MS)
        return View(level, asked_per_ms, part, age_ms, False)

    def handle_levels(self, message):
        """Store the levels in a `QuotaLevels` message.

        After a stall of this VM, it may have been sent before.
        """
        sent_at = self.news_at = self.clock.now() - self.get_read_delay_ms()
        if message.complete:
            self.levels = {}
        for name in message.full:
            self.levels.pop(name, None)
        for row in message.rows:
            self.levels[row.name] = Received(row, sent_at)

    def is_active(self):
        """Return whether the plan in force has a quota."""
        self.update_limits()
        return bool(self.limits)

    def take_rows(self):
        """Return the `AccountUse`s that changed since the last call."""
        changed, self.changed = self.changed, set()
        return tuple(self.row(name) for name in sorted(changed))

    def report(self, rows, is_primary, is_new_link):
        """Return the message for a link, None if there is nothing to tell."""
        if is_new_link:
            rows = tuple(self.row(name) for name in sorted(self.costs))
            return QuotaUse(rows, is_primary, complete=True)
        return QuotaUse(rows, is_primary) if rows else None

    def row(self, name):
        """Return the `AccountUse` of an account."""
        costs = self.costs[name]
        return AccountUse(name, costs.spent, costs.asked)

    def describe(self):
        """Yield what this VM knows of each account with a quota, for operators."""
        self.update_limits()
        now = self.clock.now()
        for name, limits in sorted(self.limits.items()):
            view = self.view(name, limits, now)
            yield {"account": name, **describe_view(view, limits)}


def bounded_cost(quota, prompt):
    """Return the cost of a request, from 0 to `MAX_COST`."""
    return max(0, min(MAX_COST, quota.cost(prompt)))


def describe_view(view, limits):
    """Return the fields of a `View` for log lines and the state document."""
    return {
        "level": round(view.level, 3),
        "capacity": round(limits.capacity, 3),
        "per_s": round(limits.per_ms * MS_PER_S, 3),
        "asked_per_s": round(view.asked_per_ms * MS_PER_S, 3),
        "part": round(view.part, 3),
        "news_age_ms": view.news_age_ms,
        "isolated": view.is_isolated,
    }


def log_refusal(request_id, name, cost, view, limits, wait_ms):
    """Log a request that is refused because of its account's quota."""
    extra = {"request": request_id, "account": name, "cost": cost, "wait_ms": wait_ms}
    logger.info("quota exceeded", extra=extra | describe_view(view, limits))
