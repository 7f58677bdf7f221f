"""Tells a target that has ended from a lost path between this VM and all targets.

A connection that is refused, or that can't be made, looks the same for both. If other
targets of the region can be connected to, it is the target; if none can, it is the
path.
"""

from pollenmount import task
from pollenmount.gateway.attempt import connection_key
from pollenmount.log import get_logger
from pollenmount.wire.errors import ConnectError

__all__ = ["TargetPaths"]

# Targets that are connected to before the paths to all count as lost.
MAX_PROBED = 3
# While the paths are lost, one target is connected to in each interval.
PROBE_INTERVAL_MS = 500
# A path that was seen to work a moment ago is not tried again.
FRESH_MS = 100

logger = get_logger("paths")


class TargetPaths:
    """The paths from this VM to the targets of its region.

    `is_lost` is whether none of them could be connected to. `failed_at` is when each
    target could last not be connected to, and `worked_at` when one could last, None if
    none was tried. `waiting` are the calls of `confirm` that wait for a probe.
    """

    def __init__(self, settings, fleet, clock, pool, metrics, spawn=task.spawn):
        self.settings = settings
        self.fleet = fleet
        self.clock = clock
        self.pool = pool
        self.metrics = metrics
        self.spawn = spawn
        self.is_lost = False
        self.is_probing = False
        self.failed_at = {}
        self.worked_at = None
        self.probed_at = clock.now()
        self.waiting = []

    def record_failure(self, id_):
        """Record that a target can't be connected to; find out why."""
        self.failed_at[id_] = self.clock.now()
        if not self.is_lost:
            self.probe_soon()

    def confirm(self, id_, callback):
        """Call `callback` once it is known that a target, and not the path, has failed.

        That is when another one was connected to, or at once if there is no other. It
        is not called if none can be connected to: nothing is known of the target then.
        """
        now = self.clock.now()
        self.failed_at[id_] = now
        if self.is_lost:
            return
        is_fresh = self.worked_at is not None and now - self.worked_at < FRESH_MS
        if is_fresh or len(self.targets()) <= 1:
            callback()
            return
        self.waiting.append(callback)
        self.probe_soon()

    def is_checking(self):
        """Return whether it is being found out why a target can't be connected to."""
        return bool(self.waiting)

    def sweep(self):
        """Try the paths again, if they are lost."""
        is_due = self.clock.now() - self.probed_at >= PROBE_INTERVAL_MS
        if self.is_lost and is_due:
            self.probe_soon()

    def probe_soon(self):
        """Begin to probe, unless that goes on."""
        if not self.is_probing:
            self.is_probing = True
            self.spawn(self.probe)

    def probe(self):
        """Connect to a few targets until one takes the connection."""
        self.probed_at = self.clock.now()
        try:
            probed = self.targets()[: 1 if self.is_lost else MAX_PROBED]
            if probed:
                self.update(any(self.can_connect(target) for target in probed))
        finally:
            self.is_probing = False
            waiting, self.waiting = self.waiting, []
            for callback in () if self.is_lost else waiting:
                callback()

    def targets(self):
        """Return the targets of this region, those last that have just failed."""
        known = [t for t in self.fleet.targets.by_id.values() if self.is_near(t)]
        return sorted(known, key=lambda target: self.failed_at.get(target.id, 0))

    def is_near(self, target):
        """Return whether a target is one of this region, and stays."""
        record = target.record
        region = self.fleet.region_of(record.failure_domain)
        return region == self.settings.region and not record.draining

    def can_connect(self, target):
        """Return whether a target takes a connection, which is closed again."""
        record = target.record
        key = connection_key(record.id, record.address, record.born)
        try:
            connection = self.pool.connect(key, record.address)
        except ConnectError:
            self.failed_at[target.id] = self.clock.now()
            return False
        self.pool.discard(key, connection)
        return True

    def update(self, works):
        """Store what a probe has shown, and log a change."""
        if self.is_lost == works:
            self.is_lost = not works
            self.metrics.paths_lost.set(self.is_lost)
            event = "paths regained" if works else "paths lost"
            logger.warning(event, extra={"failed": sorted(self.failed_at)})
        if works:
            self.worked_at = self.clock.now()
            self.failed_at.clear()
