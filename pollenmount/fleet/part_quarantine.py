"""Prompt parts under which targets crashed, and for how long they are not served.

A response that breaks off before its first event, though its head has arrived, may mean
that a part of the prompt crashes the target. It does so at every target, so a part
that was served anywhere is not the cause. Every VM keeps the same evidence and decides
by itself; the evidence is exchanged over links.
"""

import collections
from typing import NamedTuple

from pollenmount.fleet.messages import PromptBroke

__all__ = ["PartQuarantine"]

MAX_PARTS = 1024
MAX_BREAKS = 8
# Targets that end at one moment have a common cause, such as a loss of power.
SAME_MOMENT_MS = 100
# Time after the last crash, by the number of crashes.
QUARANTINE_MS = {2: 30_000, 3: 120_000, 4: 600_000}
MIN_CRASHES = min(QUARANTINE_MS)
MAX_CRASHES = max(QUARANTINE_MS)
EVIDENCE_TTL_MS = 900_000


class Break(NamedTuple):
    """A response that broke off: at which start of a target, of which prompt, when."""

    target: str
    born: int
    prompt: str
    at: int


class PartQuarantine:
    """Evidence by part id, in `breaks`, the part with the oldest news first."""

    def __init__(self, clock):
        self.clock = clock
        self.breaks = collections.OrderedDict()

    def record_break(self, message):
        """Add the evidence in a `PromptBroke`; return whether any of it is news."""
        at = self.clock.now() - message.age_ms
        added = Break(message.target, message.born, message.prompt, at)
        is_news = [self.add(part, added) for part in message.parts]
        return any(is_news)

    def add(self, part, added):
        """Add evidence on one part; return whether it is news."""
        known = self.breaks.get(part, ())
        if any(old[:3] == added[:3] for old in known):
            return False
        in_order = sorted((*known, added), key=lambda known_break: known_break.at)
        self.breaks[part] = tuple(in_order[-MAX_BREAKS:])
        self.breaks.move_to_end(part)
        if len(self.breaks) > MAX_PARTS:
            self.breaks.popitem(last=False)
        return True

    def record_served(self, parts):
        """Drop the evidence on parts that were served; return those that had any."""
        return tuple(part for part in parts if self.breaks.pop(part, None))

    def is_suspected(self, parts):
        """Return whether there is evidence on any of the parts."""
        return any(self.evidence(part) for part in parts)

    def evidence(self, part):
        """Return the evidence on a part that has not expired."""
        known = self.breaks.get(part, ())
        if known and self.clock.now() - known[-1].at >= EVIDENCE_TTL_MS:
            del self.breaks[part]
            return ()
        return known

    def left_ms(self, parts):
        """Return for how long a prompt with these parts is not served, 0 if it is."""
        return max((self.part_left_ms(part) for part in parts), default=0)

    def part_left_ms(self, part):
        """Return for how long a part is not served, 0 if it is."""
        known = self.evidence(part)
        crashes = min(count_crashes(known), MAX_CRASHES)
        if crashes < MIN_CRASHES:
            return 0
        return max(0, known[-1].at + QUARANTINE_MS[crashes] - self.clock.now())

    def messages(self):
        """Yield the evidence, for a VM that has none yet."""
        now = self.clock.now()
        for part in [*self.breaks]:
            for known in self.evidence(part):
                age_ms = now - known.at
                yield PromptBroke(*known[:3], (part,), age_ms)


def count_crashes(breaks):
    """Return how many crashes the evidence proves.

    Further attempts of one prompt, further prompts at one target and crashes at one
    moment count once.
    """
    targets = {(known.target, known.born) for known in breaks}
    prompts = {known.prompt for known in breaks}
    moments, last_at = 0, None
    for known in breaks:
        if last_at is None or known.at - last_at >= SAME_MOMENT_MS:
            moments += 1
            last_at = known.at
    return min(len(targets), len(prompts), moments)
