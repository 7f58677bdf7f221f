"""Where a request goes: a target of this region, or an entry VM of another one.

Pattern: least expected time to the first byte, with prefix affinity bounded by load. A
target's expected time is the reading that waits there plus what this prompt adds, which
is less where its shared parts are in memory. Requests leave the region when that is
sooner by more than the way costs.
"""

from typing import NamedTuple

from pollenmount.gateway.cache import preferred

__all__ = ["Candidate", "Chooser", "Hop", "Options", "TargetOption"]

READ_TOKENS_PER_MS = 40.0
# A running request lengthens each step of the engine, and each prompt that is read
# holds up the streams that run.
RUNNING_MS = 5.0
HOLD_MS = 3000.0
FIRST_TOKEN_MS = 30.0
PREFERRED_SHARE = 0.75
SERVICE_MS = 45.0
QUEUE_PER_SLOT = 4
SILENT_PENALTY_MS = 400.0
HOP_MS = 130.0
HOP_GAIN_MS = 100.0
HOME_SHARE_OF_TARGET = 0.5


class TargetOption(NamedTuple):
    """A target that may run the request, with all that the choice looks at.

    `requests` and `tokens` are the work of all VMs there, `cached` the tokens of the
    prompt in its memory, `lag_ms` how much slower it was than expected lately.
    """

    id: str
    region: str
    slots: int
    requests: int
    tokens: int
    cached: int
    lag_ms: float
    vouched: bool


class Options(NamedTuple):
    """Targets by place: those of this region, and those of others."""

    near: tuple[TargetOption, ...]
    far: tuple[TargetOption, ...]


class Candidate(NamedTuple):
    """Send it to this target; `expected_ms` is the time to its first byte."""

    target: str
    expected_ms: float


class Hop(NamedTuple):
    """Send it to an entry VM of this region."""

    region: str
    expected_ms: float


class Chooser:
    """Compares options; the figures it learns are kept by target."""

    def choose(self, options, prompt, target_ms, cost_ms=HOP_MS):
        """Return a `Candidate`, a `Hop` or None."""
        near = best(options.near, prompt)
        far = best_region(options.far, prompt, cost_ms)
        if near is None or far is None:
            return near or far
        stays = near.expected_ms <= HOME_SHARE_OF_TARGET * target_ms
        if stays or near.expected_ms <= far.expected_ms + HOP_GAIN_MS:
            return near
        return far


def best(options, prompt):
    """Return the `Candidate` with the least expected time, or None."""
    usable = [option for option in options if has_room(option)]
    if not usable:
        return None
    favourite = None
    if prompt is not None:
        favourite = preferred(prompt, [option.id for option in usable])
    expected = {o.id: expected_ms(o, prompt, o.id == favourite) for o in usable}
    id_ = min(expected, key=lambda key: (expected[key], key))
    return Candidate(id_, expected[id_])


def best_region(options, prompt, cost_ms):
    """Return the `Hop` to the region with the least expected time, or None."""
    regions = {option.region for option in options}
    hops = []
    for region in sorted(regions):
        found = best([o for o in options if o.region == region], prompt)
        if found is not None:
            hops.append(Hop(region, found.expected_ms + cost_ms))
    return min(hops, key=lambda hop: hop.expected_ms, default=None)


def has_room(option):
    """Return whether a target takes one more request, waiting ones included."""
    return option.requests < option.slots * QUEUE_PER_SLOT


def expected_ms(option, prompt, is_favourite):
    """Return the expected time to the first byte of an answer."""
    waiting = max(0, option.requests + 1 - option.slots)
    penalty = 0.0 if option.vouched else SILENT_PENALTY_MS
    penalty += option.lag_ms
    if prompt is None:
        turns = option.requests / max(1, option.slots)
        return penalty + SERVICE_MS * (turns if waiting else 0.2 * turns)
    unread = prompt.tokens - cached_tokens(option, prompt, is_favourite)
    reading = (option.tokens + unread) / READ_TOKENS_PER_MS
    running = RUNNING_MS * min(option.requests, option.slots)
    for_slot = HOLD_MS * waiting / max(1, option.slots)
    return penalty + FIRST_TOKEN_MS + reading + running + for_slot


def cached_tokens(option, prompt, is_favourite):
    """Return how many tokens are taken to be in a target's memory.

    Other VMs send the same shared parts to the favourite, unseen by this one.
    """
    shared = sum(part.tokens for part in prompt.parts[:-1])
    guess = PREFERRED_SHARE * shared if is_favourite else 0
    return min(prompt.tokens, max(option.cached, guess))
