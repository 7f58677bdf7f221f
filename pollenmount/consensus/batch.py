"""What waits in the inbox of a replica, and the state after a batch is stepped."""

from typing import NamedTuple

from pollenmount import task
from pollenmount.consensus.calls import Exchange
from pollenmount.consensus.raft import step

__all__ = ["Incoming", "Proposal", "ReadBarrier", "Transition"]


class Incoming(NamedTuple):
    """Messages of another replica; `reply` is sent those that go back, or is None."""

    exchange: Exchange
    reply: task.Event | None


class Proposal(NamedTuple):
    """A command of this node's; `done` is sent its `ProposeReply`."""

    kind: str
    body: bytes
    done: task.Event


class ReadBarrier(NamedTuple):
    """A linearizable read; `done` is sent whether it was confirmed."""

    done: task.Event


class Transition:
    """Steps on top of a state, and their effects, before anything is saved."""

    def __init__(self, state, now):
        self.state = state
        self.now = now
        self.effects = []

    def step(self, message):
        """Take one step more."""
        self.state, effects = step(self.state, message, self.now)
        self.effects.extend(effects)
