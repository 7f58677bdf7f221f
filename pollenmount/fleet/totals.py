"""Total load of the linked members on each target, and what changed since."""

import collections

from pollenmount.fleet.messages import Loads, TargetLoad, encode

__all__ = ["LoadTotals"]


class LoadTotals:
    """Sums of the loads that members report.

    `region_of_target` returns the region of a target, None for an unknown one.
    `by_region` has the totals of each region by target, and `changed` the encoded
    `Loads` message with the changes of the last update by region.
    """

    def __init__(self, region_of_target):
        self.region_of_target = region_of_target
        self.reports = {}
        self.by_region = {}
        self.changed = {}

    def report(self, name, loads):
        """Store the loads that a member reports."""
        self.reports[name] = loads

    def forget(self, name):
        """Drop the loads of a member that is no longer linked."""
        self.reports.pop(name, None)

    def update(self):
        """Add up the reports, and find what changed in each region."""
        before, self.by_region = self.by_region, self.sum_by_region()
        self.changed = {
            region: encode_changes(
                before.get(region, {}), self.by_region.get(region, {})
            )
            for region in {*before, *self.by_region}
        }

    def sum_by_region(self):
        """Return the totals as a map from region to target to `TargetLoad`."""
        totals = {}
        for loads in self.reports.values():
            for load in loads:
                known = totals.get(load.id)
                totals[load.id] = add_loads(known, load) if known else load
        regions = collections.defaultdict(dict)
        for id_, load in totals.items():
            region = self.region_of_target(id_)
            if region is not None:
                regions[region][id_] = load
        return dict(regions)

    def all_totals(self):
        """Return the totals of all regions, by target."""
        return {id_: v for loads in self.by_region.values() for id_, v in loads.items()}

    def encode_complete(self, region):
        """Return the encoded `Loads` message with all totals of a region."""
        return encode(Loads(tuple(self.by_region.get(region, {}).values())))


def add_loads(one, other):
    """Return the sum of two loads on one target."""
    return TargetLoad(
        one.id,
        one.requests + other.requests,
        one.tokens + other.tokens,
        one.streams + other.streams,
    )


def encode_changes(before, after):
    """Return the encoded `Loads` with the rows that differ, b'' if there are none."""
    changed = [load for id_, load in after.items() if before.get(id_) != load]
    idle = [TargetLoad(id_, 0, 0) for id_ in before if id_ not in after]
    return encode(Loads((*changed, *idle), complete=False)) if changed or idle else b""
