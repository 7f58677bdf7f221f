"""Splits a stream of server-sent events into complete events."""

import re

from pollenmount.wire.errors import MalformedResponseError

__all__ = ["MAX_EVENT_BYTES", "EventSplitter"]

# An event carries a token or a few, or a short result. The longest output of an engine
# in one event, 100,000 tokens of 10 bytes, still fits.
MAX_EVENT_BYTES = 1 << 20
EVENT_END = re.compile(rb"\r\n\r\n|\n\n")
# Bytes of an event's end that may have arrived before its last one.
EVENT_END_OVERLAP_BYTES = 3
ID_LINE = re.compile(rb"(?:^|\n)id:[ \t]*([0-9]{1,18})[ \t]*(?:\r|\n|$)")


class EventSplitter:
    """Buffers received bytes and returns complete events.

    `pending` has the bytes of the event that is incomplete. `last_id` is the numeric id
    of the last event returned, None before the first.
    """

    def __init__(self, last_id=None):
        self.pending = bytearray()
        self.last_id = last_id

    def feed(self, data):
        """Add received bytes; return those of the events now complete.

        Raises `MalformedResponseError` if the incomplete event was too long already.
        """
        if len(self.pending) > MAX_EVENT_BYTES:
            raise MalformedResponseError("event of the stream too long")
        if not self.pending:
            complete = self.take_events(data)
            self.pending += data[len(complete) :]
            return complete
        # The time may not grow with the bytes that were searched before.
        search_start = max(0, len(self.pending) - EVENT_END_OVERLAP_BYTES)
        self.pending += data
        complete = bytes(self.take_events(self.pending, search_start))
        del self.pending[: len(complete)]
        return complete

    def take_events(self, received, search_start=0):
        """Return the start of `received` that is complete; store the events' ids."""
        end = 0
        for match in EVENT_END.finditer(received, search_start):
            self.record_id(received[end : match.end()])
            end = match.end()
        return received[:end]

    def record_id(self, event):
        """Store the id of an event, if it has one."""
        match = ID_LINE.search(event)
        if match:
            self.last_id = int(match[1])
