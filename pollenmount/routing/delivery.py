"""Delivery of a streamed response to the caller, counted in whole events.

If a target supports resuming, another one can continue the stream after the last event
that was delivered.
"""

from pollenmount.stream_continuation import find_mismatch
from pollenmount.targets.upstream import UpstreamError
from pollenmount.wire.events import count_events

__all__ = ["Delivery"]

STATUS_OK = 200


class Delivery:
    """Delivers one response, whose parts may come from several targets.

    `head` is None until something was delivered. `events` counts whole events,
    including those that were delivered before this attempt.
    """

    def __init__(self, events=0):
        self.head = None
        self.events = events
        self.resumable = False

    def deliver(self, parts):
        """Yield the chunks, after the head if none was delivered yet.

        Raises `UpstreamError` if the response does not go on with the one before.
        """
        head = next(parts)
        if self.head is None:
            self.head = head
            self.resumable = head.resume and head.status == STATUS_OK
            yield head
        elif mismatch := find_mismatch(self.head, head):
            raise UpstreamError(mismatch)
        for chunk in parts:
            self.events += count_events(chunk.data)
            yield chunk
