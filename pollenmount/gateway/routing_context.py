"""Collects the options for a routing decision from the tables of this VM."""

from pollenmount.fleet.messages import ENTRY
from pollenmount.gateway.choose import Options, TargetOption

__all__ = ["RoutingContext"]

DEFAULT_SLOTS = 16
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
        self.entry_counter = trackers["entry_counter"]

    def options(self, call, tried):
        """Return the `Options` of a call; `tried` has the names tried before."""
        own_region = self.settings.region
        entry_names = [member.name for member in self.entry_vms(own_region)]
        local = [
            self.make_option(target, own_region, call)
            for target, region in self.eligible_targets(call, tried)
            if region == own_region and self.may_send(target, entry_names)
        ]
        return Options(tuple(local), lambda: self.remote_options(call, tried))

    def eligible_targets(self, call, tried):
        """Yield (target, region) for the targets that the call may be sent to.

        Excludes draining, evacuated and tried targets, and regions that are no home of
        the route.
        """
        evacuated = self.fleet.evacuations.failure_domains
        for target in self.fleet.targets.of_service(call.service):
            record = target.record
            region = self.region_of(record.failure_domain)
            if not (
                record.draining
                or record.failure_domain in evacuated
                or record.id in tried
                or not is_allowed_in(call.route, region)
            ):
                yield target, region

    def remote_options(self, call, tried):
        """Return the options in other regions, without cold targets."""
        now = self.clock.now()
        remote = [
            self.make_option(target, region, call)
            for target, region in self.eligible_targets(call, tried)
            if region != self.settings.region and not target.is_cold(now)
        ]
        return self.reachable_options(remote, call.service, tried)

    def forget(self, id_):
        """Drop all state of a target that has left."""
        self.cache.forget(id_)
        self.warmup.forget(id_)
        self.breakers.forget(id_)
        self.lags.forget(id_)

    def region_of(self, failure_domain):
        """Return the region of a failure domain."""
        return self.settings.failure_domains.get(failure_domain, failure_domain)

    def may_send(self, target, entry_names):
        """Return whether this VM may send a request to a target of its region now.

        `entry_names` are the names of the region's entry VMs.
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
            record.id, service_limits.cold_per_s, entry_names
        ):
            return False
        return self.has_free_connection(record.id, service_limits, len(entry_names))

    def has_free_connection(self, id_, service_limits, sharers):
        """Return whether this VM's share of a target's connections is not used up."""
        if service_limits.max_connections <= 0:
            return True
        limit = max(
            1, CONNECTIONS_SHARE * service_limits.max_connections / max(1, sharers)
        )
        local = self.loads.local.get(id_)
        return (local.requests if local else 0) < limit

    def make_option(self, target, region, call):
        """Return the `TargetOption` of a target."""
        record = target.record
        load = self.loads.total_at(record.id)
        prompt = call.info.prompt
        cached = self.cache.cached_tokens(record.id, prompt) if prompt else 0
        return TargetOption(
            record.id,
            region,
            record.slots or DEFAULT_SLOTS,
            load.requests,
            load.tokens,
            cached,
            self.lags.current(record.id),
            target.is_heard,
            load.streams,
        )

    def reachable_options(self, remote, service, tried):
        """Return the remote options in regions with an available entry VM.

        A region whose entry VM recently found no target is excluded for a while.
        """
        reachable_regions = {
            region
            for region in {option.region for option in remote}
            if not self.breakers.is_open((region, service))
            and not self.breakers.is_open(region)
            and self.hop_candidates(region, tried)
        }
        return tuple(option for option in remote if option.region in reachable_regions)

    def entry_vms(self, region):
        """Return the live entry VMs of a region, as members."""
        return self.fleet.members.live_in(ENTRY, region)

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


def is_allowed_in(route, region):
    """Return whether the home regions of a route allow a region."""
    return not route.homes or region in route.homes
