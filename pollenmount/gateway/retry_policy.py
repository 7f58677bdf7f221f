"""Decides whether a failed attempt is followed by another one.

That must be safe, within the limits of the route and of the call, and within the retry
budget.
"""

import contextlib

from pollenmount.gateway.hop import HopRefusedError, PeerNotReadyError
from pollenmount.log import get_logger
from pollenmount.retry_budget import RetryBudget
from pollenmount.wire.errors import ConnectError, PeerUnreachableError

__all__ = ["RESERVE_AFTER_MS", "RetryPolicy", "make_budget", "may_have_arrived"]

MAX_SENDS = 5
# TCP gives up a peer that acknowledges nothing for 1.8 s, or nothing of which arrives,
# no reply to a keepalive probe either, for 2 s.
RESERVE_AFTER_MS = 1500
MIN_REMAINING_MS = 30

logger = get_logger("calls")


def make_budget(settings, fleet, clock, running=None):
    """Return the `RetryBudget` of an entry VM that starts now.

    `running` is as in `RetryBudget`.
    """
    limits = settings.bounds.retry_limits
    slack_from = clock.now() + limits.window_ms
    share = fleet.entry_counter.share
    return RetryBudget(clock, limits, share, slack_from, running)


class RetryPolicy:
    """Rules for further attempts of a call; `budget` is the VM's `RetryBudget`."""

    def __init__(self, budget, clock):
        self.budget = budget
        self.clock = clock

    def reason_to_stop(self, call, progress, error):
        """Return why no further attempt is made, or None; count one that is."""
        reason = self.reason_without_budget(call, progress, error)
        if reason:
            return reason
        if may_have_arrived(error) and not self.acquire(call):
            return "the retry budget is exhausted"
        return None

    def reason_without_budget(self, call, progress, error):
        """Return why no further attempt is made whatever the budget allows, or None."""
        return self.reason_not_to_retry(call, progress, error) or self.reason_of_limits(
            call, progress, progress.runs
        )

    def acquire(self, call):
        """Return whether the budget allows one more retry, count it, and log both."""
        is_allowed = self.budget.try_acquire(call.service)
        logger.info(
            "retry allowed" if is_allowed else "retry refused",
            extra={
                "request": call.id,
                "service": call.service,
                "used": self.budget.used(call.service),
                "allowed": self.budget.allowed(call.service),
                "share": self.budget.share(),
            },
        )
        return is_allowed

    def reason_of_limits(self, call, progress, runs):
        """Return which limit forbids another attempt after `runs` runs, or None."""
        if runs >= call.route.attempts:
            return "the attempts of the route are used up"
        if progress.sends >= MAX_SENDS:
            return "the limit of attempts per call is reached"
        if call.deadline - self.clock.now() < MIN_REMAINING_MS:
            return "the deadline leaves no time for another attempt"
        return None

    def may_replace_attempt(self, call, progress, stalled_ms, has_other_option):
        """Return whether another attempt can replace one that makes no progress.

        A silent target or path may recover, so ending a response that nothing else can
        complete does not help its caller. Many attempts may stall at once, so each
        needs a reserved retry before TCP can give up its peer. `has_other_option` tells
        whether a target or region is left to choose.
        """
        lost = PeerUnreachableError("the path to the target is silent")
        if self.reason_not_to_retry(call, progress, lost) or self.reason_of_limits(
            call, progress, progress.runs + 1
        ):
            return False
        if stalled_ms < RESERVE_AFTER_MS:
            return True
        if progress.retry_reserved and self.budget.covers_reserved(call.service):
            return True
        self.release(call, progress)
        progress.retry_reserved = has_other_option() and self.budget.reserve(
            call.service
        )
        return progress.retry_reserved

    @contextlib.contextmanager
    def reservation(self, call, progress):
        """End the reservation of a retry when the attempt ends."""
        try:
            yield
        finally:
            self.release(call, progress)

    def release(self, call, progress):
        """End the reservation of a retry, if there is one."""
        if progress.retry_reserved:
            progress.retry_reserved = False
            self.budget.release(call.service)

    def reason_not_to_retry(self, call, progress, error):
        """Return why another attempt is unsafe, or None.

        It could run the request twice or mix the events of two runs.
        """
        if not (error.not_run or call.route.may_retry):
            return "it may have run and must not be repeated"
        if progress.head and (not call.route.resumable or progress.last_id is None):
            return "the stream broke off and cannot be resumed"
        return None


def may_have_arrived(error):
    """Return whether a failed attempt may have reached a target."""
    if isinstance(error, HopRefusedError):
        return not error.not_run or error.sends > 0
    return not isinstance(error, ConnectError | PeerNotReadyError)
