"""Collects the options for a routing decision from the tables of this VM."""

import collections
import contextlib
import itertools
import random
from enum import StrEnum

from pollenmount.fleet.channel import LINK_TIMEOUT_MS
from pollenmount.fleet.targets import DEFAULT_SLOTS
from pollenmount.gateway.attempt import connection_key
from pollenmount.gateway.choose import (
    Options,
    TargetChoice,
    TargetOption,
    is_long_stream,
)
from pollenmount.gateway.choosers.expected_time import expected_ms, would_stall_streams
from pollenmount.gateway.lost_regions import LostRegions
from pollenmount.gateway.rate_limiter import RateLimit
from pollenmount.gateway.refusal_limits import TargetRoom, ignore_head
from pollenmount.gateway.region_choice import SPREADING_CHOOSER, typical_option
from pollenmount.gateway.stream_separation import StreamSeparation

__all__ = ["LEARNING_MS", "SILENT_RETRY_MS", "Obstacle", "RoutingContext"]

CONNECTIONS_SHARE = 0.85
# Targets drawn at random beside those with a prompt's shared parts.
DRAWN_TARGETS = 3
# Assumed cached share of a prompt's shared parts in another region.
REMOTE_CACHED_SHARE = 0.9
# Within this time after a start, targets and control VMs have reported.
LEARNING_MS = 2500
# A target that no control VM hears is gone, or cut off from them but not from here.
SILENT_RETRY_MS = 5000
# A control VM gives up a link without messages, and selects other senders, after 1.5 s.
SENDER_TTL_MS = LINK_TIMEOUT_MS
# Well above the round trip within a region and between regions.
SLOW_CONNECT_MS = 80
SLOW_HOP_CONNECT_MS = 300
# Round trip to another VM of the region plus the time in it.
NEAR_HOP_COST_MS = 15.0


class Obstacle(StrEnum):
    """Why a target that may run a call gets none now."""

    BREAKER = "breaker"
    PAUSE = "pause"
    PRESUMED_GONE = "presumed_gone"
    SLOW_CONNECT = "slow_connect"
    UNKNOWN_SERVICE = "unknown_service"
    RATE = "rate"
    CONNECTIONS = "connections"
    REFUSALS = "refusals"
    FULL = "full"


