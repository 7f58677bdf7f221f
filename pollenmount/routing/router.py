"""Takes one call from its limits to its answer."""

from pollenmount.routing import pipeline
from pollenmount.routing.choose import Candidates

__all__ = ["Router"]


class Router:
    """The decisions of one node, over a new view for each attempt.

    `viewer`, `policy`, `attempter`, `health` and `budget` are those of the node;
    `pause` lets a number of milliseconds pass.
    """

    def __init__(self, viewer, policy, attempter, health, budget, pause):
        self.viewer = viewer
        self.policy = policy
        self.attempter = attempter
        self.health = health
        self.budget = budget
        self.pause = pause

    def serve(self, call, remote=True, on_retry=lambda: None):
        """Yield the parts of an answer, or one `Refusal`.

        A call that was forwarded here gets `remote` false.
        """
        self.budget.deposit()
        candidates = Candidates(
            self.viewer.take, self.policy, self.health.usable, remote
        )
        retries = pipeline.Retries(self.budget, self.pause, on_retry)
        return pipeline.serve(call, candidates, self.attempter, retries)
