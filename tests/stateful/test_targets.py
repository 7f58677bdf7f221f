"""Property tests of the target table and the cache index, against simple models."""

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
    """Announcements arrive late, duplicated and out of order."""

    def __init__(self):
        super().__init__()
        self.clock = ManualClock(10_000)
        self.table = TargetTable(self.clock, TTL_MS)
        self.latest = {}
        self.departed = set()

    @rule(name=NAMES, incarnation=INCARNATIONS, sequence=st.integers(1, 9))
    def announce(self, name, incarnation, sequence):
        announcement = Announcement(name, incarnation, sequence, "x", "engine", 1)
        self.table.announce(announcement)
        if (name, incarnation) in self.departed:
            return
        latest = self.latest.get(name)
        if latest and latest[0] == incarnation and latest[1] >= sequence:
            return
        self.latest[name] = (incarnation, sequence, self.clock.now())

    @rule(name=NAMES, incarnation=INCARNATIONS)
    def leave(self, name, incarnation):
        self.table.leave(Leave(name, incarnation))
        self.departed.add((name, incarnation))
        if name in self.latest and self.latest[name][0] == incarnation:
            del self.latest[name]

    @rule(ms=st.sampled_from([1, 1000, 2999]), sweep=st.booleans())
    def advance(self, ms, sweep):
        self.clock.advance(ms)
        if sweep:
            self.table.sweep()
            limit = self.clock.now() - TTL_MS
            self.latest = {n: h for n, h in self.latest.items() if h[2] > limit}

    @invariant()
    def live_targets_are_those_announced_within_the_ttl(self):
        limit = self.clock.now() - TTL_MS
        live = {
            (t.announcement.name, t.announcement.incarnation) for t in self.table.live()
        }
        assert live == {(n, h[0]) for n, h in self.latest.items() if h[2] > limit}


class Cache(RuleBasedStateMachine):
    """The prefix cache of an engine, whose events may be lost."""

    def __init__(self):
        super().__init__()
        self.index = CacheIndex()
        self.cached = set()
        self.next_change = 0
        self.pending = ([], [])
        self.has_gap = False
        self.known_blocks = set()

    @rule(digest=st.sampled_from("pqrs"))
    def change_cache(self, digest):
        stored, evicted = self.pending
        if digest in stored or digest in evicted:
            return
        (evicted if digest in self.cached else stored).append(digest)
        self.cached ^= {digest}

    @rule(is_lost=st.booleans(), is_full_list=st.booleans())
    def announce_events(self, is_lost, is_full_list):
        stored, evicted = self.pending
        self.pending = ([], [])
        first_change = self.next_change
        events = CacheEvents(self.next_change, tuple(stored), tuple(evicted))
        self.next_change += len(stored) + len(evicted)
        if is_full_list:
            events = CacheEvents(self.next_change, tuple(self.cached), whole=True)
            self.next_change += len(self.cached)
        if is_lost:
            self.has_gap = self.has_gap or self.next_change > first_change
            return
        missing_events = self.index.apply_events("a", "1", events)
        assert missing_events == (self.has_gap and not is_full_list)
        if is_full_list or self.has_gap:
            self.known_blocks = set()
        self.known_blocks = (self.known_blocks | set(events.stored)) - set(
            events.evicted
        )
        self.has_gap = False

    @invariant()
    def index_holds_the_events_since_the_last_gap(self):
        for digest in "pqrs":
            leading = self.index.cached_blocks("a", (digest,))
            assert bool(leading) == (digest in self.known_blocks)


TestTargets = Targets.TestCase
TestTargets.settings = FIXED
TestCache = Cache.TestCase
TestCache.settings = FIXED
