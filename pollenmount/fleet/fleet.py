"""A VM's view of the fleet, updated by messages from links and the log."""

from functools import singledispatchmethod
from typing import NamedTuple

from pollenmount import task
from pollenmount.crashes.quarantine import Crash, PartQuarantine, RequestQuarantine
from pollenmount.crashes.recent_keys import RecentKeys
from pollenmount.crashes.repeated_lines import RepeatedLines
from pollenmount.documents import UnreadableDocumentError, decompress
from pollenmount.fleet.channel import ChannelError
from pollenmount.fleet.entry_counter import EntryCounter
from pollenmount.fleet.freshness import LinkFreshness
from pollenmount.fleet.members import MemberTable
from pollenmount.fleet.messages import (
    Capacities,
    EntryCounts,
    EvacuationsChanged,
    Loads,
    MemberDown,
    MemberUp,
    PartsServed,
    PromptBroke,
    QuotaLevels,
    RequestAsked,
    RequestBegan,
    RequestsAnswered,
    RequestsCrashed,
    RoutesChanged,
    StreamAsked,
    StreamsBegan,
    TargetDoubted,
    TargetGone,
    TargetLeaving,
    TargetLimited,
    TargetRefused,
    TargetSeen,
    TargetSilent,
    TrialBegan,
)
from pollenmount.fleet.stream_origins import RequestOrigins, StreamOrigin, StreamOrigins
from pollenmount.fleet.targets import TargetTable
from pollenmount.log import get_logger

__all__ = ["MAX_REPORTED_KEYS", "Belief", "Fleet"]

CAPACITY_RETENTION_MS = 5000
MAX_TRIALS = 2048
TRIAL_TTL_MS = 60_000
# Keys of a kind, of which a VM without evidence is told. Each has up to eight crashes,
# and a new link takes some 4,000 messages in one turn.
MAX_REPORTED_KEYS = 200

logger = get_logger("fleet")


class Belief(NamedTuple):
    """How much an entry VM's choice of a target rests on.

    `evacuations` is the revision of the evacuations that it knows, `heard_ms` the age
    of its newest message from a control VM, None before one, and `in_touch` the number
    of linked control VMs that are in touch with the leader of the log.
    """

    evacuations: int
    heard_ms: int | None
    in_touch: int


