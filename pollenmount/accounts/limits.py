"""Limits that follow from the quotas of a plan and the tolerance of the bound."""

from typing import NamedTuple

__all__ = ["NO_TOLERANCE", "Limits", "QuotaBounds", "find_limits"]

MS_PER_S = 1000
# Part of the tolerance that enlarges the burst, as callers send in clusters. The rest
# covers what VMs admit before they hear of each other.
TOLERANCE_PART = 0.3


class QuotaBounds(NamedTuple):
    """Bound on what all VMs admit of one account.

    In any window of `window_s`, the cost must not exceed (rate x window + burst) x
    (1 + `excess`) + `slack`.
    """

    window_s: float
    excess: float
    slack: float


NO_TOLERANCE = QuotaBounds(0, 0, 0)


class Limits(NamedTuple):
    """Limits of one account, in units of cost.

    The bucket holds `capacity` and is refilled by `per_ms`. Its level does not fall
    below `floor`. A request that costs more than `largest` exceeds the bound by itself.
    """

    per_ms: float
    capacity: float
    floor: float
    largest: float

    @property
    def threshold(self):
        """Return the level from which all requests are admitted."""
        return self.capacity / 4


def to_limits(quota, bounds):
    """Return the `Limits` for a `Quota`."""
    burst = quota.burst or quota.per_s
    of_rate = quota.per_s * bounds.window_s
    tolerance = (of_rate + burst) * bounds.excess + bounds.slack
    capacity = burst + TOLERANCE_PART * tolerance
    # Cost older than a window doesn't count, so a larger debt would serve no purpose.
    floor = -(capacity + of_rate)
    return Limits(quota.per_s / MS_PER_S, capacity, floor, burst + tolerance)


def find_limits(plan, bounds):
    """Return the `Limits` of all accounts of a plan that have a quota, by name."""
    accounts = plan.accounts if plan else ()
    return {
        account.name: to_limits(account.quota, bounds)
        for account in accounts
        if account.quota is not None
    }
