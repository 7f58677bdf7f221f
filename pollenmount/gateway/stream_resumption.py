"""Finds out at which version of its service's software a stream has to go on."""

from pollenmount.fleet.stream_origins import StreamOrigin, stream_key
from pollenmount.log import get_logger
from pollenmount.routes.plan import RetryMode

__all__ = ["StreamResumption"]

# A round trip to a control VM, and the time in which it hears of a stream that has
# begun in another region.
ANSWER_WAIT_MS = 500
ASK_INTERVAL_MS = 100
POLL_INTERVAL_MS = 10
MAX_WAIT_SHARE = 0.25
# How the origin of a stream was found, or looked for last, in logs.
OWN_RECORD = "own_record"
CONTROL_VM = "control_vm"
ONLY_VERSION = "only_version"

logger = get_logger("streams")


class StreamResumption:
    """Origins of streams as the calls of this VM need them, beside `fleet.origins`."""

    def __init__(self, fleet, clock):
        self.fleet = fleet
        self.clock = clock

    def record_begin(self, call, version):
        """Record at which version a stream begins, before an event is delivered."""
        if call.route.resumable and call.resume_after is None:
            origin = StreamOrigin(call.service, version)
            self.fleet.origins.record(stream_key(call.info.host, call.id), origin)

    def needs_origin(self, call):
        """Return whether a call takes up a stream of which the origin is not given."""
        return (
            call.route.retry_mode is RetryMode.STREAM
            and call.route.resumable
            and call.resume_after is not None
            and call.version is None
        )

    def find_origin(self, call, progress, sleep):
        """Return the `StreamOrigin` of the stream that a call takes up, or None.

        Control VMs are asked if this VM does not know it; `sleep` waits for a number of
        milliseconds. How it was found is noted in the call's `progress`.
        """
        progress.view_age_ms = self.fleet.freshness.age_ms()
        origin, progress.origin_source = self.look_up(call, sleep)
        if origin is None:
            fields = {
                "request": call.id,
                "resumes": call.info.resumes,
                "view_age_ms": progress.view_age_ms,
            }
            logger.info("origin of a stream not known", extra=fields)
        return origin

    def look_up(self, call, sleep):
        """Return the `StreamOrigin` of a call's stream, or None, and its source."""
        if not call.info.resumes:
            return self.find_only_version(call), ONLY_VERSION
        key = stream_key(call.info.host, call.info.resumes)
        origin = self.fleet.origins.find(key)
        if origin is not None:
            return origin, OWN_RECORD
        return self.ask(key, call, sleep), CONTROL_VM

    def ask(self, key, call, sleep):
        """Return the origin that a control VM knows, or None after a while."""
        asked_at = self.clock.now()
        limit_ms = min(ANSWER_WAIT_MS, MAX_WAIT_SHARE * (call.deadline - asked_at))
        next_at = asked_at
        while self.clock.now() - asked_at < limit_ms:
            if self.clock.now() >= next_at:
                self.fleet.origins.ask(key)
                next_at = self.clock.now() + ASK_INTERVAL_MS
            sleep(POLL_INTERVAL_MS)
            origin = self.fleet.origins.find(key)
            if origin is not None:
                return origin
        return None

    def find_only_version(self, call):
        """Return the origin of a stream that its caller does not name, or None.

        There is just one if all targets of the service are of one version.
        """
        service = call.service
        versions = {t.record.version for t in self.fleet.targets.of_service(service)}
        for row in (self.fleet.capacities or {}).values():
            if row.service == service:
                versions.update(row.versions)
        return StreamOrigin(service, versions.pop()) if len(versions) == 1 else None
