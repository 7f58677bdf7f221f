"""Total load of the linked members on each target, and what changed since."""

import collections

from pollenmount.fleet.messages import Loads, encode
from pollenmount.fleet.records import TargetLoad

__all__ = ["LOAD_INTERVAL_MS", "LoadTotals", "changed_loads", "is_plausible"]

# An engine prefills a long prompt in 200 ms; older news of its load is of no use.
LOAD_INTERVAL_MS = 100

# More than any member can have; the sum over all members must fit into 64 bits.
MAX_MEMBER_LOAD = 2**53


class LoadTotals:
    """Sums of the loads that members report.

    `region_of_target` returns the region of a target, None for an unknown one.
    `reports` has the load by member and target, and `by_target` the totals; what has no
    load is in neither. `changed` are the targets whose total changed since the last
    call of `take_changes`.
    """

    def __init__(self, region_of_target):
        self.region_of_target = region_of_target
        self.reports = collections.defaultdict(dict)
        self.by_target = {}
        self.changed = set()

    def report(self, name, loads):
        """Store the loads of a member on some targets; others are as before."""
        report = self.reports[name]
        for load in loads:
            self.replace(report.pop(load.id, no_load(load.id)), load)
            if has_load(load):
                report[load.id] = load

    def forget(self, name):
        """Drop the loads of a member that is no longer linked."""
        for load in self.reports.pop(name, {}).values():
            self.replace(load, no_load(load.id))

    def replace(self, before, after):
        """Replace one member's load on a target in the total."""
        id_ = after.id
        total = self.by_target.pop(id_, no_load(id_))
        total = TargetLoad(
            id_,
            total.requests + after.requests - before.requests,
            total.tokens + after.tokens - before.tokens,
            total.streams + after.streams - before.streams,
        )
        if has_load(total):
            self.by_target[id_] = total
        self.changed.add(id_)

    def take_changes(self):
        """Return the encoded `Loads` with what changed since the last call, by region.

        Targets that are not known yet are kept until they are.
        """
        rows = collections.defaultdict(list)
        unknown = set()
        for id_ in sorted(self.changed):
            region = self.region_of_target(id_)
            if region is not None:
                rows[region].append(self.by_target.get(id_, no_load(id_)))
            elif id_ in self.by_target:
                unknown.add(id_)
        self.changed = unknown
        return {
            region: encode(Loads(tuple(loads), complete=False))
            for region, loads in rows.items()
        }

    def encode_complete(self, region):
        """Return the encoded `Loads` message with all totals of a region."""
        loads = (
            load
            for id_, load in self.by_target.items()
            if self.region_of_target(id_) == region
        )
        return encode(Loads(tuple(loads)))


def no_load(id_):
    """Return the `TargetLoad` of a target that has no load."""
    return TargetLoad(id_, 0, 0)


def is_plausible(load):
    """Return whether a member can have a load, so that it may be added to others."""
    return all(0 <= value <= MAX_MEMBER_LOAD for value in load[1:])


def has_load(load):
    """Return whether a `TargetLoad` has any load."""
    return any(load[1:])


def changed_loads(before, after):
    """Return the loads in `after` that differ, and those that ended, as a tuple.

    Both are by target.
    """
    changed = [load for id_, load in after.items() if before.get(id_) != load]
    ended = [no_load(id_) for id_ in before if id_ not in after]
    return (*changed, *ended)
