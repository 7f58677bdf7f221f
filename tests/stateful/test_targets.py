"""The table of targets and the index of their caches, against simple oracles."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from pollenmount.clock import ManualClock
from pollenmount.targets.cache import CacheEvents, CacheIndex
from pollenmount.targets.table import Announcement, Leave, TargetTable

TTL_MS = 3000
NAMES = st.sampled_from(["a", "b"])
INCARNATIONS = st.sampled_from(["1", "2"])
FIXED = settings(derandomize=True, database=None, deadline=None, max_examples=80)


class Targets(RuleBasedStateMachine):
    """Announcements come late, twice and out of order."""

    def __init__(self):
        super().__init__()
        self.clock = ManualClock(10_000)
        self.table = TargetTable(self.clock, TTL_MS)
        self.heard = {}
        self.left = set()

    @rule(name=NAMES, incarnation=INCARNATIONS, sequence=st.integers(1, 9))
    def announce(self, name, incarnation, sequence):
        announcement = Announcement(name, incarnation, sequence, "x", "engine", 1)
        self.table.announce(announcement)
        if (name, incarnation) in self.left:
            return
        known = self.heard.get(name)
        if known and known[0] == incarnation and known[1] >= sequence:
            return
        self.heard[name] = (incarnation, sequence, self.clock.now())

    @rule(name=NAMES, incarnation=INCARNATIONS)
    def leave(self, name, incarnation):
        self.table.leave(Leave(name, incarnation))
        self.left.add((name, incarnation))
        if name in self.heard and self.heard[name][0] == incarnation:
            del self.heard[name]

    @rule(ms=st.sampled_from([1, 1000, 2999]), sweep=st.booleans())
    def advance(self, ms, sweep):
        self.clock.advance(ms)
        if sweep:
            self.table.sweep()
            limit = self.clock.now() - TTL_MS
            self.heard = {n: h for n, h in self.heard.items() if h[2] > limit}

    @invariant()
    def only_targets_heard_of_lately_get_work(self):
        limit = self.clock.now() - TTL_MS
        live = {
            (t.announcement.name, t.announcement.incarnation) for t in self.table.live()
        }
        assert live == {(n, h[0]) for n, h in self.heard.items() if h[2] > limit}


class Cache(RuleBasedStateMachine):
    """An engine's cache told in events of which some are lost."""

    def __init__(self):
        super().__init__()
        self.index = CacheIndex()
        self.held = set()
        self.told = 0
        self.pending = ([], [])
        self.missed = False
        self.known = set()

    @rule(digest=st.sampled_from("pqrs"))
    def change(self, digest):
        stored, evicted = self.pending
        if digest in stored or digest in evicted:
            return
        (evicted if digest in self.held else stored).append(digest)
        self.held ^= {digest}

    @rule(lost=st.booleans(), whole=st.booleans())
    def tell(self, lost, whole):
        stored, evicted = self.pending
        self.pending = ([], [])
        before = self.told
        events = CacheEvents(self.told, tuple(stored), tuple(evicted))
        self.told += len(stored) + len(evicted)
        if whole:
            events = CacheEvents(self.told, tuple(self.held), whole=True)
            self.told += len(self.held)
        if lost:
            self.missed = self.missed or self.told > before
            return
        gap = self.index.apply_events("a", "1", events)
        assert gap == (self.missed and not whole)
        if whole or self.missed:
            self.known = set()
        self.known = (self.known | set(events.stored)) - set(events.evicted)
        self.missed = False

    @invariant()
    def knows_what_was_told_since_the_last_gap(self):
        for digest in "pqrs":
            known = self.index.cached_blocks("a", (digest,))
            assert bool(known) == (digest in self.known)


TestTargets = Targets.TestCase
TestTargets.settings = FIXED
TestCache = Cache.TestCase
TestCache.settings = FIXED
