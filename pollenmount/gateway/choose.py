"""Base class of choosers, which pick the destination of a request, and their types.

The choosers are in `pollenmount.gateway.choosers`, one per module.
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
    "no_home_option",
    "no_remote_options",
]

FAMILY = "pollenmount.gateway.choosers"
PREFILL_TOKENS_PER_MS = 40.0
DECODE_STEP_MS = 8.0
LONG_STREAM_RATIO = 4.0
MAX_REQUESTS_PER_SLOT = 4
# Round trip to another region plus the time in its entry VM.
HOP_COST_MS = 130.0


class TargetOption(NamedTuple):
    """A target that may run the request, with the data on which choosers decide.

    `requests`, `prefill_tokens` and `streams` are the load that all entry VMs put on
    it. `cached_tokens` is how much of the prompt is expected to be in its prefix cache,
    and `lag_ms` how much later than expected it has responded lately. `targets` is the
    number of targets that it stands for, as a typical one of them, and `hop_ms` what a
    hop to them costs.
    """

    id: str
    region: str
    slots: int
    requests: int
    prefill_tokens: int
    cached_tokens: float
    lag_ms: float
    has_heartbeats: bool
    streams: int = 0
    targets: int = 1
    hop_ms: float = HOP_COST_MS


def no_remote_options():
    """Return no options, for a call that may not leave this region."""
    return ()


def no_home_option():
    """Return no option, for a call that no target of this region may run."""


class Options(NamedTuple):
    """Targets of this region, and a function that returns options in other regions.

    In a large region `local` has only a few of the targets: those that are likely to
    have the prompt cached, and some drawn at random, so that VMs with the same view of
    the load don't all send to the same target. Most calls stay in the region, so remote
    options are computed only on demand. So is `home`, the option that stands for all
    targets of this region, like those in `remote` for other regions. `is_spread` is
    whether requests are spread over regions by their room.
    """

    local: tuple[TargetOption, ...]
    remote: Callable[[], tuple[TargetOption, ...]] = no_remote_options
    home: Callable[[], TargetOption | None] = no_home_option
    is_spread: bool = False


class TargetChoice(NamedTuple):
    """Decision to send a request to a target of this region.

    `expected_ms` is the expected time to the first byte. `should_defer` advises to
    choose again a little later instead of sending now.
    """

    target_id: str
    expected_ms: float
    should_defer: bool = False


class RegionChoice(NamedTuple):
    """Decision to send a request to an entry VM of another region."""

    region: str
    expected_ms: float


class Chooser:
    """Picks the destination of a request.

    `choose` gets the `Options`, the prompt (None for plain calls), and the latency
    objective of the route. It returns a `TargetChoice`, a `RegionChoice` or None.
    """

    def choose(self, options, prompt, slo_ms):
        """Return a `TargetChoice`, a `RegionChoice` or None."""
        raise NotImplementedError


def make_chooser(name):
    """Return a new chooser by its name, or raise `UnknownPluginError`."""
    return get_plugin_by_name(FAMILY, name)()


def is_long_stream(prompt):
    """Return whether decoding the output takes much longer than the prefill."""
    decode_ms = prompt.expected_output * DECODE_STEP_MS
    return decode_ms > LONG_STREAM_RATIO * prompt.tokens / PREFILL_TOKENS_PER_MS


def has_capacity(option):
    """Return whether a target accepts one more request, in a slot or in its queue."""
    return option.requests < option.slots * MAX_REQUESTS_PER_SLOT
