"""Progress of one call, and the observer that records it from the response."""

from pollenmount.gateway.attempt import (
    ResponseObserver,
    StoppedError,
    is_success,
)
from pollenmount.gateway.call import digest_request
from pollenmount.gateway.target_notices import is_refused_for_room

__all__ = ["CallObserver", "Progress"]


class Progress:
    """State of one call across its attempts.

    `is_admitted` is whether it was decided if the call can be served in time, and
    `overload` the `Overload` it was refused for, None if it was not. `stays` is whether
    it was deferred for a target of this region, so that it leaves only if that fails.
    `obstacles` has how many targets each `Obstacle` kept from it, None if one took it.
    `sent_at` is when the last attempt started.
    `sends` counts all attempts, `runs` those that may have run on a target.
    `may_have_run` is whether any of those ended otherwise than by a response whose
    status denies it. `tried`
    holds the names of the targets and VMs that were tried, and of regions that have
    refused this call only. `failed_response` is the
    last error response of a target, `head` the response head sent to the caller, and
    `last_id` the number of the last event delivered. `first_chunk_at` and
    `last_chunk_at` are the times of the first and the last chunk of the response;
    `longest_gap_ms` is the longest time between two. `waited_ms` is how long the call
    was deferred before it was sent, and `expected_ms` the time to the first byte that
    was expected of the last attempt. `delivered_bytes` counts the bytes of a stream
    that were written to the caller. `retry_reserved` tells whether the retry budget
    keeps a retry for an attempt that would replace the present one. `pause_ms` is as
    in `ErrorResponse`. `quarantine` is why the call is in quarantine, '' if it is not,
    and `quarantine_ms` for how long.
    `head_arrived` and `event_arrived` tell whether the head of a success, and an event,
    have arrived in the last attempt. `digest` is that of `digest_request`.
    `version` is the only version of the target software that may run further attempts,
    None as long as any may. `origin_source` tells how it was found for a stream that
    the call takes up, `view_age_ms` how long ago this VM had heard from a control VM
    then. `versions` are those of the targets of all attempts, '' for another VM.
    `remaining_ms` is the time left that went along with the last attempt, and
    `paused_ms` how long its target still wanted nothing then. `crashed` tells whether a
    target was found to have crashed under the last attempt, None if nothing asked.
    `known_crashes` is how many crashes of targets the request, or a part of its prompt,
    was known to have caused at the start of the last attempt, and `belief` the `Belief`
    then.
    """

    def __init__(self, call):
        self.digest = digest_request(call)
        self.version = call.version
        self.origin_source = ""
        self.view_age_ms = None
        self.versions = []
        self.runs = 0
        self.sends = 0
        self.sent_at = None
        self.is_admitted = False
        self.overload = None
        self.stays = False
        self.obstacles = None
        self.may_have_run = False
        self.tried = set()
        self.failures = []
        self.failed_response = None
        self.head = None
        self.last_id = call.resume_after
        self.retry_after_ms = 0
        self.pause_ms = 0
        self.destination = None
        self.first_chunk_at = None
        self.last_chunk_at = None
        self.longest_gap_ms = 0
        self.waited_ms = 0
        self.expected_ms = None
        self.delivered_bytes = 0
        self.retry_reserved = False
        self.quarantine = ""
        self.quarantine_ms = 0
        self.head_arrived = False
        self.event_arrived = False
        self.belief = None
        self.remaining_ms = None
        self.paused_ms = 0
        self.crashed = None
        self.known_crashes = 0

    def last_gap_ms(self, now):
        """Return the time since the last chunk of the response, None before one."""
        return now - self.last_chunk_at if self.last_chunk_at else None

    def record_chunk(self, now):
        """Record that a chunk arrived; return the time since the one before, or 0."""
        if self.first_chunk_at is None:
            self.first_chunk_at = self.last_chunk_at = now
        gap_ms = now - self.last_chunk_at
        self.longest_gap_ms = max(self.longest_gap_ms, gap_ms)
        self.last_chunk_at = now
        return gap_ms


class CallObserver(ResponseObserver):
    """Records the first byte of a response and how far a stream was delivered."""

    def __init__(
        self,
        dispatcher,
        progress,
        destination,
        call,
        *,
        end_prefill,
        end_wait,
        sent_at,
        expected_at,
        may_hop,
    ):
        self.dispatcher = dispatcher
        self.progress = progress
        self.destination = destination
        self.call = call
        self.end_prefill = end_prefill
        self.end_wait = end_wait
        self.sent_at = sent_at
        self.expected_at = expected_at
        self.may_hop = may_hop
        self.has_begun = False

    def on_send(self, remaining_ms):
        """Record what the log says of the moment at which an attempt is sent.

        Raises `StoppedError` if this VM refuses requests since, and this is the first.
        """
        if self.dispatcher.stop_at is not None and self.progress.sends == 1:
            raise StoppedError()
        destination = self.destination
        self.progress.remaining_ms = remaining_ms
        self.progress.paused_ms = self.dispatcher.context.pauses.left_ms(
            destination.target_id, destination.incarnation
        )

    def on_head(self, status, info):
        """Handle what the target says of itself, before the body arrives."""
        notices = self.dispatcher.context.notices
        notices.handle_head(self.call, self.destination, status, info, self.sent_at)
        now = self.dispatcher.clock.now()
        self.end_wait(is_refused_for_room(self.call, status, info, now))
        self.progress.head_arrived = is_success(status) and not info.not_run

    def on_chunk(self):
        """Update the trackers on the first chunk, and release a reserved retry."""
        self.dispatcher.retries.release(self.call, self.progress)
        if not self.has_begun:
            self.has_begun = True
            self.end_prefill()
            lag_ms = self.dispatcher.clock.now() - self.expected_at
            self.dispatcher.record_first_byte(self.destination, self.call, lag_ms)

    def on_delivered(self, event_id):
        """Record the event after which another target would resume the stream."""
        self.progress.last_id = event_id
        if not self.progress.event_arrived:
            self.progress.event_arrived = True
            self.dispatcher.context.guard.record_answered(self.call, self.progress)

    def may_abandon(self, stalled_ms):
        """Return whether another attempt can replace this one."""
        return self.dispatcher.may_replace_attempt(
            self.call, self.progress, self.may_hop, stalled_ms
        )
