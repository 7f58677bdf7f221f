"""Capacity of the services in each region, summed up for the other regions."""

import collections
import math
from typing import NamedTuple

from pollenmount.fleet.messages import Capacities, encode
from pollenmount.fleet.records import ServiceCapacity, TargetLoad
from pollenmount.fleet.targets import DEFAULT_SLOTS

__all__ = ["CapacityReports", "merge_capacities", "summarize_capacities"]

# With as many of its slots taken by streams, a target is one of those kept for them.
FEW_STREAMS_SHARE = 0.2


class UsableTarget(NamedTuple):
    """The slots, load and version of a target that accepts new work."""

    slots: int
    load: TargetLoad
    version: str


class CapacityReports:
    """Rows of this control VM and of others, and what is sent to whom.

    `changed` has the encoded message for each region whose rows changed with the last
    update; `own_changed` is that with this VM's own rows for other control VMs, b'' if
    they are the same as before.
    """

    def __init__(self):
        self.own = ()
        self.own_changed = b""
        self.merged = ()
        self.others = {}
        self.changed = {}

    def update(self, own, peers, regions):
        """Replace this VM's rows and those of its peers, and find what changed."""
        self.own_changed = encode(Capacities(own)) if own != self.own else b""
        self.own = own
        self.merged = merge_capacities((own, *peers))
        before = self.others
        self.others = {region: self.encode_others(region) for region in regions}
        self.changed = {
            region: data
            for region, data in self.others.items()
            if data != before.get(region)
        }

    def encode_others(self, region):
        """Return the encoded message with the rows of all regions but one."""
        rows = tuple(row for row in self.merged if row.region != region)
        return encode(Capacities(rows))


def summarize_capacities(fleet, totals, reporters):
    """Yield a `ServiceCapacity` for each region and service with known targets.

    `totals` has the load by target, and `reporters` the number of entry VMs by region
    whose load is in it.
    """
    now = fleet.clock.now()
    groups = collections.defaultdict(list)
    for target in fleet.targets.by_id.values():
        record = target.record
        usable = is_usable(
            target, fleet.evacuations.failure_domains, now
        ) and not fleet.targets.limit_of(target)
        group = groups[fleet.region_of(record.failure_domain), record.service]
        if usable:
            load = totals.get(record.id) or TargetLoad(record.id, 0, 0)
            slots = record.slots or DEFAULT_SLOTS
            group.append(UsableTarget(slots, load, record.version))
    for (region, service), members in groups.items():
        members.sort(key=lambda member: (member.load.tokens, member.load.requests))
        typical = less_loaded_half(members)
        prompt_targets = [member for member in members if has_few_streams(member)]
        typical_for_prompts = less_loaded_half(prompt_targets)
        yield ServiceCapacity(
            region,
            service,
            len(members),
            mean(member.slots for member in typical),
            mean(member.load.requests for member in typical),
            mean(member.load.tokens for member in typical),
            mean(member.load.streams for member in typical),
            reporters.get(region, 0),
            tuple(sorted({member.version for member in members})),
            len(prompt_targets),
            mean(member.load.tokens for member in typical_for_prompts),
            mean(member.load.requests for member in typical_for_prompts),
        )


def less_loaded_half(members):
    """Return the first half of members that are sorted by load."""
    return members[: math.ceil(len(members) / 2)]


def has_few_streams(member):
    """Return whether long prompts on a target delay few streams."""
    return member.load.streams < FEW_STREAMS_SHARE * member.slots


def mean(values):
    """Return the mean of some numbers, rounded down, 0 for none."""
    values = list(values)
    return sum(values) // len(values) if values else 0


def is_usable(target, evacuated, now):
    """Return whether a target accepts requests from other regions now."""
    record = target.record
    return (
        target.is_heard
        and not record.draining
        and not target.may_be_cold(now)
        and record.failure_domain not in evacuated
    )


def merge_capacities(reports):
    """Return the best known row of each region and service, as a tuple.

    `reports` are the rows of several control VMs; the one to which the most entry VMs
    of a region report knows its load best.
    """
    best = {}
    for rows in reports:
        for row in rows:
            key = (row.region, row.service)
            if key not in best or row.reporters > best[key].reporters:
                best[key] = row
    return tuple(row for _, row in sorted(best.items()))
