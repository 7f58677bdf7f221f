"""Policy `adaptive`: the shortest expected time to the first byte, home first.

The expected time is worked out from this node's own requests in flight, load reports
corrected for what was in flight when they came, measured lateness, and prompt blocks
that the target doesn't hold. A call goes away when home is later than the other failure
domain by a threshold; a lower one brings calls home again.
"""

from pollenmount.plans.plan import COST, INTERACTIVE, LATENCY
from pollenmount.plugin import register
from pollenmount.routing.policies.base import FAMILY, Policy
from pollenmount.routing.prefix import get_digests, rendezvous
from pollenmount.routing.request import (
    LocalTarget,
    ModelRoute,
    RemoteEntry,
    offer_name,
)

__all__ = ["Adaptive"]

MAX_COMPARED = 8
AFFINITY_BLOCK = 16
BLOCK_MS = 3.2
COST_FACTOR = 3.0
HOP_MS = 60.0
GO_MS = {
    (LATENCY, True): 20.0,
    (LATENCY, False): 200.0,
    (COST, True): 150.0,
    (COST, False): 2000.0,
}
RETURN_SHARE = 0.5
RAMP_MS = 20_000
RAMP_START = 0.25
RAMP_AFTER_MS = 30_000


@register(FAMILY, "adaptive")
class Adaptive(Policy):
    """The gateway's own policy.

    Class attributes switch parts off for comparison: `affinity`, `hysteresis`, `ramp`,
    `lateness`, `correction`.
    """

    affinity = True
    hysteresis = True
    ramp = True
    lateness = True
    correction = True

    def __init__(self, tracker, cache, seed=None):
        super().__init__(tracker, cache, seed)
        self.away = {}
        self.domain_since = {}

    def choose(self, call, options, now):
        """Return the candidate with the shortest expected time, home preferred."""
        digests = get_digests(call.body) if isinstance(call.route, ModelRoute) else ()
        if not self.affinity:
            digests = ()
        home = self.best_target(call, options.local, digests, now)
        if not options.remote:
            return home
        away = self.best_domain(options.remote, digests, now)
        if home is None or self.goes_away(call, home, away):
            return away
        return home

    def best_target(self, call, targets, digests, now):
        """Return the `LocalTarget` with the lowest score, or None."""
        if not targets:
            return None
        compared = self.draw(targets, digests)
        factor = COST_FACTOR if call.caller.weighs == COST else 1.0
        best, best_score = None, None
        for target in compared:
            wait = self.wait_ms(target, now)
            missing = len(digests) - self.cache.cached_blocks(target.said.name, digests)
            score = wait + factor * BLOCK_MS * missing + self.random.random()
            if best is None or score < best_score:
                best = LocalTarget(target, wait + BLOCK_MS * missing)
                best_score = score
        return best

    def draw(self, targets, digests):
        """Return the targets to compare: all of few, else two and the affine one."""
        if len(targets) <= MAX_COMPARED:
            return targets
        drawn = self.random.sample(targets, 2)
        if digests:
            by_name = {target.said.name: target for target in targets}
            digest = digests[min(len(digests), AFFINITY_BLOCK) - 1]
            drawn.append(by_name[rendezvous(digest, by_name)[0]])
        return drawn

    def wait_ms(self, target, now):
        """Return how long a request is expected to wait for a slot of the target."""
        said = target.said
        own = self.tracker.in_flight(said.name)
        reported = said.running + said.waiting
        if self.correction:
            load = own + max(0, reported - target.own)
        else:
            load = max(own, reported)
        slots = max(said.slots * self.ramped(now - target.since, now), 1)
        return self.queue_ms(load, slots, said.name)

    def queue_ms(self, load, slots, name):
        """Return the expected wait behind `load` requests, measured lateness added."""
        wait = max(0.0, load + 1 - slots) / slots * self.tracker.hold_ms(name)
        late = max(0.0, self.tracker.late_ms(name)) if self.lateness else 0.0
        return wait + late

    def ramped(self, age_ms, now):
        """Return the share of its slots that something of this age gets."""
        if not self.ramp or now < RAMP_AFTER_MS or age_ms >= RAMP_MS:
            return 1.0
        return RAMP_START + (1 - RAMP_START) * age_ms / RAMP_MS

    def best_domain(self, domains, digests, now):
        """Return the `RemoteEntry` of the failure domain expected to be fastest."""
        best, best_ms = None, None
        for domain in domains:
            ms = self.domain_ms(domain, now) + BLOCK_MS * len(digests)
            if best is None or ms < best_ms:
                best, best_ms = domain, ms
        member = min(
            best.members,
            key=lambda m: (self.tracker.in_flight(m.name), self.random.random()),
        )
        return RemoteEntry(member, best_ms)

    def domain_ms(self, domain, now):
        """Return the expected wait in another failure domain."""
        summary = domain.summary
        own = self.tracker.in_flight(domain.name)
        load = max(own, summary.running + summary.waiting)
        slots = max(summary.slots, 1)
        return HOP_MS + self.queue_ms(load, slots, domain.name)

    def goes_away(self, call, home, away):
        """Return whether home is late enough for the call to go away."""
        offer = offer_name(call.route)
        gain = home.expected_ms - away.expected_ms
        threshold = self.threshold_ms(call)
        if self.hysteresis and self.away.get(offer):
            threshold *= RETURN_SHARE
        self.away[offer] = gain > threshold
        return self.away[offer]

    def threshold_ms(self, call):
        """Return how much later home must be for the call to go away."""
        return GO_MS[call.caller.weighs, call.class_ == INTERACTIVE]
