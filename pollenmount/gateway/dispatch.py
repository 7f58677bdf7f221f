"""Runs a call by attempts at targets, and retries where that is safe.

A failed attempt is retried if it certainly did not run, or if the route allows retries
of requests that may have run, within the route's attempts, the deadline and the retry
budget.
"""

import contextlib

from pollenmount import task
from pollenmount.denials import DENIALS
from pollenmount.gateway.admission import Admission, Overload
from pollenmount.gateway.attempt import (
    Attempt,
    FailedResponseError,
    MisdirectedError,
    NoRoomError,
    NotRunError,
    StoppedError,
    is_success,
)
from pollenmount.gateway.attempt_log import log_failed_attempt
from pollenmount.gateway.call import (
    AttemptFailure,
    ErrorResponse,
    ResponseHead,
)
from pollenmount.gateway.choose import TargetChoice, is_long_stream, no_remote_options
from pollenmount.gateway.destinations import Destinations
from pollenmount.gateway.hop import HopRefusedError, PeerNotReadyError
from pollenmount.gateway.progress import CallObserver
from pollenmount.gateway.retry_after import RetryAfter
from pollenmount.gateway.retry_policy import RetryPolicy
from pollenmount.gateway.target_pauses import MAX_REGION_PAUSE_MS
from pollenmount.log import get_logger
from pollenmount.routes.plan import RetryMode
from pollenmount.wire.errors import (
    ConnectError,
    ExchangeError,
    PeerUnreachableError,
    ResponseTimeoutError,
)

__all__ = [
    "LEARNING_INTERVAL_MS",
    "MAX_LEARNING_SHARE",
    "BrokenResponseError",
    "Dispatcher",
]

# Share of the route's latency objective that a call may be deferred: long enough for an
# engine to finish its pending prefill, short compared with the objective.
MAX_DEFER_SHARE = 0.3
DEFER_INTERVAL_MS = 15
# Share of the caller's time that a call may wait for a VM that has just started.
MAX_LEARNING_SHARE = 0.25
LEARNING_INTERVAL_MS = 50
UNAVAILABLE = 503
BAD_GATEWAY = 502
GATEWAY_TIMEOUT = 504
STOPPING = "this VM is stopping"

logger = get_logger("calls")


class BrokenResponseError(Exception):
    """A response broke off after parts of it were delivered."""


