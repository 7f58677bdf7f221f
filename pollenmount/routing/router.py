"""Routes a call: queueing, choice of candidates, attempts and retries."""

from pollenmount.plans.plan import INTERACTIVE
from pollenmount.routing import pipeline
from pollenmount.routing.choose import Candidates

__all__ = ["Router"]


class Router:
    """Serves the calls of one node, with a new view for each attempt.

    `viewer`, `policy`, `attempter`, `breakers`, `budget` and `queue` are shared by all
    calls of the node; `sleep` waits for a number of milliseconds.
    """

    def __init__(self, viewer, policy, attempter, breakers, budget, queue, sleep):
        self.viewer = viewer
        self.policy = policy
        self.attempter = attempter
        self.breakers = breakers
        self.budget = budget
        self.queue = queue
        self.sleep = sleep

    def serve(
        self, call, may_forward=True, on_retry=lambda: None, on_start=lambda: None
    ):
        """Yield the parts of a response, or one `Refusal`.

        A call that was forwarded here has `may_forward` false. `on_start` is called
        when the call leaves the queue, `on_retry` before each further attempt.
        """
        self.budget.record_request()
        candidates = Candidates(
            self.viewer.take, self.policy, self.breakers.is_usable, may_forward
        )
        refusal = self.queue.wait(
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
            yield from pipeline.serve(call, candidates, self.attempter, retries)
        finally:
            self.queue.wake()
