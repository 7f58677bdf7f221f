"""Requests in the inbox of a replica, and the result of stepping a batch of them."""

from typing import NamedTuple

from pollenmount import task
from pollenmount.consensus.calls import Exchange
from pollenmount.consensus.raft import step

__all__ = ["Incoming", "Proposal", "ReadBarrier", "Transition"]


class Incoming(NamedTuple):
    """Messages from another replica.

    `reply` receives the messages for that replica if it called, and is None if these
    messages are the reply to a call of this node.
    """

    exchange: Exchange
    reply: task.Event | None


class Proposal(NamedTuple):
    """A command proposed through this node; `done` receives its `ProposeReply`."""

    kind: str
    body: bytes
    done: task.Event


class ReadBarrier(NamedTuple):
    """A linearizable read; `done` receives whether leadership was confirmed."""

    done: task.Event


class Transition:
    """The state and the effects after the steps of a batch, before they are saved."""

    def __init__(self, state, now):
        self.state = state
        self.now = now
        self.effects = []

    def step(self, message):
        """Step the state through one message and collect the effects."""
        self.state, effects = step(self.state, message, self.now)
        self.effects.extend(effects)
