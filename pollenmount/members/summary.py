"""Sums the capacity and load of the targets of a failure domain, by offer."""

from typing import NamedTuple

__all__ = ["Counts", "OfferTotals", "sum_offers"]


class Counts(NamedTuple):
    """Slots and requests of all targets with one offer, in total."""

    slots: int
    running: int
    waiting: int


class OfferTotals(NamedTuple):
    """A model version or service, its loaded adapters and its total counts."""

    offer: str
    adapters: tuple[str, ...]
    counts: Counts


def sum_offers(targets):
    """Return an `OfferTotals` for each offer of the targets, ordered by name."""
    totals_by_offer = {}
    for target in targets:
        for offer, adapters in offers_of(target.announcement):
            empty = OfferTotals(offer, (), Counts(0, 0, 0))
            totals_by_offer[offer] = add_target(
                totals_by_offer.get(offer, empty), target.announcement, adapters
            )
    return tuple(totals_by_offer[offer] for offer in sorted(totals_by_offer))


def offers_of(announcement):
    """Yield (offer, adapters) for each model and service of an announcement."""
    for model in announcement.models:
        yield f"{model['name']}@{model['version']}", model.get("adapters", ())
    for service in announcement.services:
        yield service, ()


def add_target(totals, announcement, adapters):
    """Return the totals with one target added."""
    counts = Counts(
        totals.counts.slots + announcement.slots,
        totals.counts.running + announcement.running,
        totals.counts.waiting + announcement.waiting,
    )
    return OfferTotals(
        totals.offer, tuple(sorted({*totals.adapters, *adapters})), counts
    )
