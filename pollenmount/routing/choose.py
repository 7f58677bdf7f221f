"""Candidates for the attempts of a call.

This module applies the rules about where a call may run. A policy only picks one of the
options that are left.
"""

from pollenmount.routing.request import (
    Options,
    RemoteDomain,
    offer_name,
    offered_adapters,
    offers,
)
from pollenmount.routing.rules import allowed_regions

__all__ = ["Candidates", "find_options"]


class Candidates:
    """Chooses a candidate for each attempt of one call.

    `take_view` returns a new view; `is_usable` tells whether a target or an entry VM
    may get requests, by its name. A call that was forwarded here has `may_forward`
    false: its only candidates are the targets of this failure domain.
    """

    def __init__(
        self, take_view, policy, is_usable=lambda name: True, may_forward=True
    ):
        self.take_view = take_view
        self.policy = policy
        self.is_usable = is_usable
        self.may_forward = may_forward
        self.tried = set()

    def next(self, call):
        """Return a candidate that was not tried yet, or None."""
        candidate = self.policy.choose(call, self.get_options(call))
        if candidate is not None:
            self.tried.add(candidate.name)
        return candidate

    def has_capacity(self, call):
        """Return whether the call can start without waiting in the queue."""
        return self.policy.has_capacity(call, self.get_options(call))

    def wait_ms(self, call, ahead):
        """Return how long the call is expected to wait behind `ahead` others."""
        return self.policy.queue_wait_ms(self.get_options(call), ahead)

    def get_options(self, call):
        """Return the current `Options` of the call."""
        return find_options(call, self.take_view(), self.may_try, self.may_forward)

    def may_try(self, name):
        """Return whether a target or entry VM is usable and not tried yet."""
        return name not in self.tried and self.is_usable(name)


def find_options(call, view, may_try, may_forward):
    """Return the `Options` of a call: where the rules allow it to run."""
    regions = allowed_regions(call)
    own_targets = find_targets(call, view) if view.region in regions else ()
    local = tuple(target for target in own_targets if may_try(target.announcement.name))
    domains = (
        find_domains(call, view, regions, may_try, own_targets) if may_forward else ()
    )
    return Options(local, domains, view.region)


def find_targets(call, view):
    """Return the targets of this failure domain that can serve the call."""
    return tuple(
        target
        for target in view.targets
        if offers(call.route, target.announcement)
        and (target.announcement.resume or not call.resume_from)
    )


def find_domains(call, view, regions, may_try, own_targets):
    """Return a `RemoteDomain` for each failure domain that can run the call.

    This node's own domain is included only while `own_targets` is empty: a node that
    has just started may receive their announcements later than its neighbours.
    """
    domains = {}
    for summary in view.summaries:
        is_own_domain = summary.failure_domain == view.failure_domain
        if not can_run(call, summary, regions) or (is_own_domain and own_targets):
            continue
        members = usable_members(view, summary.failure_domain, may_try)
        if members:
            domains[summary.failure_domain] = RemoteDomain(summary, members)
    return tuple(domains.values())


def can_run(call, summary, regions):
    """Return whether a failure domain can serve the call and the rules allow it."""
    return (
        summary.offer == offer_name(call.route)
        and summary.region in regions
        and set(offered_adapters(call.route)).issubset(summary.adapters)
    )


def usable_members(view, failure_domain, may_try):
    """Return the entry VMs of a failure domain that may get the call."""
    return tuple(
        member
        for member in view.members
        if member.failure_domain == failure_domain
        and member.name != view.name
        and not member.stopping
        and may_try(member.name)
    )
