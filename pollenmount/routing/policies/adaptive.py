"""Policy `adaptive`: the shortest expected time to the first byte, local targets first.

The expected time is estimated from this node's own requests in flight, load reports
corrected for the requests in flight when they arrived, measured lateness, and the
prompt blocks that the target has not cached. Some slots are reserved for calls that
can't wait. A call spills to another failure domain if no local slot is available to it,
or if the local targets are expected to be slower by a threshold.
"""

from pollenmount.plans.plan import COST, INTERACTIVE, LATENCY
from pollenmount.plugin import register
from pollenmount.rendezvous import rank_by_rendezvous
from pollenmount.routing.policies.base import FAMILY, Policy
from pollenmount.routing.prefix import digest_prompt
from pollenmount.routing.request import (
    LocalTarget,
    ModelRoute,
    Options,
    RemoteEntry,
)

__all__ = ["Adaptive"]

MAX_SCORED_TARGETS = 8
AFFINITY_BLOCK_COUNT = 16
PREFILL_MS_PER_BLOCK = 3.2
# Callers that weigh cost prefer targets that needn't compute the prompt again.
COST_PREFILL_FACTOR = 3.0
OTHER_REGION_HOP_MS = 60.0
SAME_REGION_HOP_MS = 10.0
# Failure domains whose waits differ by less are considered equally fast.
WAIT_TOLERANCE_MS = 20.0
# By what the caller weighs, and whether the call is interactive.
MIN_SPILL_GAIN_MS = {
    (LATENCY, True): 20.0,
    (LATENCY, False): 200.0,
    (COST, True): 150.0,
    (COST, False): 2000.0,
}
RESERVED_SLOT_SHARE = 0.125
DEFERRED_RESERVED_SLOT_SHARE = {LATENCY: 0.25, COST: 0.125}
# Requests queued at a target, per slot, by calls that can neither wait nor spill.
QUEUED_REQUESTS_PER_SLOT = 1.0


