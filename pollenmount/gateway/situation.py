"""Gathers what a choice looks at from the tables of this VM."""

from pollenmount.fleet.messages import ENTRY
from pollenmount.gateway.choose import Options, TargetOption

__all__ = ["Situation"]

DEFAULT_SLOTS = 16
CONNECTIONS_SHARE = 0.85
# Well above the round trip within a region, and between regions.
SLOW_CONNECT_MS = 80
SLOW_HOP_CONNECT_MS = 300


class Situation:
    """Answers what targets and VMs a request may go to at this moment."""

    def __init__(self, settings, clock, fleet, store, **books):
        self.settings = settings
        self.clock = clock
        self.fleet = fleet
        self.store = store
        self.loads = books["loads"]
        self.cache = books["cache"]
        self.breakers = books["breakers"]
        self.cold = books["cold"]
        self.pool = books["pool"]
        self.lags = books["lags"]
        self.census = books["census"]

    def options(self, call, tried):
        """Return the `Options` of a call; `tried` names what it was sent to already."""
        own = self.settings.region
        entries = [member.name for member in self.entries_of(own)]
        local = [
            self.option(target, own, call)
            for target, region in self.usable(call, tried)
            if region == own and self.may_send(target, entries)
        ]
        return Options(tuple(local), lambda: self.remote_options(call, tried))

    def usable(self, call, tried):
        """Yield (target, region) of those that the plan lets the call go to."""
        evacuated = self.fleet.evacuations.failure_domains
        for target in self.fleet.targets.of_service(call.service):
            record = target.record
            region = self.region_of(record.failure_domain)
            if not (
                record.draining
                or record.failure_domain in evacuated
                or record.id in tried
                or not allows(call.route, region)
            ):
                yield target, region

    def remote_options(self, call, tried):
        """Return the options in other regions, as a tuple."""
        now = self.clock.now()
        remote = [
            self.option(target, region, call)
            for target, region in self.usable(call, tried)
            if region != self.settings.region and not target.is_cold(now)
        ]
        return self.reachable(remote, call.service, tried)

    def forget(self, id_):
        """Forget what was learned of a target that has left."""
        self.cache.forget(id_)
        self.cold.forget(id_)
        self.breakers.forget(id_)
        self.lags.forget(id_)

    def region_of(self, failure_domain):
        """Return the region of a failure domain."""
        return self.settings.failure_domains.get(failure_domain, failure_domain)

    def may_send(self, target, entries):
        """Return whether this VM may send a request to a target of its region now.

        `entries` are the names of the region's entry VMs.
        """
        record = target.record
        if self.breakers.is_open(record.id, record.born):
            return False
        if self.pool.is_slow((record.id, record.address), SLOW_CONNECT_MS):
            return False
        backend = self.store.plan.backends.get(record.service)
        if backend is None:
            return False
        is_cold = target.is_cold(self.clock.now()) and backend.cold_per_s > 0
        if is_cold and not self.cold.may_send(record.id, backend.cold_per_s, entries):
            return False
        return self.has_connection(record.id, backend, len(entries))

    def has_connection(self, id_, backend, sharers):
        """Return whether this VM's part of a target's connections leaves one."""
        if backend.max_connections <= 0:
            return True
        limit = max(1, CONNECTIONS_SHARE * backend.max_connections / max(1, sharers))
        own = self.loads.own.get(id_)
        return (own.requests if own else 0) < limit

    def option(self, target, region, call):
        """Return the `TargetOption` of a target."""
        record = target.record
        load = self.loads.at(record.id)
        prompt = call.info.prompt
        cached = self.cache.cached_tokens(record.id, prompt) if prompt else 0
        return TargetOption(
            record.id,
            region,
            record.slots or DEFAULT_SLOTS,
            load.requests,
            load.tokens,
            cached,
            self.lags.get(record.id),
            target.vouched,
            load.streams,
        )

    def reachable(self, remote, service, tried):
        """Return the far options in whose regions an entry VM can be asked.

        A region whose entry VM found no target lately is left out for a while.
        """
        usable = {
            region
            for region in {option.region for option in remote}
            if not self.breakers.is_open((region, service))
            and not self.breakers.is_open(region)
            and self.hop_members(region, tried)
        }
        return tuple(option for option in remote if option.region in usable)

    def entries_of(self, region):
        """Return the entry VMs of a region, as members."""
        return self.fleet.members.live_in(ENTRY, region)

    def hop_members(self, region, tried):
        """Return the entry VMs of a region that can take a hop."""
        return [
            member
            for member in self.fleet.members.known_in(ENTRY, region)
            if member.plan
            and not member.stopping
            and member.name not in tried
            and not self.breakers.is_open(member.name, member.incarnation)
            and not self.pool.is_slow((member.name, member.hops), SLOW_HOP_CONNECT_MS)
        ]


def allows(route, region):
    """Return whether a route may be served in a region."""
    return not route.homes or region in route.homes
