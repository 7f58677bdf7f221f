"""Base class of the policies, and helpers that several of them use."""

import random
from typing import Any, NamedTuple

from pollenmount.routing.request import LocalTarget, RemoteEntry

__all__ = ["FAMILY", "Destination", "Policy", "list_destinations"]

FAMILY = "pollenmount.routing.policies"


class Destination(NamedTuple):
    """A local target or another failure domain, for policies that treat both alike.

    `load` is the number of requests running and waiting in the last report.
    """

    candidate: Any
    load: int
    slots: int


class Policy:
    """Picks one of the options for a call.

    `tracker`
        The measurements of this node (`Tracker`).
    `cache`
        Index of the prefix caches of the targets (`CacheIndex`).
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
        """Return whether a call can start without waiting; true by default."""
        return True

    def queue_wait_ms(self, options, ahead):
        """Return the expected wait in ms of a call with `ahead` others before it."""
        slots = sum(target.announcement.slots for target in options.local)
        return ahead / max(slots, 1) * self.tracker.hold_ms()

    def own_load_per_slot(self, destination):
        """Return this node's requests in flight at a destination, per slot."""
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