@register(FAMILY, "adaptive")
class Adaptive(Policy):
    """The gateway's default policy.

    The class attributes switch off parts of it for benchmarks: `affinity` the choice by
    cached prompt blocks, `gate` the check for capacity, `lateness` the measured
    lateness, `correction` the correction of load reports.
    """

    affinity = True
    gate = True
    lateness = True
    correction = True

    def __init__(self, tracker, cache, seed=None):
        super().__init__(tracker, cache, seed)
        self.baselines = {}

    def choose(self, call, options):
        """Return the candidate with the shortest expected time, local preferred."""
        options = self.options_with_capacity(call, options)
        digests = digest_prompt(call.body) if isinstance(call.route, ModelRoute) else ()
        if not self.affinity:
            digests = ()
        local = self.best_target(call, options.local, digests)
        if not options.remote:
            return local
        remote = self.best_remote_entry(options, digests)
        if local is None or self.should_spill(call, local, remote):
            return remote
        return local

    def has_capacity(self, call, options):
        """Return whether a local target or another failure domain has capacity."""
        if not self.gate or not (options.local or options.remote):
            return True
        with_capacity = self.filter_by_capacity(call, options)
        return bool(with_capacity.local or with_capacity.remote)

    def options_with_capacity(self, call, options):
        """Return the options that have capacity, or all of them if none has."""
        if not self.gate:
            return options
        with_capacity = self.filter_by_capacity(call, options)
        return with_capacity if with_capacity.local or with_capacity.remote else options

    def filter_by_capacity(self, call, options):
        """Return the options that have capacity for a call of this class."""
        reserved = self.reserved_slot_share(call, bool(options.remote))
        local = tuple(t for t in options.local if self.target_has_capacity(t, reserved))
        remote = tuple(
            domain
            for domain in options.remote
            if self.domain_load(domain) < domain.summary.slots * (1 - reserved)
        )
        return Options(local, remote, options.region)

    def target_has_capacity(self, target, reserved):
        """Return whether a target has a free slot beyond the reserved share."""
        return self.target_load(target) < target.announcement.slots * (1 - reserved)

    def reserved_slot_share(self, call, can_spill):
        """Return the share of slots that this call may not use.

        It is negative for interactive calls that can't spill: they can neither wait nor
        run elsewhere, so they may queue at the targets.
        """
        if call.class_ != INTERACTIVE:
            return DEFERRED_RESERVED_SLOT_SHARE[call.caller.weighs]
        return RESERVED_SLOT_SHARE if can_spill else -QUEUED_REQUESTS_PER_SLOT

    def best_target(self, call, targets, digests):
        """Return the `LocalTarget` with the lowest score, or None."""
        if not targets:
            return None
        cached_by_name = self.cached_blocks_by_name(targets, digests)
        scored = self.sample_targets(targets, digests, cached_by_name)
        factor = COST_PREFILL_FACTOR if call.caller.weighs == COST else 1.0
        best, best_score = None, None
        for target in scored:
            wait_ms = self.target_wait_ms(target)
            missing = len(digests) - cached_by_name.get(target.announcement.name, 0)
            score = (
                wait_ms + factor * PREFILL_MS_PER_BLOCK * missing + self.random.random()
            )
            if best is None or score < best_score:
                best = LocalTarget(target, wait_ms + PREFILL_MS_PER_BLOCK * missing)
                best_score = score
        return best

    def cached_blocks_by_name(self, targets, digests):
        """Return by target name how many leading blocks of the prompt are cached."""
        names = (target.announcement.name for target in targets if digests)
        return {name: self.cache.cached_blocks(name, digests) for name in names}

    def sample_targets(self, targets, digests, cached_by_name):
        """Return the targets to score: all of few, else two at random, one by prompt.

        The latter is the target with the most cached blocks of the prompt; rendezvous
        hashing breaks ties, so that repeats of a prompt reach the same target.
        """
        if len(targets) <= MAX_SCORED_TARGETS:
            return targets
        sampled = self.random.sample(targets, 2)
        if digests:
            by_name = {target.announcement.name: target for target in targets}
            digest = digests[min(len(digests), AFFINITY_BLOCK_COUNT) - 1]
            ranked = rank_by_rendezvous(digest, by_name)
            sampled.append(by_name[max(ranked, key=cached_by_name.get)])
        return sampled

    def target_wait_ms(self, target):
        """Return how long a request is expected to wait for a slot of a target."""
        slots = max(target.announcement.slots, 1)
        return self.expected_wait_ms(
            self.target_load(target), slots, target.announcement.name
        )

    def target_load(self, target):
        """Return the estimated number of requests at a target."""
        announcement = target.announcement
        own_load = self.tracker.in_flight(announcement.name)
        reported_load = announcement.running + announcement.waiting
        if self.correction:
            return own_load + max(0, reported_load - target.own_in_flight)
        return max(own_load, reported_load)

    def expected_wait_ms(self, load, slots, name):
        """Return the expected wait behind `load` requests, plus measured lateness."""
        wait_ms = max(0.0, load + 1 - slots) / slots * self.tracker.hold_ms(name)
        late_ms = max(0.0, self.tracker.late_ms(name)) if self.lateness else 0.0
        return wait_ms + late_ms

    def best_remote_entry(self, options, digests):
        """Return a `RemoteEntry` of one of the failure domains with the shortest wait.

        Of those within `WAIT_TOLERANCE_MS` of the shortest, the prompt determines one,
        so that repeats of a prompt find a warm cache. Without a prompt one is chosen at
        random, weighted by free slots: all nodes use the same outdated reports, and
        would otherwise choose the same domain.
        """
        waits_ms = {
            d.name: self.domain_wait_ms(d, options.region) for d in options.remote
        }
        shortest_ms = min(waits_ms.values())
        fastest = [
            d
            for d in options.remote
            if waits_ms[d.name] <= shortest_ms + WAIT_TOLERANCE_MS
        ]
        best = self.pick_domain(fastest, digests)
        member = min(
            best.members,
            key=lambda m: (self.tracker.in_flight(m.name), self.random.random()),
        )
        return RemoteEntry(
            member, waits_ms[best.name] + PREFILL_MS_PER_BLOCK * len(digests)
        )

    def pick_domain(self, domains, digests):
        """Return one of several failure domains that are considered equally fast."""
        if digests and len(domains) > 1:
            by_name = {domain.name: domain for domain in domains}
            digest = digests[min(len(digests), AFFINITY_BLOCK_COUNT) - 1]
            return by_name[rank_by_rendezvous(digest, by_name)[0]]
        weights = [max(d.summary.slots - self.domain_load(d), 1) for d in domains]
        return self.random.choices(domains, weights)[0]

    def domain_wait_ms(self, domain, region):
        """Return the expected wait in another failure domain."""
        hop_ms = (
            SAME_REGION_HOP_MS
            if domain.summary.region == region
            else OTHER_REGION_HOP_MS
        )
        slots = max(domain.summary.slots, 1)
        load = self.domain_load(domain)
        return hop_ms + self.expected_wait_ms(load, slots, domain.name)

    def domain_load(self, domain):
        """Return the estimated number of requests at another failure domain.

        The baseline is how many of this node's requests were in flight there when a
        summary was first seen; the summary already counts these.
        """
        summary = domain.summary
        own_load = self.tracker.in_flight(domain.name)
        baseline = self.baselines.get((domain.name, summary.offer))
        if baseline is None or baseline[0] is not summary:
            baseline = self.baselines[domain.name, summary.offer] = (summary, own_load)
        reported_load = summary.running + summary.waiting
        return own_load + max(0, reported_load - baseline[1])

    def should_spill(self, call, local, remote):
        """Return whether spilling saves enough time over the best local target."""
        gain_ms = local.expected_ms - remote.expected_ms
        return (
            gain_ms > MIN_SPILL_GAIN_MS[call.caller.weighs, call.class_ == INTERACTIVE]
        )
