"""Finds lost requests: read whole by a VM, and ended without a complete answer.

The rule holds beside planned work only; times are monotonic and in seconds.
"""

import collections
from typing import NamedTuple

# A connection may close while a request is on its way.
CROSSING_S = 0.2
STOP_MARGIN_S = 1
CONFIG_APPLY_S = 3
CONFIG_MARGIN_S = 1
# A machine that is asked to stop may leave the directory's callers for so long.
LATE_REQUEST_S = 3
# Work that goes on in this last share of the grace period may be cut.
LAST_SHARE = 1 / 6
# Beside a configuration, requests that have used this share of their time do not count.
USED_SHARE = 0.7
CUT_RATE_FACTOR = 3
CUT_ENDINGS = ("closed", "reset")


class Work(NamedTuple):
    """Planned work: `stop` or `reload` of a VM, or a `plan` sent to all of them.

    A plan is acknowledged, or its call given up, at `ended_at`.
    """

    kind: str
    vm: str
    started_at: float
    ended_at: float


class LostFinder:
    """Judges observations by the replicas' runs and by the planned work.

    `runs` maps request ids to their runs, `get_limit_s` returns the least time limit
    that a request may have had, and `grace_s` is the grace period of a stop.
    """

    def __init__(self, runs, works, get_limit_s, grace_s):
        self.runs = runs
        self.works = works
        self.get_limit_s = get_limit_s
        self.grace_s = grace_s

    def find(self, observations):
        """Return (violations, cuts that break no rule), both as texts."""
        cuts = [o for o in observations if self.is_cut(o)]
        often_cut = self.find_often_cut(observations, cuts)
        violations, others = [], []
        for cut in cuts:
            kinds = sorted({w.kind for w in self.works if self.counts(cut, w)})
            if cut.vm not in often_cut and "plan" in kinds:
                kinds.remove("plan")
            text = self.describe(cut)
            if kinds:
                violations.append(f"LOST beside {', '.join(kinds)}: {text}")
            else:
                others.append(f"cut: {text}")
        return violations, others

    def is_cut(self, observation):
        """Return whether a request that a VM has read ended without its answer.

        The replica must not have broken off, nor the time limit been reached, nor may
        the replica have been at work for too long for a VM that stops.
        """
        runs = self.runs.get(observation.request_id, ())
        is_read = runs or observation.ended_at - observation.sent_at > CROSSING_S
        return bool(
            observation.ending in CUT_ENDINGS
            and is_read
            and not any(run.ending == "broke off" for run in runs)
            and self.used_share(observation) < 1
            and not any(self.is_excused_at_stop(observation, w) for w in self.works)
        )

    def used_share(self, observation):
        """Return the share of its time limit that a request has used."""
        used_s = observation.ended_at - observation.began_at
        return used_s / self.get_limit_s(observation)

    def find_often_cut(self, observations, cuts):
        """Return the VMs that cut over three times as often beside a plan.

        The share of cut requests is compared, so the length of either time is without
        effect.
        """
        ended, cut = collections.Counter(), collections.Counter()
        for counts, counted in ((ended, observations), (cut, cuts)):
            for observation in counted:
                counts[observation.vm, self.is_beside_plan(observation)] += 1
        return {
            vm
            for vm, _ in ended
            if cut[vm, True] * ended[vm, False]
            > CUT_RATE_FACTOR * cut[vm, False] * ended[vm, True]
            or (cut[vm, True] and not cut[vm, False])
        }

    def is_beside_plan(self, observation):
        """Return whether a request ended while a plan may have come into force."""
        return any(
            work.kind == "plan" and is_plan_current(work, observation.ended_at)
            for work in self.works
        )

    def counts(self, cut, work):
        """Return whether a cut counts beside one piece of planned work."""
        if work.kind == "plan":
            return (
                is_plan_current(work, cut.ended_at)
                and self.used_share(cut) < USED_SHARE
            )
        if work.vm != cut.vm or cut.ended_at < work.started_at:
            return False
        if work.kind == "reload":
            return cut.sent_at <= work.started_at + CONFIG_APPLY_S
        return cut.ended_at <= work.started_at + self.grace_s + STOP_MARGIN_S

    def is_excused_at_stop(self, cut, work):
        """Return whether a replica was at work for too long for a VM that stops."""
        last_part_at = work.started_at + (1 - LAST_SHARE) * self.grace_s
        stopped_at = work.started_at + self.grace_s + STOP_MARGIN_S
        return (
            (work.kind, work.vm) == ("stop", cut.vm)
            and last_part_at <= cut.ended_at <= stopped_at
            and cut.sent_at <= work.started_at + LATE_REQUEST_S
            and any(
                run.ended_at >= last_part_at
                for run in self.runs.get(cut.request_id, ())
            )
        )

    def describe(self, cut):
        """Return what is known of a cut request."""
        runs = self.runs.get(cut.request_id, ())
        ran = ", ".join(
            f"{run.replica_id} {run.ending} {run.ended_at - cut.ended_at:+.3f} s"
            for run in runs
        )
        return (
            f"{cut.request_id} ({cut.route}) at {cut.vm}: {cut.ending} "
            f"{cut.ended_at - cut.sent_at:.3f} s after it was sent, "
            f"status {cut.status}, {len(cut.body)} bytes; runs: {ran or 'none'}"
        )


def is_plan_current(work, now):
    """Return whether a plan may be coming into force at a time."""
    return work.started_at <= now <= work.ended_at + CONFIG_APPLY_S + CONFIG_MARGIN_S