class Dispatcher:
    """Runs calls.

    `context` gives the options, `chooser` picks one, `sender` runs attempts, `budget`
    bounds retries, and `sleep` waits for a number of milliseconds. `stop_at` is when
    responses must be complete, None unless this VM stops and takes no more requests.
    """

    def __init__(self, context, chooser, sender, budget, clock, sleep=task.sleep):
        self.context = context
        self.chooser = chooser
        self.sender = sender
        self.retries = RetryPolicy(budget, clock)
        self.destinations = Destinations(context, clock)
        self.admission = Admission(context, clock)
        self.clock = clock
        self.sleep = sleep
        self.retry_after = RetryAfter(clock, context.random)
        self.stop_at = None

    def serve(self, call, progress, may_hop=True):
        """Yield a `ResponseHead` and the body, or one `ErrorResponse`.

        Raises `BrokenResponseError` if the response breaks off.
        """
        call, problem = self.find_origin(call, progress)
        if problem:
            yield from self.end_without_response(call, progress, problem, may_hop)
            return
        while True:
            destination, expected_ms = self.pick_destination(call, progress, may_hop)
            if destination is None:
                if not progress.overload:
                    self.note_obstacles(call, progress)
                problem = (
                    progress.quarantine
                    or (progress.overload and progress.overload.reason)
                    or self.reason_of_stop(call, progress)
                    or self.reason_of_lateness(call, progress)
                    or missing_target(progress)
                )
                yield from self.end_without_response(call, progress, problem, may_hop)
                return
            try:
                yield from self.run_attempt(
                    call, progress, destination, expected_ms, may_hop
                )
                return
            except ExchangeError as error:
                self.record_failed_attempt(call, progress, destination, error)
                problem = self.reason_to_stop(call, progress, error)
            if problem:
                yield from self.end_without_response(call, progress, problem, may_hop)
                return

    def note_obstacles(self, call, progress):
        """Note for the logs what keeps the targets of this region from a call."""
        obstacles = self.context.count_obstacles(call, progress.tried, progress.version)
        progress.obstacles = dict(obstacles)

    def find_origin(self, call, progress):
        """Return a call, of the service that began its stream, and '' or a problem."""
        resumption = self.context.resumption
        if not resumption.needs_origin(call):
            return call, ""
        origin = resumption.find_origin(call, progress, self.sleep)
        if origin is None:
            return call, "it is not known which version began the stream"
        if origin.service not in [split.service for split in call.route.splits]:
            return call, "the service that began the stream is no longer on the route"
        progress.version = origin.version
        return call._replace(service=origin.service), ""

    def reason_to_stop(self, call, progress, error):
        """Return why no further attempt follows a failed one, or None."""
        if progress.quarantine:
            return progress.quarantine
        if isinstance(error, StoppedError):
            return STOPPING
        if reason := self.reason_of_stop(call, progress):
            return reason
        reason = self.retries.reason_without_budget(call, progress, error)
        if reason:
            return reason
        if self.context.guard.may_crash_again(call, progress, error, self.sleep):
            return "a part of the prompt may have crashed the target"
        return self.retries.reason_to_stop(call, progress, error)

    def reason_of_stop(self, call, progress):
        """Return why this VM, which stops, sends no attempt of a call, or ''.

        A call that no attempt was made of can go to another VM. One that an attempt has
        failed of gets another one if there is time for its response.
        """
        if self.stop_at is None:
            return ""
        left_ms = self.stop_at - self.clock.now()
        return "" if progress.sends and left_ms >= call.route.slo_ms else STOPPING

    def reason_of_lateness(self, call, progress):
        """Return why a call is not sent for the first time any more, or ''.

        Its deadline has passed while it waited here, or while this VM stood still.
        """
        is_late = not progress.sends and self.clock.now() >= call.deadline
        return "its deadline passed before it was sent" if is_late else ""

    def end_early(self, call, progress):
        """Return the `ErrorResponse` of a call that ends because this VM does."""
        if progress.sends > len(progress.failures):
            return ErrorResponse(BAD_GATEWAY, STOPPING)
        return self.make_error_response(call, progress, STOPPING)

    def choose(self, call, progress, may_hop):
        """Return the chooser's decision for the options at this moment."""
        options = self.context.options(call, progress.tried, progress.version)
        if not may_hop or progress.stays and not progress.sends:
            options = options._replace(remote=no_remote_options)
        prompt = call.info.prompt
        return self.chooser.choose(options, prompt, call.route.slo_ms)

    def choose_with_deferral(self, call, progress, may_hop):
        """Return the chooser's decision, after waiting while it is better to wait.

        The chooser may advise to defer. A VM that has just started may not know the
        targets yet, so it can't tell that nothing serves the call. There is none for
        a call in quarantine, which may begin while the call waits.
        """
        while True:
            progress.quarantine = self.context.guard.find_quarantine(call, progress)
            if (
                progress.quarantine
                or self.reason_of_stop(call, progress)
                or self.reason_of_lateness(call, progress)
            ):
                return None
            chosen = self.choose(call, progress, may_hop)
            if may_hop and not progress.is_admitted:
                chosen = self.admit(call, progress, chosen)
            if progress.overload:
                return None
            interval_ms = self.wait_interval_ms(call, chosen)
            if not interval_ms:
                return chosen
            # It was drawn to stay; drawn each time, it would leave sooner or later.
            progress.stays = self.context.is_spread and bool(chosen)
            self.sleep(interval_ms)
            progress.waited_ms = self.clock.now() - call.received_at

    def admit(self, call, progress, chosen):
        """Return the choice for a call, None if it is refused for an overload."""
        progress.is_admitted = True
        decision = self.admission.check(call, progress, chosen)
        if not isinstance(decision, Overload):
            return decision
        progress.overload = decision
        progress.expected_ms = round(decision.wait_ms)
        return None

    def wait_interval_ms(self, call, chosen):
        """Return after how long to choose again, or 0 to go on with `chosen`."""
        waited_ms = self.clock.now() - call.received_at
        if chosen is None and self.context.is_learning():
            limit_ms = MAX_LEARNING_SHARE * (call.deadline - call.received_at)
            return LEARNING_INTERVAL_MS if waited_ms < limit_ms else 0
        if isinstance(chosen, TargetChoice) and chosen.should_defer:
            limit_ms = MAX_DEFER_SHARE * call.route.slo_ms
            return DEFER_INTERVAL_MS if waited_ms < limit_ms else 0
        return 0

    def pick_destination(self, call, progress, may_hop):
        """Return (destination, expected ms to the first byte), or (None, 0)."""
        chosen = self.choose_with_deferral(call, progress, may_hop)
        if chosen is None:
            return None, 0
        return self.destinations.make(call, progress, chosen), chosen.expected_ms

    def run_attempt(self, call, progress, destination, expected_ms, may_hop=True):
        """Yield the head and body of the response to one attempt."""
        self.record_start(call, progress, destination, expected_ms)
        sent_at = progress.sent_at
        prompt = call.info.prompt
        tokens = self.uncached_tokens(destination, prompt)
        is_stream = prompt is not None and is_long_stream(prompt)
        # Its own load is no part of the load at which it is sent.
        waiting = self.context.track_refusal(call, destination)
        tracked = self.context.loads.track(destination.name, tokens, is_stream)
        with waiting as end_wait, tracked as end_prefill:
            observer = CallObserver(
                self,
                progress,
                destination,
                call,
                end_prefill=end_prefill,
                end_wait=end_wait,
                sent_at=sent_at,
                expected_at=sent_at + expected_ms,
                may_hop=may_hop,
            )
            resume_after = call.info.resume_after
            if progress.head:
                resume_after = str(progress.last_id)
            attempt = Attempt(call, destination, resume_after, observer, progress.head)
            parts = self.sender.run(attempt)
            with (
                self.context.guard.watch(call, progress, destination),
                contextlib.closing(parts),
                self.retries.reservation(call, progress),
            ):
                for part in parts:
                    if not isinstance(part, ResponseHead):
                        gap_ms = progress.record_chunk(self.clock.now())
                        if destination.target_id:
                            self.context.separation.record_gap(call, gap_ms)
                        yield part
                    elif progress.head is None:
                        self.begin_response(call, progress, part, may_hop)
                        yield part
        self.context.breakers.record_success(destination.name)
        if not progress.event_arrived:
            self.context.guard.record_answered(call, progress)

    def begin_response(self, call, progress, head, may_hop):
        """Note which response a call gets; the rest of a stream has to fit to it.

        The VM that sent a hop may not get what this one sends, so that one records it.
        """
        progress.head = head
        if call.route.retry_mode is RetryMode.STREAM and is_success(head.status):
            progress.version = head.version
            if may_hop:
                self.context.resumption.record_begin(call, progress)

    def may_replace_attempt(self, call, progress, may_hop, stalled_ms):
        """Return whether another attempt can replace one that makes no progress."""

        def has_other_option():
            return self.choose(call, progress, may_hop) is not None

        return self.retries.may_replace_attempt(
            call, progress, stalled_ms, has_other_option
        )

    def record_start(self, call, progress, destination, expected_ms):
        """Count an attempt that starts."""
        if destination.target_id and not progress.sends:
            # A hop is counted by the VM that receives it and sends it to a target.
            self.retries.budget.record_request(call.service)
        progress.sends += 1
        progress.sent_at = self.clock.now()
        progress.belief = self.context.fleet.belief()
        progress.head_arrived = progress.event_arrived = False
        progress.remaining_ms = progress.crashed = None
        progress.paused_ms = 0
        progress.known_crashes = self.context.guard.known_crashes(call, progress)
        progress.destination = destination
        progress.versions.append(destination.version)
        progress.expected_ms = round(expected_ms)
        progress.tried.add(destination.name)

    def uncached_tokens(self, destination, prompt):
        """Return how many prompt tokens a destination prefills; note them as cached."""
        if prompt is None:
            return 0
        if not destination.target_id:
            return prompt.tokens
        cache = self.context.cache
        tokens = prompt.tokens - cache.cached_tokens(destination.target_id, prompt)
        cache.record(destination.target_id, prompt)
        return tokens

    def record_first_byte(self, destination, call, lag_ms):
        """Update the trackers when the first byte of a response arrives."""
        self.retry_after.record_first_byte(call)
        self.context.breakers.record_success((destination.region, call.service))
        if self.context.breakers.record_success(destination.region):
            logger.info("region regained", extra={"ran_in": destination.region})
        if destination.target_id:
            self.context.lags.record(destination.target_id, lag_ms)
        self.context.breakers.record_success(destination.name)

    def record_failed_attempt(self, call, progress, destination, error):
        """Update breakers and trackers after a failed attempt, and log it."""
        breakers = self.context.breakers
        if isinstance(error, MisdirectedError):
            breakers.record_misdirected(destination.name, destination.incarnation)
            self.context.cache.forget(destination.name)
        elif isinstance(error, FailedResponseError):
            progress.failed_response = error.response
        elif isinstance(error, PeerNotReadyError):
            breakers.record_failure(
                destination.name, destination.incarnation, True, progress.sent_at
            )
        elif not isinstance(
            error, NotRunError | HopRefusedError | ResponseTimeoutError | NoRoomError
        ):
            self.record_broken_attempt(destination, error, progress.sent_at)
        if not error.not_run:
            progress.runs += 1
            progress.may_have_run = progress.may_have_run or not is_denial(error)
        self.context.guard.record_failure(call, progress, destination, error)
        self.context.notices.handle_failure(destination, error)
        if isinstance(error, HopRefusedError):
            progress.retry_after_ms = error.retry_after_ms
            self.context.guard.record_refused_hop(progress, error)
            self.record_refused_hop(call, progress, destination, error)
        progress.failures.append(AttemptFailure(str(error), error.not_run))
        log_failed_attempt(call, progress, destination, error, self.clock.now())

    def record_broken_attempt(self, destination, error, sent_at):
        """Count an attempt without a response against its target, VM and region."""
        breakers = self.context.breakers
        is_unreachable = isinstance(error, ConnectError | PeerUnreachableError)
        breakers.record_failure(
            destination.name, destination.incarnation, is_unreachable, sent_at
        )
        if not is_unreachable:
            return
        if destination.target_id:
            self.context.paths.record_failure(destination.target_id)
        # Several in a row mean that the network to the region is down.
        elif breakers.record_failure(destination.region, started_at=sent_at):
            logger.warning("region lost", extra={"ran_in": destination.region})

    def record_refused_hop(self, call, progress, destination, error):
        """Keep the region out for this service: for as long as asked, or a while.

        A refusal of this one request, or of one version, says nothing of others.
        """
        if error.quarantine_ms or progress.version is not None:
            progress.tried.add(destination.region)
            return
        key = (destination.region, call.service)
        if error.pause_ms:
            pause_ms = min(error.pause_ms, MAX_REGION_PAUSE_MS)
            self.context.pauses.start(key, None, pause_ms)
        else:
            self.context.breakers.record_failure(key, open_now=error.not_run)

    def end_without_response(self, call, progress, problem, may_hop):
        """Yield the final response of a call that got none from a target."""
        if progress.head:
            raise BrokenResponseError(problem)
        failed = progress.failed_response
        if failed is not None and may_pass_on(failed.head, progress, may_hop):
            yield failed.head
            yield failed.body
            return
        progress.pause_ms = self.context.soonest_pause_ms(
            call, may_hop, progress.version
        )
        yield self.make_error_response(call, progress, problem)

    def make_error_response(self, call, progress, problem):
        """Return the `ErrorResponse` that matches the outcome of the attempts."""
        if all(failure.not_run for failure in progress.failures):
            reason = "all targets ask for a pause" if progress.pause_ms else problem
            is_stopping = self.stop_at is not None
            retry_after_ms = self.retry_after.suggest_ms(call, progress, is_stopping)
            return ErrorResponse(
                UNAVAILABLE,
                reason,
                retry_after_ms,
                progress.pause_ms,
                progress.quarantine_ms,
            )
        if self.clock.now() >= call.deadline:
            return ErrorResponse(
                GATEWAY_TIMEOUT, "the deadline of the request has passed"
            )
        return ErrorResponse(BAD_GATEWAY, problem)


def may_pass_on(head, progress, may_hop):
    """Return whether the failed response of a target is the response to a call.

    Callers take some statuses as the promise that the request has not run, which the
    target has not given. The VM that sent a hop gets such a response, unless another
    attempt may have run: it replaces the response for its caller, and does not count
    it against this region.
    """
    if head.status not in DENIALS:
        return True
    return not may_hop and not progress.may_have_run


def is_denial(error):
    """Return whether a failed attempt ended with a status that denies a run."""
    is_response = isinstance(error, FailedResponseError)
    return is_response and error.response.head.status in DENIALS


def missing_target(progress):
    """Return the problem of a call that no target can take."""
    if progress.version is None:
        return "no target can take it"
    return "no target of the version that began the stream can take it"
