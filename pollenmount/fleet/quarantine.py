"""Keys under which targets crashed, and for how long what has them is not served.

A key is what may crash a target that runs it, such as a part of a prompt. It does so at
every target, so a key that was served anywhere is not the cause. Every VM keeps the
same evidence and decides by itself; the evidence is exchanged over links.
"""

import collections
from typing import NamedTuple

__all__ = ["PART_QUARANTINE_MS", "Crash", "Quarantine"]

MAX_KEYS = 1024
MAX_CRASHES_KEPT = 8
# Targets that end at one moment have a common cause, such as a loss of power.
SAME_MOMENT_MS = 100
# Time after the last crash, by the number of crashes.
PART_QUARANTINE_MS = {2: 30_000, 3: 120_000, 4: 600_000}
EVIDENCE_TTL_MS = 900_000


class Crash(NamedTuple):
    """What may have been a crash: at which start of a target, of which prompt, when.

    `prompt` is '' if the key is that of the whole request.
    """

    target: str
    born: int
    prompt: str
    at: int


class Quarantine:
    """Evidence by key, in `crashes`, the key with the oldest news first.

    `durations_ms` is how long a key is not served after its last crash, by the number
    of crashes.
    """

    def __init__(self, clock, durations_ms):
        self.clock = clock
        self.durations_ms = durations_ms
        self.crashes = collections.OrderedDict()

    def record(self, crash, keys):
        """Add a crash to the evidence on each key; return whether any of it is news."""
        is_news = [self.add(key, crash) for key in keys]
        return any(is_news)

    def add(self, key, crash):
        """Add a crash to the evidence on one key; return whether it is news."""
        known = self.crashes.get(key, ())
        if any(old[:3] == crash[:3] for old in known):
            return False
        in_order = sorted((*known, crash), key=lambda known_crash: known_crash.at)
        self.crashes[key] = tuple(in_order[-MAX_CRASHES_KEPT:])
        self.crashes.move_to_end(key)
        if len(self.crashes) > MAX_KEYS:
            self.crashes.popitem(last=False)
        return True

    def clear(self, keys):
        """Drop the evidence on keys that were served; return those that had any."""
        return tuple(key for key in keys if self.crashes.pop(key, None))

    def is_suspected(self, keys):
        """Return whether there is evidence on any of the keys."""
        return any(self.evidence(key) for key in keys)

    def evidence(self, key):
        """Return the evidence on a key that has not expired."""
        known = self.crashes.get(key, ())
        if known and self.clock.now() - known[-1].at >= EVIDENCE_TTL_MS:
            del self.crashes[key]
            return ()
        return known

    def left_ms(self, keys):
        """Return for how long what has these keys is not served, 0 if it is."""
        return max((self.key_left_ms(key) for key in keys), default=0)

    def key_left_ms(self, key):
        """Return for how long a key is not served, 0 if it is."""
        known = self.evidence(key)
        count = min(count_crashes(known), max(self.durations_ms))
        if count < min(self.durations_ms):
            return 0
        return max(0, known[-1].at + self.durations_ms[count] - self.clock.now())

    def by_crash(self):
        """Return the keys of each `Crash`, for a VM that has no evidence yet."""
        keys = collections.defaultdict(list)
        for key in [*self.crashes]:
            for crash in self.evidence(key):
                keys[crash].append(key)
        return keys


def count_crashes(crashes):
    """Return how many crashes the evidence proves.

    Further attempts of one prompt, further prompts at one target and crashes at one
    moment count once.
    """
    targets = {(crash.target, crash.born) for crash in crashes}
    prompts = {crash.prompt for crash in crashes if crash.prompt}
    moments, last_at = 0, None
    for crash in crashes:
        if last_at is None or crash.at - last_at >= SAME_MOMENT_MS:
            moments += 1
            last_at = crash.at
    return min(len(targets), len(prompts) or len(targets), moments)
