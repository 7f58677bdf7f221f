"""Finds out at which version of its service's software a stream has to go on."""

from pollenmount.fleet.stream_origins import (
    StreamOrigin,
    request_key,
    stream_key,
)
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

logger = get_logger("streams")


class StreamResumption:
    """Origins of streams as the calls of this VM need them, beside `fleet.origins`."""

    def __init__(self, fleet, clock):
        self.fleet = fleet
        self.clock = clock

    def record_begin(self, call, progress):
        """Record at which version a stream begins, before an event is delivered."""
        if call.route.resumable and call.resume_after is None:
            origin = StreamOrigin(call.service, progress.version)
            key = stream_key(call.info.host, call.id)
            self.fleet.origins.record(key, origin)
            key = find_request_key(call, progress)
            self.fleet.request_origins.record(key, origin)

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
        find = self.find_named if call.info.resumes else self.find_by_request
        origin, progress.origin_source = find(call, progress, sleep)
        if origin is None:
            fields = {
                "request": call.id,
                "resumes": call.info.resumes,
                "digest": progress.digest,
                "view_age_ms": progress.view_age_ms,
                "origin_source": progress.origin_source,
            }
            logger.info("origin of a stream not known", extra=fields)
        return origin

    def find_named(self, call, progress, sleep):
        """Return the `StreamOrigin` of a stream that is named, or None; and its source.

        Its first origin is the only one, so this VM's own record is enough.
        """
        origins = self.fleet.origins
        key = stream_key(call.info.host, call.info.resumes)
        origin = origins.find(key)
        if origin is not None:
            return origin, OWN_RECORD
        rounds = self.ask_repeatedly(call, sleep, lambda: origins.ask(key))
        return next(filter(None, (origins.find(key) for _ in rounds)), None), CONTROL_VM

    def find_by_request(self, call, progress, sleep):
        """Return the `StreamOrigin` of all streams of a request, or None; its source.

        Another VM may have begun one at another version since this VM recorded its own,
        so all linked control VMs are asked in any case: one that has lost its memory
        knows of none. Without an answer, the own record counts only for a prompt, of
        which the last part is its own or its session's: other requests of several
        callers may be alike.
        """
        origins = self.fleet.request_origins
        key = find_request_key(call, progress)
        asked, known = set(), frozenset()
        with origins.question() as number:
            answers = origins.answers[number]

            def ask():
                asked.update(origins.ask(number, key))

            for _ in self.ask_repeatedly(call, sleep, ask):
                if answers:
                    known = origins.find(key).union(*answers.values())
                if known and asked <= answers.keys():
                    break
            if answers:
                return only_origin(known), CONTROL_VM
        known = origins.find(key) if has_own_part(call) else ()
        return only_origin(known), OWN_RECORD

    def ask_repeatedly(self, call, sleep, ask):
        """Yield each time that an answer may have come, until one is late."""
        asked_at = next_at = self.clock.now()
        limit_ms = min(ANSWER_WAIT_MS, MAX_WAIT_SHARE * (call.deadline - asked_at))
        while self.clock.now() - asked_at < limit_ms:
            if self.clock.now() >= next_at:
                ask()
                next_at = self.clock.now() + ASK_INTERVAL_MS
            sleep(POLL_INTERVAL_MS)
            yield


def find_request_key(call, progress):
    """Return the key of the request of a call, the same whenever it comes again."""
    parts = call.info.prompt.parts if has_own_part(call) else ()
    return request_key(progress.digest, [part.id for part in parts])


def has_own_part(call):
    """Return whether a call has a prompt that is told apart by its parts."""
    return call.info.prompt is not None and bool(call.info.prompt.parts)


def only_origin(origins):
    """Return the one origin in a set, None if there are none or several."""
    return next(iter(origins)) if len(origins) == 1 else None
