"""What a choice of where a request goes looks at and returns, and its base class.

The ways to choose are in `pollenmount.gateway.choosers`, one a module.
"""

from collections.abc import Callable
from typing import NamedTuple

from pollenmount.plugin import get_plugin_by_name

__all__ = [
    "FAMILY",
    "Chooser",
    "Options",
    "RegionChoice",
    "TargetChoice",
    "TargetOption",
    "has_capacity",
    "is_long_stream",
    "make_chooser",
    "no_remote_options",
]

FAMILY = "pollenmount.gateway.choosers"
PREFILL_TOKENS_PER_MS = 40.0
DECODE_STEP_MS = 8.0
LONG_STREAM_RATIO = 4.0
MAX_REQUESTS_PER_SLOT = 4
# The way to another region and back, and an entry VM more.
HOP_COST_MS = 130.0


class TargetOption(NamedTuple):
    """A target that may run the request, with all that the choice looks at.

    `requests`, `prefill_tokens` and `streams` are the load that all entry VMs put on
    it. `cached_tokens` is how much of the prompt is in its prefix cache, and `lag_ms`
    how much later than expected it has answered lately.
    """

    id: str
    region: str
    slots: int
    requests: int
    prefill_tokens: int
    cached_tokens: int
    lag_ms: float
    has_heartbeats: bool
    streams: int = 0


def no_remote_options():
    """Return the options in other regions for a call that may not leave this one."""
    return ()


class Options(NamedTuple):
    """Targets of this region, and a function that returns those of others.

    Most calls stay, so that the others are looked up only when they matter.
    """

    local: tuple[TargetOption, ...]
    remote: Callable[[], tuple[TargetOption, ...]] = no_remote_options


class TargetChoice(NamedTuple):
    """Send it to this target; `expected_ms` is the time to its first byte.

    `should_defer` tells that it is better sent a moment later.
    """

    target: str
    expected_ms: float
    should_defer: bool = False


class RegionChoice(NamedTuple):
    """Send it to an entry VM of this region."""

    region: str
    expected_ms: float


class Chooser:
    """Picks where a request goes.

    `choose` gets the `Options`, the prompt (None for plain calls), and the time in ms
    within which a response is on time. It returns a `TargetChoice`, a `RegionChoice`
    or None.
    """

    def choose(self, options, prompt, target_ms):
        """Return a `TargetChoice`, a `RegionChoice` or None."""
        raise NotImplementedError


def make_chooser(name):
    """Return a new chooser by name, or raise `UnknownPluginError`."""
    return get_plugin_by_name(FAMILY, name)()


def is_long_stream(prompt):
    """Return whether a generation's output takes much longer than its prompt."""
    decode_ms = prompt.expected_output * DECODE_STEP_MS
    return decode_ms > LONG_STREAM_RATIO * prompt.tokens / PREFILL_TOKENS_PER_MS


def has_capacity(option):
    """Return whether a target takes one more request, waiting ones included."""
    return option.requests < option.slots * MAX_REQUESTS_PER_SLOT
