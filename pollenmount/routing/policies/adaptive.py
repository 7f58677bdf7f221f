"""Policy `adaptive`: the shortest expected time to the first byte, home first.

The expected time is worked out from this node's own requests in flight, load reports
corrected for what was in flight when they came, measured lateness, and prompt blocks
that the target doesn't hold. Some slots stay free for calls that can't wait. A call
goes away when no slot here is left for it, or home is later by a threshold.
"""

from pollenmount.plans.plan import COST, INTERACTIVE, LATENCY
from pollenmount.plugin import register
from pollenmount.routing.policies.base import FAMILY, Policy
from pollenmount.routing.prefix import get_digests, rendezvous
from pollenmount.routing.request import (
    LocalTarget,
    ModelRoute,
    Options,
    RemoteEntry,
)

__all__ = ["Adaptive"]

MAX_COMPARED = 8
AFFINITY_BLOCK = 16
BLOCK_MS = 3.2
COST_FACTOR = 3.0
HOP_MS = 60.0
NEAR_HOP_MS = 10.0
NEAR_MS = 20.0
GO_MS = {
    (LATENCY, True): 20.0,
    (LATENCY, False): 200.0,
    (COST, True): 150.0,
    (COST, False): 2000.0,
}
FREE_SHARE = 0.125
FREE_SHARE_DEFERRED = {LATENCY: 0.25, COST: 0.125}
QUEUE_SHARE = 1.0


