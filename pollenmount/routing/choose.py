"""Choice of candidates for a call, best first."""

from pollenmount.routing.request import (
    LocalTarget,
    RemoteEntry,
    offer_name,
    offers,
)
from pollenmount.routing.rules import allowed_regions

__all__ = ["candidates", "local_candidates"]


def candidates(call, view, in_flight):
    """Yield candidates: targets of this failure domain, then other failure domains.

    `in_flight` maps target names to this node's own requests at them.
    """
    yield from local_candidates(call, view, in_flight)
    yield from remote_candidates(call, view)


def local_candidates(call, view, in_flight):
    """Yield this failure domain's targets that can run the call, least loaded first."""
    if view.region not in allowed_regions(call):
        return
    able = [target for target in view.targets if offers(call.route, target.said)]

    def load(target):
        own = in_flight.get(target.said.name, 0)
        return (max(own, target.said.running) + target.said.waiting) / target.said.slots

    for target in sorted(able, key=load):
        yield LocalTarget(target)


def remote_candidates(call, view):
    """Yield an entry VM of each other failure domain that can run the call."""
    regions = allowed_regions(call)
    wanted = offer_name(call.route)
    reachable = {}
    for summary in view.summaries:
        if summary.offer == wanted and summary.region in regions:
            reachable[summary.failure_domain] = summary
    reachable.pop(view.failure_domain, None)

    def preference(summary):
        load = (summary.running + summary.waiting) / max(summary.slots, 1)
        return regions.index(summary.region), load

    for summary in sorted(reachable.values(), key=preference):
        entries = [
            m for m in view.members if m.failure_domain == summary.failure_domain
        ]
        for member in entries[:1]:
            yield RemoteEntry(member)
