"""Sums up what the targets of a failure domain can take."""

from typing import NamedTuple

__all__ = ["Counts", "OfferSum", "sum_offers"]


class Counts(NamedTuple):
    """Slots and requests of all targets with one offer."""

    slots: int
    running: int
    waiting: int


class OfferSum(NamedTuple):
    """One model's version or service, its loaded adapters and its counts."""

    offer: str
    adapters: tuple[str, ...]
    counts: Counts


def sum_offers(targets):
    """Return an `OfferSum` for each offer of the targets, ordered by name."""
    sums = {}
    for target in targets:
        for offer, adapters in offers_of(target.announcement):
            empty = OfferSum(offer, (), Counts(0, 0, 0))
            sums[offer] = add(sums.get(offer, empty), target.announcement, adapters)
    return tuple(sums[offer] for offer in sorted(sums))


def offers_of(said):
    """Yield (offer, adapters) for each model and service of an announcement."""
    for model in said.models:
        yield f"{model['name']}@{model['version']}", model.get("adapters", ())
    for service in said.services:
        yield service, ()


def add(row, said, adapters):
    """Return the sum with one target more."""
    counts = Counts(
        row.counts.slots + said.slots,
        row.counts.running + said.running,
        row.counts.waiting + said.waiting,
    )
    return OfferSum(row.offer, tuple(sorted({*row.adapters, *adapters})), counts)
