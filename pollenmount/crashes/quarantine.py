"""Keys under which targets crashed, and for how long what has them is not served.

A key is what may crash a target that runs it, such as a part of a prompt. It does so at
every target, so a key that was served anywhere is not the cause. Every VM keeps the
same evidence and decides by itself; the evidence is exchanged over links.
"""

import collections
from typing import NamedTuple

__all__ = ["Crash", "PartQuarantine", "Quarantine", "RequestQuarantine"]

MAX_KEYS = 2048
# Keys in quarantine that are kept in turn before one is dropped all the same.
MAX_KEPT_IN_TURN = 64
MAX_CRASHES_KEPT = 8
# Targets that end at one moment have a common cause, such as a loss of power.
SAME_MOMENT_MS = 100
# Evidence outlasts the longest quarantine, so that another crash renews that.
EXTRA_TTL_MS = 300_000


class Crash(NamedTuple):
    """What may have been a crash: at which start of a target, of what, when.

    `cause` is the id of the prompt if the key is one of its parts, and that of the call
    if the key is the whole request. `late` tells that the target had begun to answer
    it, or that its attempt had ended before.
    """

    target: str
    born: int
    cause: str
    at: int
    late: bool = False


class Quarantine:
    """Evidence by key, in `crashes`: the oldest news first, but for what was kept.

    `keys_of` has all keys that each crash was evidence on, by its identity.
    `cleared_at` is when a key was last found to be survived; what came before that is
    no news, such as that of a VM that was cut off meanwhile.

    `durations_ms` is how long a key is not served after its last crash, by the number
    of crashes. A target has much that it had begun to answer, or that has just ended,
    so it takes one crash more if any came late.
    """

    durations_ms = {}

    def __init__(self, clock):
        self.clock = clock
        self.evidence_ttl_ms = max(self.durations_ms.values()) + EXTRA_TTL_MS
        self.crashes = collections.OrderedDict()
        self.cleared_at = collections.OrderedDict()
        self.keys_of = collections.OrderedDict()

    def record(self, crash, keys):
        """Add a crash to the evidence on each key; return whether any of it is news."""
        self.note_keys(crash, keys)
        is_news = [self.add(key, crash) for key in keys]
        return any(is_news)

    def add(self, key, crash):
        """Add a crash to the evidence on one key; return whether it is news."""
        known = self.crashes.get(key, ())
        if crash.at <= self.cleared_at.get(key, crash.at - 1):
            return False
        if any(self.is_same(old, crash) for old in known):
            return False
        in_order = sorted((*known, crash), key=lambda known_crash: known_crash.at)
        self.crashes[key] = tuple(in_order[-MAX_CRASHES_KEPT:])
        self.crashes.move_to_end(key)
        self.make_room()
        return True

    def make_room(self):
        """Drop keys beyond the bound, the oldest first, one in quarantine last.

        A crash brings evidence on all that the target had, mostly for nothing; what is
        in quarantine would be sent to targets again.
        """
        kept = 0
        while len(self.crashes) > MAX_KEYS:
            oldest = next(iter(self.crashes))
            if kept < MAX_KEPT_IN_TURN and self.key_left_ms(oldest):
                self.crashes.move_to_end(oldest)
                kept += 1
            else:
                self.crashes.pop(oldest, None)

    def note_keys(self, crash, keys):
        """Note which keys a crash is evidence on, for a bounded number of crashes."""
        identity = self.identity(crash)
        known = self.keys_of.pop(identity, frozenset())
        self.keys_of[identity] = known | {*keys}
        if len(self.keys_of) > MAX_KEYS:
            self.keys_of.popitem(last=False)

    def may_be_another(self, key, present):
        """Return whether a key not in `present` may have caused all crashes of `key`.

        Then what has the keys in `present` is mostly sound, and can prove it.
        """
        known = self.evidence(key)
        groups = [self.keys_of.get(self.identity(crash), {key}) for crash in known]
        common = frozenset.intersection(*map(frozenset, groups)) if groups else ()
        return any(other not in present and self.evidence(other) for other in common)

    def clear(self, keys, survived=True):
        """Drop the evidence on keys that were served; return those that had any.

        Unless a target has `survived` them, evidence of crashes that came late stays.
        """
        return tuple(key for key in keys if self.clear_one(key, survived))

    def clear_one(self, key, survived):
        """Drop evidence on one key; return whether there was any."""
        known = self.crashes.get(key, ())
        if known and survived:
            self.note_cleared(key)
        kept = () if survived else tuple(crash for crash in known if crash.late)
        if kept:
            self.crashes[key] = kept
        else:
            self.crashes.pop(key, None)
        return kept != known

    def note_cleared(self, key):
        """Note that a target has survived a key, for a bounded number of keys."""
        self.cleared_at[key] = self.clock.now()
        self.cleared_at.move_to_end(key)
        if len(self.cleared_at) > MAX_KEYS:
            self.cleared_at.popitem(last=False)

    def is_suspected(self, keys):
        """Return whether there is evidence on any of the keys."""
        return any(self.evidence(key) for key in keys)

    def is_suspected_early(self, keys):
        """Return whether any of the keys may crash a target before it answers."""
        return any(not crash.late for key in keys for crash in self.evidence(key))

    def evidence(self, key):
        """Return the evidence on a key that has not expired."""
        known = self.crashes.get(key, ())
        if known and self.clock.now() - known[-1].at >= self.evidence_ttl_ms:
            del self.crashes[key]
            return ()
        return known

    def known_crashes(self, keys):
        """Return how many crashes the evidence on any one of the keys proves."""
        return max((self.count(self.evidence(key)) for key in keys), default=0)

    def left_ms(self, keys):
        """Return for how long what has these keys is not served, 0 if it is."""
        return max((self.key_left_ms(key) for key in keys), default=0)

    def key_left_ms(self, key):
        """Return for how long a key is not served, 0 if it is."""
        ends_at = self.ends_at(key)
        return 0 if ends_at is None else max(0, ends_at - self.clock.now())

    def ends_at(self, key):
        """Return when the newest quarantine of a key ends, or ended; None without."""
        known = self.evidence(key)
        count = min(self.count(known), max(self.durations_ms))
        if count < min(self.durations_ms):
            return None
        return known[-1].at + self.durations_ms[count]

    def is_same(self, known, crash):
        """Return whether a crash adds nothing to a known one."""
        is_later = crash.late or not known.late
        return is_later and self.identity(known) == self.identity(crash)

    def count(self, crashes):
        """Return how many crashes the evidence on a key proves."""
        early = [crash for crash in crashes if not crash.late]
        return max(self.count_separate(early), self.count_separate(crashes) - 1)

    def identity(self, crash):
        """Return what is the same for reports that count once."""
        raise NotImplementedError

    def count_separate(self, crashes):
        """Return how many crashes are not of one cause beside the key."""
        raise NotImplementedError

    def by_crash(self, max_keys):
        """Return the keys of each `Crash`, for a VM that has no evidence yet.

        Of more than `max_keys` keys it is those with the most crashes, and of these the
        ones with the newest crashes.
        """
        keys = [key for key in [*self.crashes] if self.evidence(key)]
        if len(keys) > max_keys:
            keys.sort(key=self.rank, reverse=True)
        by_crash = collections.defaultdict(list)
        for key in keys[:max_keys]:
            for crash in self.evidence(key):
                by_crash[crash].append(key)
        return by_crash

    def rank(self, key):
        """Return what orders keys by how much the evidence on them is worth."""
        known = self.crashes.get(key, ())
        return len(known), known[-1].at if known else 0

    def is_proven(self, key):
        """Return whether the evidence on a key is enough for a quarantine."""
        return self.ends_at(key) is not None


