"""What targets say of themselves in a response's head, or by refusing a connection.

The head of a response to a hop is that of another region's target, which the entry VM
there handles.
"""

import math

from pollenmount.fleet.messages import TargetLeaving, TargetLimited, TargetRefused
from pollenmount.fleet.observations import RESPONSE
from pollenmount.gateway.attempt import connection_key
from pollenmount.gateway.target_pauses import MAX_PAUSE_MS, bounded_pause_ms
from pollenmount.log import get_logger
from pollenmount.wire.errors import ConnectRefusedError

__all__ = ["TargetNotices", "is_refused_for_room"]

MISDIRECTED_REQUEST = 421
UNAVAILABLE = 503
MS_PER_S = 1000
MAX_WARNED = 4096
# Without a request now and then nobody would learn that a limit has ended.
MIN_LIMIT_PER_S = 0.1
MAX_LIMIT_PER_S = 1e6

logger = get_logger("targets")


class TargetNotices:
    """Handles the notices in responses, and those that other VMs have read.

    `warned` has the warnings that were logged, with the target's id and incarnation.
    """

    def __init__(self, fleet, pool, paths, pauses, refusals, metrics):
        self.fleet = fleet
        self.pool = pool
        self.paths = paths
        self.pauses = pauses
        self.refusals = refusals
        self.metrics = metrics
        self.warned = set()
        fleet.listeners.append(self.handle_change)

    def handle_head(self, call, destination, status, info, sent_at=0):
        """Handle the status and `ResponseInfo` of a response to an attempt.

        `sent_at` is when the attempt was sent, 0 if that is unknown.
        """
        if not destination.target_id:
            return
        if info.leaving:
            self.handle_leaving(call, destination, status)
        if status == UNAVAILABLE and info.retry_after_s is not None:
            self.handle_pause(call, destination, info.retry_after_s)
        if status != MISDIRECTED_REQUEST:
            self.handle_limit(call, destination, info.limit_per_s, sent_at)
            self.handle_refusal_limit(call, destination, info, sent_at)
        if is_refused_for_room(call, status, info, self.fleet.clock.now()):
            self.metrics.target_refusals.labels(call.service).inc()

    def handle_refusal_limit(self, call, destination, info, sent_at):
        """Keep how many refusals a second a target bears, or that it names no limit.

        A number that is not valid says neither.
        """
        per_s, id_ = info.max_refusals_per_s, destination.target_id
        if per_s is None:
            self.refusals.record_unnamed(call.service, id_, sent_at, call.id)
        elif math.isfinite(per_s) and per_s >= 0:
            self.refusals.record_named(call.service, id_, per_s, call.id)
        else:
            self.warn_once("refusal limit out of range", destination, per_s=str(per_s))

    def handle_failure(self, destination, error):
        """Tell all VMs of a target that refused a connection: it may have crashed.

        One that keeps other connections open only takes no more of them, and one is not
        to blame if this VM can connect to none.
        """
        if not destination.target_id or not isinstance(error, ConnectRefusedError):
            return
        if self.pool.has_live(destination.connection_key):
            return
        id_ = destination.target_id
        refused = TargetRefused(id_, destination.incarnation)
        self.paths.confirm(id_, lambda: self.fleet.handle(refused, RESPONSE))

    def handle_limit(self, call, destination, per_s, sent_at):
        """Keep the limit that a target names, or its end, here and at other VMs.

        A response to a request sent before the limit was named last does not end it,
        nor does one whose limit is not a valid number.
        """
        id_, born = destination.target_id, destination.incarnation
        known = self.fleet.targets.limits.get(id_, born)
        if per_s is None:
            if known is None or sent_at <= known.named_at:
                return
        elif per_s >= 0:
            per_s = min(max(per_s, MIN_LIMIT_PER_S), MAX_LIMIT_PER_S)
        else:
            self.warn_once("limit out of range", destination, per_s=str(per_s))
            return
        if per_s != (known.per_s if known else None):
            self.log_limit(call, destination, per_s)
        self.fleet.targets.handle_limited(TargetLimited(id_, born, per_s), RESPONSE)

    def log_limit(self, call, destination, per_s):
        """Log a limit that a response names, None if it names none any more."""
        logger.info(
            "target names no limit" if per_s is None else "target names a limit",
            extra={
                "request": call.id,
                "target": destination.target_id,
                "born": destination.incarnation,
                "service": call.service,
                "per_s": per_s,
            },
        )

    def handle_leaving(self, call, destination, status):
        """Stop sending to a target that leaves, in the incarnation that was asked."""
        self.pool.retire(destination.connection_key)
        if status == MISDIRECTED_REQUEST:
            self.mark_other_at_address(call, destination)
        else:
            self.mark(call, destination.target_id, destination.incarnation)

    def mark_other_at_address(self, call, destination):
        """Mark the target that answered in place of the one that was asked.

        It is the other one known at the address, if there is just one.
        """
        records = (target.record for target in self.fleet.targets.by_id.values())
        others = [
            record
            for record in records
            if record.address == destination.address
            and record.id != destination.target_id
        ]
        if len(others) == 1:
            self.mark(call, others[0].id, others[0].born)

    def mark(self, call, id_, born):
        """Mark an incarnation as leaving, here and at the VMs of the region."""
        message = TargetLeaving(id_, born)
        if self.fleet.targets.handle_leaving(message, RESPONSE):
            self.metrics.targets_leaving.labels(call.service).inc()

    def handle_change(self, message, source):
        """Close the connections to a target that leaves."""
        if not isinstance(message, TargetLeaving):
            return
        target = self.fleet.targets.by_id.get(message.id)
        if target:
            record = target.record
            key = connection_key(record.id, record.address, record.born)
            self.pool.retire(key)

    def handle_pause(self, call, destination, seconds):
        """Send nothing to the target for as long as it asks, within bounds."""
        pause_ms = bounded_pause_ms(seconds)
        if not is_in_range(seconds):
            self.warn_once(
                "pause out of range",
                destination,
                asked_s=str(seconds),
                pause_ms=pause_ms,
            )
        if not pause_ms:
            return
        id_, born = destination.target_id, destination.incarnation
        self.metrics.target_pauses.labels(call.service).inc()
        if self.pauses.start(id_, born, pause_ms):
            logger.info(
                "target paused",
                extra={
                    "request": call.id,
                    "target": id_,
                    "born": born,
                    "service": call.service,
                    "pause_ms": pause_ms,
                },
            )

    def warn_once(self, warning, destination, **fields):
        """Log a value out of range, once for each incarnation of a target."""
        id_, born = destination.target_id, destination.incarnation
        key = (warning, id_, born)
        if key in self.warned or len(self.warned) >= MAX_WARNED:
            return
        self.warned.add(key)
        logger.warning(warning, extra={"target": id_, "born": born, **fields})


def is_refused_for_room(call, status, info, now):
    """Return whether a target says that it had no room to run a request.

    After the deadline, it says the same of one that has waited there for too long.
    """
    return status == UNAVAILABLE and info.not_run and now < call.deadline


def is_in_range(seconds):
    """Return whether a pause is a number from 0 to the longest one that is kept."""
    return not math.isnan(seconds) and 0 <= seconds * MS_PER_S <= MAX_PAUSE_MS