class Fleet:
    """Members, targets, routes and evacuations known to this VM.

    `store` receives new plans of routes. `listeners` are called with (message, source)
    for each message that changed the state. An entry VM also has the load of its
    region's targets by source, the `capacities` of other regions by (region, service),
    None before the first report, and `quorums`, whether each linked control VM is in
    touch with the log's leader. `capacity_rows` are the rows by source, which a control
    VM has from others. `regions` maps failure domains to regions. `quotas` receives the
    levels of accounts on an entry VM, and is None elsewhere. `trials` has the calls
    that tried what was in quarantine lately, and `crash_lines` bounds the lines on
    evidence of crashes.
    """

    def __init__(self, clock, store, regions, is_control=False):
        self.clock = clock
        self.store = store
        self.regions = regions
        self.listeners = []
        self.targets = TargetTable(clock, self.notify, is_control)
        self.members = MemberTable(clock, self.notify)
        self.part_quarantine = PartQuarantine(clock)
        self.request_quarantine = RequestQuarantine(clock)
        self.trials = RecentKeys(clock, MAX_TRIALS, TRIAL_TTL_MS)
        self.origins = StreamOrigins(clock)
        self.request_origins = RequestOrigins(clock)
        self.freshness = LinkFreshness(clock)
        self.evacuations = EvacuationsChanged(0, ())
        self.ignored_evacuations = {}
        self.routes = RoutesChanged(0, 0, b"")
        self.loads = {}
        self.capacities = None
        self.capacities_seen_at = {}
        self.capacity_rows = {}
        self.quorums = {}
        self.entry_counter = EntryCounter(clock)
        self.quotas = None
        self.crash_lines = RepeatedLines(clock, log_change)

    def notify(self, message, source):
        """Log a change and call the listeners, whatever one of them does."""
        change = type(message).__name__
        fields = {"source": source, "change": change, **log_fields(message)}
        if isinstance(message, RequestsCrashed):
            self.log_crash(message, fields, self.request_quarantine, message.digests)
        elif isinstance(message, PromptBroke):
            self.log_crash(message, fields, self.part_quarantine, message.parts)
        else:
            log_change(fields)
        for listener in self.listeners:
            task.run_logged(listener, message, source)

    def log_crash(self, message, fields, quarantine, keys):
        """Log evidence of a crash of `keys`, together with other lines like it.

        A target has many requests when it crashes, and most of them are not the cause.
        Those that had not been suspected before are in the lines of that crash. One
        that several targets crashed of has lines of its own, which name those targets.
        """
        crashes = {crash for key in keys for crash in quarantine.evidence(key)}
        if len(crashes) > 1:
            in_order = sorted(crashes, key=lambda crash: crash.at)
            fields["crashes"] = [(crash.target, crash.cause) for crash in in_order]
            self.crash_lines.add((fields["change"], keys), fields)
        else:
            crash = fields["change"], message.target, message.born
            self.crash_lines.add(crash, fields)

    @singledispatchmethod
    def handle(self, message, source):
        """Update the state from a message of `source`."""
        raise ChannelError(f"unexpected message: {type(message).__name__}")

    @handle.register
    def _(self, message: TargetSeen, source):
        self.targets.handle_seen(message, source)

    @handle.register
    def _(self, message: TargetDoubted, source):
        self.targets.handle_doubted(message, source)

    @handle.register
    def _(self, message: TargetRefused, source):
        self.targets.handle_refused(message, source)

    @handle.register
    def _(self, message: TargetSilent, source):
        self.targets.handle_silent(message, source)

    @handle.register
    def _(self, message: TargetGone, source):
        self.targets.handle_gone(message, source)

    @handle.register
    def _(self, message: TargetLeaving, source):
        self.targets.handle_leaving(message, source)

    @handle.register
    def _(self, message: TargetLimited, source):
        self.targets.handle_limited(message, source)

    @handle.register
    def _(self, message: PromptBroke, source):
        at = self.clock.now() - message.age_ms
        crash = Crash(message.target, message.born, message.prompt, at, message.late)
        if self.part_quarantine.record(crash, message.parts):
            self.notify(message, source)

    @handle.register
    def _(self, message: PartsServed, source):
        cleared = self.part_quarantine.clear(message.parts, message.survived)
        if cleared:
            self.notify(PartsServed(cleared, message.survived), source)

    @handle.register
    def _(self, message: RequestsCrashed, source):
        at = self.clock.now() - message.age_ms
        crash = Crash(message.target, message.born, message.call, at, message.late)
        if self.request_quarantine.record(crash, message.digests):
            self.notify(message, source)

    @handle.register
    def _(self, message: RequestsAnswered, source):
        cleared = self.request_quarantine.clear(message.digests, message.survived)
        if cleared:
            self.notify(RequestsAnswered(cleared, message.survived), source)

    @handle.register
    def _(self, message: TrialBegan, source):
        if message.call not in self.trials:
            self.trials.add(message.call)
            self.notify(message, source)

    @handle.register
    def _(self, message: StreamsBegan, source):
        self.store_streams(message, is_news=False)

    @handle.register
    def _(self, message: RequestBegan, source):
        self.request_origins.handle_answer(message.number, source, message.origins)

    @handle.register
    def _(self, message: MemberUp, source):
        self.members.handle_up(message, source)

    @handle.register
    def _(self, message: MemberDown, source):
        self.members.handle_down(message, source)

    @handle.register
    def _(self, message: Loads, source):
        if message.complete:
            self.loads[source] = {}
        loads = self.loads.setdefault(source, {})
        for load in message.loads:
            if load.requests or load.tokens:
                loads[load.id] = load
            else:
                loads.pop(load.id, None)

    @handle.register
    def _(self, message: Capacities, source):
        self.capacity_rows[source] = message.rows
        # A control VM that has just started knows of some regions a little later.
        now = self.clock.now()
        known = self.capacities or {}
        rows = {(row.region, row.service): row for row in message.rows}
        self.capacities_seen_at.update(dict.fromkeys(rows, now))
        missing = {
            key: row
            for key, row in known.items()
            if now - self.capacities_seen_at[key] < CAPACITY_RETENTION_MS
        }
        self.capacities = missing | rows

    @handle.register
    def _(self, message: EntryCounts, source):
        self.entry_counter.record(message)
        self.quorums[source] = message.has_quorum

    @handle.register
    def _(self, message: QuotaLevels, source):
        if self.quotas is not None:
            self.quotas.handle_levels(message)

    @handle.register
    def _(self, message: RoutesChanged, source):
        if message.revision <= self.routes.revision:
            return
        try:
            document = decompress(message.document)
        except UnreadableDocumentError as error:
            problem = {"version": message.version, "problem": str(error)}
            logger.error("can't decompress the plan", extra=problem)
            return
        if self.store.update(message.version, document):
            self.routes = message
            self.notify(message, source)

    @handle.register
    def _(self, message: EvacuationsChanged, source):
        if message.revision > self.evacuations.revision:
            before = self.evacuations.failure_domains
            self.evacuations = message
            # Targets may have turned cold meanwhile, and the news come later.
            for failure_domain in {*before} - {*message.failure_domains}:
                self.targets.doubt_domain(failure_domain)
            self.notify(message, source)
        else:
            self.log_ignored(message, source)

    def log_ignored(self, message, source):
        """Log evacuations that are not taken though they differ, once by source."""
        known = self.evacuations
        if (
            message.failure_domains == known.failure_domains
            or self.ignored_evacuations.get(source) == message
        ):
            return
        self.ignored_evacuations[source] = message
        extra = {
            "source": source,
            "revision": message.revision,
            "failure_domains": message.failure_domains,
            "known_revision": known.revision,
            "known_failure_domains": known.failure_domains,
        }
        logger.info("evacuations ignored", extra=extra)

    def belief(self):
        """Return the `Belief` at this moment."""
        in_touch = sum(self.quorums.values())
        return Belief(self.evacuations.revision, self.freshness.age_ms(), in_touch)

    def store_streams(self, message, is_news):
        """Store which streams have begun, and tell other VMs later if it is news."""
        origin = StreamOrigin(message.service, message.version)
        for origins, keys in (
            (self.origins, message.keys),
            (self.request_origins, message.requests),
        ):
            store = origins.record if is_news else origins.add
            for key in keys:
                store(key, origin)

    def answers_on_streams(self, message):
        """Yield the answer if a message asks where a stream, or a request's, began."""
        if isinstance(message, RequestAsked):
            origins = self.request_origins.find(message.key)
            yield RequestBegan(message.number, tuple(origins))
        elif isinstance(message, StreamAsked):
            origin = self.origins.find(message.key)
            if origin is not None:
                yield StreamsBegan(*origin, (message.key,))

    def streams_begun(self):
        """Yield the origins of all streams known here, for a VM that knows none."""
        for origin, keys in self.origins.all_by_origin():
            yield StreamsBegan(*origin, keys)
        for origin, keys in self.request_origins.all_by_origin():
            yield StreamsBegan(*origin, (), keys)

    def take_streams_begun(self):
        """Yield the origins of the streams that other VMs have not been told yet."""
        for origin, keys in self.origins.take_unsent():
            yield StreamsBegan(*origin, keys)
        for origin, keys in self.request_origins.take_unsent():
            yield StreamsBegan(*origin, (), keys)

    def observations(self):
        """Yield what this VM observed or was told of targets, for one that has not."""
        yield from self.targets.observations()
        yield from self.crash_reports()

    def crash_reports(self):
        """Yield the evidence on what crashes targets, for a VM that has none yet."""
        now = self.clock.now()
        for message, quarantine in (
            (PromptBroke, self.part_quarantine),
            (RequestsCrashed, self.request_quarantine),
        ):
            for crash, keys in quarantine.by_crash(MAX_REPORTED_KEYS).items():
                yield message(*crash[:3], tuple(keys), now - crash.at, crash.late)

    def region_of(self, failure_domain):
        """Return the region of a failure domain."""
        return self.regions.get(failure_domain, failure_domain)

    def region_of_target(self, id_):
        """Return the region of a target, which may have left; None if it is unknown."""
        failure_domain = self.targets.failure_domain_of(id_)
        return self.region_of(failure_domain) if failure_domain else None

    def forget_source(self, source):
        """Remove a source that is gone; what it alone reported expires later."""
        self.targets.forget_source(source)
        self.members.forget_source(source)
        self.freshness.forget(source)
        self.loads.pop(source, None)
        self.quorums.pop(source, None)
        self.ignored_evacuations.pop(source, None)
        self.capacity_rows.pop(source, None)

    def sweep(self):
        """Remove expired members, targets, tombstones and origins of streams."""
        self.members.sweep()
        self.targets.sweep(0)
        self.origins.sweep()
        self.request_origins.sweep()
        self.crash_lines.sweep()


def log_change(fields):
    """Log a change of the fleet."""
    logger.info("fleet changed", extra=fields)


def log_fields(message):
    """Return the log fields of a message, without plan documents."""
    if isinstance(message, RoutesChanged):
        return {"revision": message.revision, "version": message.version}
    if isinstance(message, MemberUp):
        member = message.member
        return {
            "member": member.name,
            "ready": member.ready,
            "stopping": member.stopping,
            "plan": member.plan,
        }
    if isinstance(message, MemberDown):
        return {"member": message.name, "incarnation": message.incarnation}
    if isinstance(message, TargetSeen):
        target = message.target
        return {
            "target": target.id,
            "service": target.service,
            "version": target.version,
            "address": target.address,
            "draining": target.draining,
            "born": target.born,
            "sequence": target.sequence,
            "age_ms": message.age_ms,
            "cold_ms": target.cold_ms,
            "cold_senders": message.cold_senders,
        }
    return {name: getattr(message, name) for name in message.__struct_fields__}