class PartQuarantine(Quarantine):
    """Evidence on parts of prompts, by their ids.

    Further attempts of one prompt, further prompts at one target and crashes at one
    moment count once.
    """

    durations_ms = {2: 30_000, 3: 120_000, 4: 600_000}

    def identity(self, crash):
        """Return the start of the target, and the prompt."""
        return crash[:3]

    def count_separate(self, crashes):
        """Return how many targets, prompts and moments there were, the fewest."""
        prompts = {crash.cause for crash in crashes}
        moments = count_moments(crashes, lambda crash, last: False)
        return min(count_targets(crashes), len(prompts), moments)


class RequestQuarantine(Quarantine):
    """Evidence on whole requests, by their digests.

    Crashes at one moment count once, but not those of one call: its attempts follow
    each other.
    """

    # From the third crash on nobody misses a request that no target survives.
    durations_ms = {2: 30_000, 3: 3_600_000, 4: 86_400_000}

    def identity(self, crash):
        """Return the start of the target."""
        return crash[:2]

    def count_separate(self, crashes):
        """Return how many starts of targets and moments there were, the fewer."""
        moments = count_moments(crashes, lambda crash, last: crash.cause == last.cause)
        return min(count_targets(crashes), moments)


def count_targets(crashes):
    """Return at how many starts of targets the crashes were."""
    return len({(crash.target, crash.born) for crash in crashes})


def count_moments(crashes, are_separate):
    """Return at how many moments the crashes were, which are in order of time.

    `are_separate` tells of two that follow each other closely that they were not at one
    moment.
    """
    moments, last = 0, None
    for crash in crashes:
        if (
            last is None
            or crash.at - last.at >= SAME_MOMENT_MS
            or are_separate(crash, last)
        ):
            moments += 1
            last = crash
    return moments
