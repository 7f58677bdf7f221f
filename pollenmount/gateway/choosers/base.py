"""Base class of the baselines: a target of this region first, another region else."""

from pollenmount.gateway.choose import (
    HOP_COST_MS,
    Chooser,
    RegionChoice,
    TargetChoice,
    has_capacity,
)

__all__ = ["Baseline"]


class Baseline(Chooser):
    """Picks among the targets with room; `pick` says which."""

    def choose(self, options, prompt, target_ms):
        """Return a `TargetChoice`, a `RegionChoice` or None."""
        local = [option for option in options.local if has_capacity(option)]
        if local:
            return TargetChoice(self.pick(local).id, 0.0)
        remote = [option for option in options.remote() if has_capacity(option)]
        return RegionChoice(self.pick(remote).region, HOP_COST_MS) if remote else None

    def pick(self, options):
        """Return one of the options, of which there is at least one."""
        raise NotImplementedError
