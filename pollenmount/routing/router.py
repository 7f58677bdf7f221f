"""Routes a call: queueing, choice of candidates, attempts and retries."""

from pollenmount.plans.plan import INTERACTIVE
from pollenmount.routing import pipeline
from pollenmount.routing.choose import Candidates
from pollenmount.routing.crash_guard import GuardedAttempter

__all__ = ["Router"]


class Router:
    """Serves the calls of one node, with a new view for each attempt.

    `viewer`, `policy`, `attempter`, `breakers`, `budget` and `queue` are shared by all
    calls of the node; `sleep` waits for a number of milliseconds. `guard` is the
    `CrashGuard`, None to run without one.
    """

    def __init__(
        self, viewer, policy, attempter, breakers, budget, queue, sleep, guard=None
    ):
        self.viewer = viewer
        self.policy = policy
        self.attempter = attempter
        self.breakers = breakers
        self.budget = budget
        self.queue = queue
        self.sleep = sleep
        self.guard = guard

    def serve(
        self, call, may_forward=True, on_retry=lambda: None, on_start=lambda: None
    ):
        """Yield the parts of a response, or one `Refusal`.

        A call that was forwarded here has `may_forward` false. `on_start` is called
        when the call leaves the queue, `on_retry` before each further attempt.
        """
        self.budget.record_request()
        attempter = self.make_attempter(call)
        candidates = Candidates(
            self.viewer.take, self.policy, self.breakers.is_usable, may_forward
        )
        refusal = attempter.find_refusal() or self.queue.wait(
            call,
            lambda: candidates.has_capacity(call),
            lambda ahead: candidates.wait_ms(call, ahead),
        )
        if refusal:
            yield refusal
            return
        on_start()
        if self.queue.is_urgent(call):
            call = call._replace(class_=INTERACTIVE)
        retries = pipeline.Retries(
            self.budget, self.sleep, self.policy.random, on_retry
        )
        try:
            yield from pipeline.serve(call, candidates, attempter, retries)
        finally:
            self.queue.wake()

    def make_attempter(self, call):
        """Return what runs the attempts of one call."""
        if self.guard is None:
            return self.attempter
        return GuardedAttempter(self.guard, self.attempter, call, self.sleep)
