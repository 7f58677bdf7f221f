"""Collects the options for a routing decision from the tables of this VM."""

from pollenmount.fleet.messages import ENTRY
from pollenmount.fleet.targets import DEFAULT_SLOTS
from pollenmount.gateway.choose import Options, TargetOption

__all__ = ["RoutingContext"]

CONNECTIONS_SHARE = 0.85
# Well above the round trip within a region and between regions.
SLOW_CONNECT_MS = 80
SLOW_HOP_CONNECT_MS = 300


class RoutingContext:
    """Tables of this VM, and the targets and VMs that a request may now be sent to."""

    def __init__(self, settings, clock, fleet, store, **trackers):
        self.settings = settings
        self.clock = clock
        self.fleet = fleet
        self.store = store
        self.loads = trackers["loads"]
        self.cache = trackers["cache"]
        self.breakers = trackers["breakers"]
        self.warmup = trackers["warmup"]
        self.pool = trackers["pool"]
        self.lags = trackers["lags"]

    def options(self, call, tried):
        """Return the `Options` of a call; `tried` has the names tried before."""
        sharers = self.fleet.entry_counter.entries(self.settings.region)
        local = tuple(
            self.make_option(target, call)
            for target in self.eligible_targets(call, tried)
            if self.may_send(target, sharers)
        )
        return Options(local, lambda: self.remote_options(call, tried))

    def eligible_targets(self, call, tried):
        """Yield the targets of this region that the call may be sent to.

        Excludes draining, evacuated and tried targets. There are none if the region is
        no home of the route.
        """
        if not is_allowed_in(call.route, self.settings.region):
            return
        evacuated = self.fleet.evacuations.failure_domains
        for target in self.fleet.targets.of_service(call.service):
            record = target.record
            if not (
                record.draining
                or record.failure_domain in evacuated
                or record.id in tried
                or self.fleet.region_of(record.failure_domain) != self.settings.region
            ):
                yield target

    def remote_options(self, call, tried):
        """Return an option for each other region that may run the call.

        It stands for an average target there; the entry VM that receives the hop picks
        one. A region whose entry VM recently found no target is excluded for a while.
        """
        return tuple(
            make_region_option(row)
            for row in self.fleet.capacities.values()
            if row.service == call.service
            and row.targets
            and is_allowed_in(call.route, row.region)
            and not self.breakers.is_open((row.region, row.service))
            and not self.breakers.is_open(row.region)
            and self.hop_candidates(row.region, tried)
        )

    def forget(self, id_):
        """Drop all state of a target that has left."""
        self.cache.forget(id_)
        self.warmup.forget(id_)
        self.breakers.forget(id_)
        self.lags.forget(id_)

    def may_send(self, target, sharers):
        """Return whether this VM may send a request to a target of its region now.

        `sharers` is the number of entry VMs that share the target's connections.
        """
        record = target.record
        if self.breakers.is_open(record.id, record.born):
            return False
        if self.pool.is_connect_slow((record.id, record.address), SLOW_CONNECT_MS):
            return False
        service_limits = self.store.plan.services.get(record.service)
        if service_limits is None:
            return False
        is_cold = target.is_cold(self.clock.now()) and service_limits.cold_per_s > 0
        if is_cold and not self.warmup.may_send(
            record.id, service_limits.cold_per_s, target.cold_senders
        ):
            return False
        return self.has_free_connection(record.id, service_limits, sharers)

    def has_free_connection(self, id_, service_limits, sharers):
        """Return whether this VM's share of a target's connections is not used up."""
        if service_limits.max_connections <= 0:
            return True
        limit = max(
            1, CONNECTIONS_SHARE * service_limits.max_connections / max(1, sharers)
        )
        local = self.loads.local.get(id_)
        return (local.requests if local else 0) < limit

    def make_option(self, target, call):
        """Return the `TargetOption` of a target of this region."""
        record = target.record
        load = self.loads.total_at(record.id)
        prompt = call.info.prompt
        cached = self.cache.cached_tokens(record.id, prompt) if prompt else 0
        return TargetOption(
            record.id,
            self.settings.region,
            record.slots or DEFAULT_SLOTS,
            load.requests,
            load.tokens,
            cached,
            self.lags.current(record.id),
            target.is_heard,
            load.streams,
        )

    def hop_candidates(self, region, tried):
        """Return the entry VMs of a region that can receive a hop."""
        return [
            member
            for member in self.fleet.members.known_in(ENTRY, region)
            if member.plan
            and not member.stopping
            and member.name not in tried
            and not self.breakers.is_open(member.name, member.incarnation)
            and not self.pool.is_connect_slow(
                (member.name, member.hop_address), SLOW_HOP_CONNECT_MS
            )
        ]


def make_region_option(row):
    """Return the `TargetOption` that stands for the targets of another region."""
    return TargetOption(
        row.region,
        row.region,
        row.slots // row.targets,
        row.requests // row.targets,
        row.tokens // row.targets,
        0,
        0.0,
        True,
        row.streams // row.targets,
    )


def is_allowed_in(route, region):
    """Return whether the home regions of a route allow a region."""
    return not route.homes or region in route.homes
