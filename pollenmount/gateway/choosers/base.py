"""Base class of the baselines, which leave the region only if it has no capacity."""

from pollenmount.gateway.choose import (
    Chooser,
    RegionChoice,
    TargetChoice,
    has_capacity,
)

__all__ = ["Baseline"]


class Baseline(Chooser):
    """Picks among the targets with capacity; subclasses implement `pick`."""

    def choose(self, options, prompt, slo_ms):
        """Return a `TargetChoice`, a `RegionChoice` or None."""
        local = [option for option in options.local if has_capacity(option)]
        if local:
            return TargetChoice(self.pick(local).id, 0.0)
        remote = [option for option in options.remote() if has_capacity(option)]
        if not remote:
            return None
        picked = self.pick(remote)
        return RegionChoice(picked.region, picked.hop_ms)

    def pick(self, options):
        """Return one of the options; there is at least one."""
        raise NotImplementedError
