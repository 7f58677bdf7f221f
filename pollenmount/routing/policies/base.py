"""Base class of the policies, and what several of them need."""

import random
from typing import Any, NamedTuple

from pollenmount.routing.request import LocalTarget, RemoteEntry

__all__ = ["FAMILY", "Destination", "Policy", "list_destinations"]

FAMILY = "pollenmount.routing.policies"


class Destination(NamedTuple):
    """A target or another failure domain, without regard to where it is.

    `load` is requests running and waiting by the last report, and slots.
    """

    candidate: Any
    load: int
    slots: int


class Policy:
    """Picks one of the options of a call.

    `tracker`
        This node's own measurements.
    `cache`
        What targets hold in their prefix caches.
    `seed`
        Seed of the random choices (default none).
    """

    def __init__(self, tracker, cache, seed=None):
        self.tracker = tracker
        self.cache = cache
        self.random = random.Random(seed)

    def choose(self, call, options):
        """Return a candidate, or None if there is none."""
        raise NotImplementedError

    def has_capacity(self, call, options):
        """Return whether a call need not wait; always, unless a policy says else."""
        return True

    def queue_wait_ms(self, options, ahead):
        """Return how many milliseconds a call waits behind `ahead` others."""
        slots = sum(target.announcement.slots for target in options.local)
        return ahead / max(slots, 1) * self.tracker.hold_ms()

    def own_load_per_slot(self, destination):
        """Return this node's share of requests in flight at a place, by slot."""
        return self.tracker.in_flight(destination.candidate.name) / max(
            destination.slots, 1
        )


def list_destinations(options, pick_member):
    """Return a `Destination` for each option.

    `pick_member` chooses among the entry VMs of a failure domain.
    """
    destinations = [
        Destination(
            LocalTarget(target),
            target.announcement.running + target.announcement.waiting,
            target.announcement.slots,
        )
        for target in options.local
    ]
    for domain in options.remote:
        summary = domain.summary
        entry = RemoteEntry(pick_member(domain.members))
        load = summary.running + summary.waiting
        destinations.append(Destination(entry, load, summary.slots))
    return destinations
