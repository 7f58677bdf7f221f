"""Sums up what the targets of a failure domain can take."""

from pollenmount.members.table import DomainSummary

__all__ = ["summarize"]


def summarize(targets, failure_domain, region):
    """Return a tuple with one `DomainSummary` for each offer of the targets."""
    rows = {}
    for target in targets:
        for offer, adapters in offers_of(target.said):
            empty = DomainSummary(failure_domain, region, offer, (), 0, 0, 0)
            rows[offer] = add(rows.get(offer, empty), target.said, adapters)
    return tuple(rows.values())


def offers_of(said):
    """Yield (offer, adapters) for each model and service of an announcement."""
    for model in said.models:
        yield f"{model['name']}@{model['version']}", model.get("adapters", ())
    for service in said.services:
        yield service, ()


def add(row, said, adapters):
    """Return the summary with one target more."""
    return row._replace(
        adapters=tuple(sorted({*row.adapters, *adapters})),
        slots=row.slots + said.slots,
        running=row.running + said.running,
        waiting=row.waiting + said.waiting,
    )
