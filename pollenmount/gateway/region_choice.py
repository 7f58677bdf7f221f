"""Spreads requests over regions in proportion to the room there.

All entry VMs see the same old rows of the other regions. If each picked the region with
the best row, all would pick the same one until newer rows show it overloaded, and then
all another one. So each VM draws, and the shares of all VMs follow the room.
"""

import math

from pollenmount.gateway.choose import PREFILL_TOKENS_PER_MS

__all__ = [
    "SPREADING_CHOOSER",
    "draw",
    "find_room",
    "mean_wait_ms",
    "typical_option",
    "wait_ms",
]

# Name of the chooser that does so.
SPREADING_CHOOSER = "spread_regions"

# Share of the slots up to which requests find a free one.
FREE_SLOTS_SHARE = 0.8
# Wait for a slot by the share of the slots that is taken beyond that.
MISSING_SLOT_MS = 3000.0


def wait_ms(option):
    """Return how long a request is expected to wait at the targets of an option.

    Where most slots are taken, those of some targets all are.
    """
    prefill_ms = option.prefill_tokens / PREFILL_TOKENS_PER_MS + option.lag_ms
    taken = option.requests / max(1, option.slots)
    return prefill_ms + MISSING_SLOT_MS * max(0.0, taken - FREE_SLOTS_SHARE)


def mean_wait_ms(options):
    """Return the mean of `wait_ms` over all targets that some options stand for."""
    total = sum(option.targets * wait_ms(option) for option in options)
    return total / sum(option.targets for option in options)


def find_room(option, budget_ms, extra_ms=0.0):
    """Return how many idle targets can take as much as those of an option.

    They take requests until these wait for `budget_ms`, `extra_ms` on the way among
    them, or no slot is free.
    """
    free_time = max(0.0, 1 - (wait_ms(option) + extra_ms) / max(1, budget_ms))
    free_slots = max(0.0, 1 - option.requests / max(1, option.slots))
    return option.targets * free_time * free_slots


def draw(rooms, random):
    """Return one of the keys of `rooms`, with the probability of its share of the sum.

    It is None if there is no room anywhere.
    """
    keys = [key for key, room in rooms.items() if room > 0]
    if not keys:
        return None
    return random.choices(keys, [rooms[key] for key in keys])[0]


def typical_option(options):
    """Return an option that stands for several, by the less loaded half of them.

    Rows of other regions are made like this, too.
    """
    options = sorted(options, key=lambda o: (o.prefill_tokens, o.requests))
    half = options[: math.ceil(len(options) / 2)]

    def mean(name):
        return sum(getattr(option, name) for option in half) / len(half)

    return half[0]._replace(
        slots=mean("slots"),
        requests=mean("requests"),
        prefill_tokens=mean("prefill_tokens"),
        lag_ms=mean("lag_ms"),
        streams=mean("streams"),
        targets=len(options),
    )
