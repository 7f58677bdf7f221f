"""Links to other replicas: one call at a time, with all queued messages in it."""

import collections

from result import Err, Ok

from pollenmount import task
from pollenmount.consensus.calls import Exchange, encode_message
from pollenmount.log import get_logger

__all__ = ["ReplicaLink"]

CALL_TIMEOUT_MS = 1000
MIN_BYTES_PER_MS = 1000
MAX_QUEUED_MESSAGES = 256

logger = get_logger("consensus")


class ReplicaLink:
    """Sends the messages of one group to one other replica.

    `deliver` is called with the `Exchange` that the replica returns. Messages may be
    lost: by a failed call, and the oldest when the queue is full.
    """

    def __init__(self, control, group, me, to, deliver):
        self.control = control
        self.group = group
        self.me = me
        self.to = to
        self.deliver = deliver
        self.queue = collections.deque(maxlen=MAX_QUEUED_MESSAGES)
        self.is_sending = False
        self.problem = ""

    def push(self, messages):
        """Queue messages for the next call."""
        self.queue.extend(messages)
        if not self.is_sending:
            self.is_sending = True
            task.spawn(self.run)

    def run(self):
        """Send queued messages until the queue is empty."""
        try:
            while self.queue:
                self.send(tuple(encode_message(message) for message in self.queue))
        finally:
            self.is_sending = False

    def send(self, encoded):
        """Send messages in one call and deliver the messages in its reply."""
        self.queue.clear()
        exchange = Exchange(self.group, self.me, self.to, encoded)
        size = sum(len(message.body) for message in encoded)
        timeout_ms = CALL_TIMEOUT_MS + size // MIN_BYTES_PER_MS
        reply = self.control.call(self.to.address, exchange, timeout_ms)
        self.log_reachability(reply)
        if isinstance(reply, Ok):
            self.deliver(reply.ok_value)

    def log_reachability(self, reply):
        """Log when calls to the replica start to fail, and when they succeed again."""
        problem = reply.err_value.problem if isinstance(reply, Err) else ""
        if bool(problem) != bool(self.problem):
            extra = {"group": self.group, "replica": self.to.name, "problem": problem}
            if problem:
                logger.info("replica unreachable", extra=extra)
            else:
                logger.info("replica reachable", extra=extra)
        self.problem = problem