@register(FAMILY, "adaptive")
class Adaptive(Policy):
    """The gateway's own policy.

    Class attributes switch parts off for comparison: `affinity`, `gate`, `lateness`,
    `correction`.
    """

    affinity = True
    gate = True
    lateness = True
    correction = True

    def __init__(self, tracker, cache, seed=None):
        super().__init__(tracker, cache, seed)
        self.seen = {}

    def choose(self, call, options):
        """Return the candidate with the shortest expected time, home preferred."""
        options = self.with_room(call, options)
        digests = get_digests(call.body) if isinstance(call.route, ModelRoute) else ()
        if not self.affinity:
            digests = ()
        home = self.best_target(call, options.local, digests)
        if not options.remote:
            return home
        away = self.best_domain(options, digests)
        if home is None or self.goes_away(call, home, away):
            return away
        return home

    def has_room(self, call, options):
        """Return whether a target here or another failure domain has a free slot."""
        if not self.gate or not (options.local or options.remote):
            return True
        opened = self.open_options(call, options)
        return bool(opened.local or opened.remote)

    def with_room(self, call, options):
        """Return the options that have room; all of them if none has."""
        if not self.gate:
            return options
        opened = self.open_options(call, options)
        return opened if opened.local or opened.remote else options

    def open_options(self, call, options):
        """Return the options that have room for a call of this class."""
        free = self.free_share(call, bool(options.remote))
        local = tuple(t for t in options.local if self.is_open(t, free))
        remote = tuple(
            domain
            for domain in options.remote
            if self.domain_load(domain) < domain.summary.slots * (1 - free)
        )
        return Options(local, remote, options.region)

    def is_open(self, target, free):
        """Return whether a target has room if a share of its slots stays free."""
        return self.load(target) < target.announcement.slots * (1 - free)

    def free_share(self, call, can_leave):
        """Return the share of slots that stays free for calls that can't wait.

        Those that can't leave either may queue at the targets, hence less than none.
        """
        if call.class_ != INTERACTIVE:
            return FREE_SHARE_DEFERRED[call.caller.weighs]
        return FREE_SHARE if can_leave else -QUEUE_SHARE

    def best_target(self, call, targets, digests):
        """Return the `LocalTarget` with the lowest score, or None."""
        if not targets:
            return None
        held = self.held_blocks(targets, digests)
        compared = self.draw(targets, digests, held)
        factor = COST_FACTOR if call.caller.weighs == COST else 1.0
        best, best_score = None, None
        for target in compared:
            wait = self.wait_ms(target)
            missing = len(digests) - held.get(target.announcement.name, 0)
            score = wait + factor * BLOCK_MS * missing + self.random.random()
            if best is None or score < best_score:
                best = LocalTarget(target, wait + BLOCK_MS * missing)
                best_score = score
        return best

    def held_blocks(self, targets, digests):
        """Return how many leading blocks targets hold, by name."""
        names = (target.announcement.name for target in targets if digests)
        return {name: self.cache.cached_blocks(name, digests) for name in names}

    def draw(self, targets, digests, held):
        """Return the targets to compare: all of few, else two and the affine one."""
        if len(targets) <= MAX_COMPARED:
            return targets
        drawn = self.random.sample(targets, 2)
        if digests:
            by_name = {target.announcement.name: target for target in targets}
            digest = digests[min(len(digests), AFFINITY_BLOCK) - 1]
            ranked = rendezvous(digest, by_name)
            drawn.append(by_name[max(ranked, key=held.get)])
        return drawn

    def wait_ms(self, target):
        """Return how long a request is expected to wait for a slot of the target."""
        slots = max(target.announcement.slots, 1)
        return self.queue_ms(self.load(target), slots, target.announcement.name)

    def load(self, target):
        """Return how many requests a target is thought to have."""
        announcement = target.announcement
        own = self.tracker.in_flight(announcement.name)
        reported = announcement.running + announcement.waiting
        if self.correction:
            return own + max(0, reported - target.own_in_flight)
        return max(own, reported)

    def queue_ms(self, load, slots, name):
        """Return the expected wait behind `load` requests, measured lateness added."""
        wait = max(0.0, load + 1 - slots) / slots * self.tracker.hold_ms(name)
        late = max(0.0, self.tracker.late_ms(name)) if self.lateness else 0.0
        return wait + late

    def best_domain(self, options, digests):
        """Return a `RemoteEntry` of a failure domain that is expected to be fast.

        Among those that are near it the prompt decides, so that repeats of it meet a
        warm cache; without a prompt they are drawn by their free slots, since the
        reports that all nodes look at are old.
        """
        waits = {d.name: self.domain_ms(d, options.region) for d in options.remote}
        shortest = min(waits.values())
        near = [d for d in options.remote if waits[d.name] <= shortest + NEAR_MS]
        best = self.draw_domain(near, digests)
        member = min(
            best.members,
            key=lambda m: (self.tracker.in_flight(m.name), self.random.random()),
        )
        return RemoteEntry(member, waits[best.name] + BLOCK_MS * len(digests))

    def draw_domain(self, domains, digests):
        """Return one of several failure domains that are equally fast."""
        if digests and len(domains) > 1:
            by_name = {domain.name: domain for domain in domains}
            digest = digests[min(len(digests), AFFINITY_BLOCK) - 1]
            return by_name[rendezvous(digest, by_name)[0]]
        weights = [max(d.summary.slots - self.domain_load(d), 1) for d in domains]
        return self.random.choices(domains, weights)[0]

    def domain_ms(self, domain, region):
        """Return the expected wait in another failure domain."""
        hop = NEAR_HOP_MS if domain.summary.region == region else HOP_MS
        slots = max(domain.summary.slots, 1)
        load = self.domain_load(domain)
        return hop + self.queue_ms(load, slots, domain.name)

    def domain_load(self, domain):
        """Return how many requests another failure domain is thought to have."""
        summary = domain.summary
        own = self.tracker.in_flight(domain.name)
        seen = self.seen.get((domain.name, summary.offer))
        if seen is None or seen[0] is not summary:
            seen = self.seen[domain.name, summary.offer] = (summary, own)
        reported = summary.running + summary.waiting
        return own + max(0, reported - seen[1])

    def goes_away(self, call, home, away):
        """Return whether home is late enough for the call to go away."""
        gain = home.expected_ms - away.expected_ms
        return gain > GO_MS[call.caller.weighs, call.class_ == INTERACTIVE]