class RoutingContext:
    """Tables of this VM, and the targets and VMs that a request may now be sent to.

    `random` draws among the targets of a large region.
    """

    def __init__(self, settings, clock, fleet, store, **trackers):
        self.random = random.Random()
        self.started_at = clock.now()
        self.settings = settings
        self.is_spread = settings.chooser == SPREADING_CHOOSER
        self.clock = clock
        self.fleet = fleet
        self.store = store
        self.loads = trackers["loads"]
        self.lost_regions = LostRegions(fleet, clock)
        self.separation = StreamSeparation(clock, self.loads.total_at)
        self.cache = trackers["cache"]
        self.breakers = trackers["breakers"]
        self.rates = trackers["rates"]
        self.pool = trackers["pool"]
        self.lags = trackers["lags"]
        self.pauses = trackers["pauses"]
        self.refusals = trackers["refusals"]
        self.notices = trackers["notices"]
        self.paths = trackers["paths"]
        self.guard = trackers["guard"]
        self.resumption = trackers["resumption"]

    def is_learning(self):
        """Return whether this VM may not know yet what can be served."""
        return self.clock.now() - self.started_at < LEARNING_MS

    def options(self, call, tried, version=None):
        """Return the `Options` of a call; `tried` has the names tried before.

        `version` is the only one that may run the call, None if all may.
        """
        entries = self.fleet.entry_counter.entries(self.settings.region)
        targets = {t.id: t for t in self.reached_targets(call, tried, version)}
        selected = self.select_targets(call, targets)
        prompt = call.info.prompt
        local = self.local_options(selected, prompt, entries)
        if not local and len(selected) < len(targets):
            selected = targets
            local = self.local_options(targets, prompt, entries)
        return Options(
            local,
            lambda: self.find_remote_options(call, tried, version, bool(local)),
            lambda: self.home_option(selected, entries),
            self.is_spread,
        )

    def select_targets(self, call, targets):
        """Return those of the eligible targets, by id, that may get a call now."""
        prompt = call.info.prompt
        if prompt is None or not self.may_separate():
            return targets
        max_gap_ms = self.store.max_gap_ms(call.service)
        self.separation.expect_stalls(call.service, max_gap_ms, targets)
        is_stream = is_long_stream(prompt)
        return self.separation.select(call.service, is_stream, targets)

    def may_separate(self):
        """Return whether streams and long prompts may be separated.

        Plans with accounts call for it, and so does the chooser that spreads requests.
        """
        return self.store.has_accounts or self.is_spread

    def all_options(self, call, tried, version=None):
        """Return an option for each target of this region that may get a call now.

        What they have cached is left out.
        """
        entries = self.fleet.entry_counter.entries(self.settings.region)
        targets = {t.id: t for t in self.eligible_targets(call, tried, version)}
        return tuple(
            self.make_option(target, None, None)
            for target in self.select_targets(call, targets).values()
            if self.may_send(target, entries)
        )

    def choice_of(self, call, id_):
        """Return the `TargetChoice` of a target for a call with a prompt."""
        prompt = call.info.prompt
        entries = self.fleet.entry_counter.entries(self.settings.region)
        targets = {id_: self.fleet.targets.by_id[id_]}
        spread = self.cache.spread(prompt, targets, entries)
        option = self.make_option(targets[id_], prompt, spread)
        is_stream = is_long_stream(prompt)
        should_defer = not is_stream and would_stall_streams(option, prompt)
        return TargetChoice(id_, expected_ms(option, prompt), should_defer)

    def local_options(self, targets, prompt, entries):
        """Return an option for each target to choose from, of eligible ones by id."""
        spread = self.cache.spread(prompt, targets, entries) if prompt else None
        return tuple(
            self.make_option(target, prompt, spread)
            for target in self.shortlist(targets, spread, entries)
        )

    def home_option(self, targets, entries):
        """Return the option that stands for targets of this region, None for none.

        `targets` are eligible ones by id.
        """
        usable = (t for t in targets.values() if self.may_send(t, entries))
        options = [self.make_option(target, None, None) for target in usable]
        return typical_option(options) if options else None

    def shortlist(self, targets, spread, entries):
        """Yield the targets to choose from, of eligible ones by id."""
        preferred = spread.preferred if spread else []
        others = [id_ for id_ in targets if id_ not in preferred]
        self.random.shuffle(others)
        usable = (id_ for id_ in others if self.may_send(targets[id_], entries))
        for id_ in itertools.chain(preferred, itertools.islice(usable, DRAWN_TARGETS)):
            if id_ not in preferred or self.may_send(targets[id_], entries):
                yield targets[id_]

    def reached_targets(self, call, tried, version):
        """Yield the eligible targets that this VM can reach.

        After the paths to targets are lost, connections that were open before may live
        on.
        """
        for target in self.eligible_targets(call, tried, version):
            if not self.paths.is_lost or self.has_live_connection(target):
                yield target

    def has_live_connection(self, target):
        """Return whether an idle connection to a target is open."""
        record = target.record
        key = connection_key(record.id, record.address, record.born)
        return self.pool.has_live_idle(key)

    def eligible_targets(self, call, tried, version=None):
        """Yield the targets of this region that the call may be sent to.

        Excludes draining, evacuated and tried targets, and those of other versions if
        one is given. There are none if the region is no home of the route.
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
                or not (version is None or self.runs_version(target, version))
                or self.fleet.region_of(record.failure_domain) != self.settings.region
            ):
                yield target

    def runs_version(self, target, version):
        """Return whether it is certain that a target runs a version."""
        return target.record.version == version and self.is_version_known(target)

    def is_version_known(self, target):
        """Return whether a target's newest record tells what answers at its address.

        It may have restarted as another version if its heartbeat is overdue, or if no
        control VM hears it; a VM without links can't know the latter.
        """
        is_heard = target.is_heard or not self.fleet.quorums
        return is_heard and not target.is_doubted(self.clock.now())

    def find_remote_options(self, call, tried, version, has_local):
        """Return the options at VMs of other regions, and of this one if need be.

        Regions that control VMs do not hear any more are a last resort.
        """
        rows = self.remote_capacities(call, version)
        options = self.near_options(call, tried, version)
        options += self.remote_options(call, tried, rows)
        if options or has_local:
            return options
        kept = self.allowed_capacities(call, self.lost_regions.rows(), version)
        return self.remote_options(call, tried, kept)

    def near_options(self, call, tried, version):
        """Return an option for the other VMs of this region, if this one has no paths.

        It stands for a typical target, of which this VM knows that it is up.
        """
        region = self.settings.region
        if not self.paths.is_lost or not self.takes_hops(region, call.service, tried):
            return ()
        targets = self.eligible_targets(call, (), version)
        options = [self.make_option(target, None, None) for target in targets]
        if not options:
            return ()
        return (typical_option(options)._replace(hop_ms=NEAR_HOP_COST_MS),)

    def remote_options(self, call, tried, rows):
        """Return an option for each of the regions in `rows` that takes hops.

        It stands for a typical target there; the entry VM that receives the hop picks
        one. A region whose entry VM recently found no target is excluded for a while.
        """
        return tuple(
            make_region_option(row, call.info.prompt, self.is_spread)
            for row in rows
            if self.takes_hops(row.region, row.service, tried)
        )

    def takes_hops(self, region, service, tried):
        """Return whether a call for a service may be sent to VMs of a region."""
        return bool(
            region not in tried
            and not self.pauses.left_ms((region, service))
            and not self.breakers.is_open((region, service))
            and not self.breakers.is_open(region)
            and self.hop_candidates(region, tried)
        )

    def remote_capacities(self, call, version=None):
        """Return the `ServiceCapacity` of each other region that may run the call.

        `version` is as in `options`.
        """
        rows = (self.fleet.capacities or {}).values()
        return self.allowed_capacities(call, rows, version)

    def allowed_capacities(self, call, rows, version=None):
        """Yield those `ServiceCapacity` rows that may run the call."""
        for row in rows:
            if (
                row.service == call.service
                and row.targets
                and (version is None or version in row.versions)
                and is_allowed_in(call.route, row.region)
            ):
                yield row

    def soonest_pause_ms(self, call, may_hop, version=None):
        """Return when the first pause ends if all that may run the call ask for one.

        It is 0 if any does not, or if there is none. `version` is as in `options`.
        """
        left = [
            self.pauses.left_ms(target.id, target.record.born)
            for target in self.eligible_targets(call, (), version)
        ]
        if may_hop:
            left += (
                self.pauses.left_ms((row.region, row.service))
                for row in self.remote_capacities(call, version)
            )
        return min(left, default=0)

    def forget(self, id_):
        """Drop all state of a target that has left."""
        self.cache.forget(id_)
        self.rates.forget(id_)
        self.breakers.forget(id_)
        self.lags.forget(id_)
        self.pauses.forget(id_)
        self.refusals.forget(id_)

    def may_send(self, target, sharers):
        """Return whether this VM may send a request to a target of its region now.

        `sharers` is the number of entry VMs that share the target's connections.
        """
        return self.find_obstacle(target, sharers) is None

    def find_obstacle(self, target, sharers):
        """Return the first `Obstacle` to a request to a target now, or None."""
        return next(self.obstacles(target, sharers), None)

    def obstacles(self, target, sharers):
        """Yield each `Obstacle` to a request to a target of this region now.

        `sharers` is as in `may_send`.
        """
        record = target.record
        if self.breakers.is_open(record.id, record.born):
            yield Obstacle.BREAKER
        if self.pauses.left_ms(record.id, record.born):
            yield Obstacle.PAUSE
        if self.is_presumed_gone(target):
            yield Obstacle.PRESUMED_GONE
        key = connection_key(record.id, record.address, record.born)
        if self.pool.is_connect_slow(key, SLOW_CONNECT_MS):
            yield Obstacle.SLOW_CONNECT
        service_limits = self.store.plan.services.get(record.service)
        if service_limits is None:
            yield Obstacle.UNKNOWN_SERVICE
            return
        yield from self.limit_obstacles(target, service_limits, sharers)

    def limit_obstacles(self, target, service_limits, sharers):
        """Yield each `Obstacle` that is a limit of a target or of its service."""
        id_ = target.id
        if not self.rates.may_send(id_, self.rate_limits(target)):
            yield Obstacle.RATE
        if not self.has_free_connection(id_, service_limits, sharers):
            yield Obstacle.CONNECTIONS
        if not self.bears_refusal(target, sharers):
            yield Obstacle.REFUSALS

    def bears_refusal(self, target, sharers):
        """Return whether a target bears it if it has no room for a request now."""
        service = target.record.service
        if self.refusals.limit_of(service, target.id) is None:
            return True
        room = self.room_of(target, sharers)
        return self.refusals.may_send(service, target.id, room)

    def room_of(self, target, sharers):
        """Return the `TargetRoom` of a target that so many entry VMs share."""
        record = target.record
        requests = self.loads.total_at(record.id).requests
        return TargetRoom(record.slots or DEFAULT_SLOTS, requests, max(1, sharers))

    def track_refusal(self, call, destination):
        """Return the context manager that counts an attempt before its response.

        It gives a function to call with whether the target refuses for want of room.
        """
        target = self.fleet.targets.by_id.get(destination.target_id)
        if target is None:
            return contextlib.nullcontext(ignore_head)
        entries = self.fleet.entry_counter.entries(self.settings.region)
        room = self.room_of(target, entries)
        return self.refusals.track(call.service, target.id, room)

    def count_obstacles(self, call, tried, version=None):
        """Return how many targets of the region each `Obstacle` keeps from a call.

        Targets without an obstacle are counted as full. `version` is as in `options`.
        """
        entries = self.fleet.entry_counter.entries(self.settings.region)
        return collections.Counter(
            self.find_obstacle(target, entries) or Obstacle.FULL
            for target in self.eligible_targets(call, tried, version)
        )

    def rate_limits(self, target):
        """Yield the `RateLimit`s of a target: of its warm-up, and what it names."""
        service_limits = self.store.plan.services.get(target.record.service)
        is_cold = target.may_be_cold(self.clock.now())
        if is_cold and service_limits and service_limits.cold_per_s > 0:
            yield self.shared_limit(service_limits.cold_per_s, target.cold_senders)
        limit = self.fleet.targets.limit_of(target)
        if limit is not None:
            yield self.shared_limit(limit.per_s, limit.senders)

    def shared_limit(self, per_s, senders):
        """Return the `RateLimit` of a rate that the VMs in `senders` share.

        If no control VM is linked that could select them, all VMs of the region do. A
        VM that has heard nothing over its links for a while may have been replaced.
        """
        if self.fleet.quorums and self.is_view_old():
            return RateLimit(per_s, ())
        if self.fleet.quorums or senders and not self.is_view_old():
            return RateLimit(per_s, senders)
        entries = self.fleet.entry_counter.entries(self.settings.region)
        return RateLimit(per_s / entries, (self.settings.name,))

    def is_view_fresh(self):
        """Return whether this VM has heard a control VM lately."""
        return self.fleet.freshness.age_ms() is not None and not self.is_view_old()

    def is_view_old(self):
        """Return whether control VMs may have given up this VM since it heard them."""
        age_ms = self.fleet.freshness.age_ms()
        return age_ms is not None and age_ms >= SENDER_TTL_MS

    def is_presumed_gone(self, target):
        """Return whether a target failed here lately, and no control VM hears it.

        A VM without links can't know the latter.
        """
        if target.is_heard or not self.fleet.quorums:
            return False
        failed_at = self.breakers.last_failure_at(target.id, target.record.born)
        now = self.clock.now()
        return failed_at is not None and now - failed_at < SILENT_RETRY_MS

    def has_free_connection(self, id_, service_limits, sharers):
        """Return whether this VM's share of a target's connections is not used up."""
        if service_limits.max_connections <= 0:
            return True
        limit = max(
            1, CONNECTIONS_SHARE * service_limits.max_connections / max(1, sharers)
        )
        local = self.loads.local.get(id_)
        return (local.requests if local else 0) < limit

    def make_option(self, target, prompt, spread):
        """Return the `TargetOption` of a target of this region."""
        record = target.record
        load = self.loads.total_at(record.id)
        cached = 0.0
        if prompt:
            own = self.cache.cached_tokens(record.id, prompt)
            cached = max(own, spread.expected_tokens(record.id))
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
        """Return the entry VMs of a region that can receive a hop.

        Those that control VMs do not name any more are a last resort.
        """
        members = self.fleet.members
        candidates = self.find_hop_candidates(region, tried)
        named = [member for member in candidates if members.is_listed(member.name)]
        return named or candidates

    def find_hop_candidates(self, region, tried):
        """Return the entry VMs of a region that this VM may send a hop to."""
        return [
            member
            for member in self.lost_regions.members_in(region)
            if member.plan
            and not member.stopping
            and member.name not in tried
            and not self.breakers.is_open(member.name, member.incarnation)
            and not self.pool.is_connect_slow(
                connection_key(member.name, member.hop_address, member.incarnation),
                SLOW_HOP_CONNECT_MS,
            )
        ]


def make_region_option(row, prompt, is_spread=False):
    """Return the `TargetOption` that stands for the targets of another region.

    With `is_spread`, those are the ones with few streams for long prompts.
    """
    if is_spread and prompt and not is_long_stream(prompt) and row.prompt_targets:
        row = row._replace(
            targets=row.prompt_targets,
            tokens=row.prompt_tokens,
            requests=row.prompt_requests,
            streams=0,
        )
    shared = sum(part.tokens for part in prompt.parts[:-1]) if prompt else 0
    return TargetOption(
        row.region,
        row.region,
        row.slots,
        row.requests,
        row.tokens,
        REMOTE_CACHED_SHARE * shared,
        0.0,
        True,
        row.streams,
        row.targets,
    )


def is_allowed_in(route, region):
    """Return whether the home regions of a route allow a region."""
    return not route.homes or region in route.homes
