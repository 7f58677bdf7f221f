"""Splits a stream of server-sent events into complete events."""

import re

__all__ = ["EventSplitter"]

EVENT_END = re.compile(rb"\r\n\r\n|\n\n")
ID_LINE = re.compile(rb"(?:^|\n)id:[ \t]*([0-9]{1,18})[ \t]*(?:\r|\n|$)")


class EventSplitter:
    """Buffers received bytes and returns complete events.

    `last_id` is the numeric id of the last event returned, None before the first.
    """

    def __init__(self, last_id=None):
        self.pending = b""
        self.last_id = last_id

    def feed(self, data):
        """Add received bytes; return those of the events now complete."""
        self.pending += data
        end = 0
        for match in EVENT_END.finditer(self.pending):
            self.record_id(self.pending[end : match.end()])
            end = match.end()
        complete, self.pending = self.pending[:end], self.pending[end:]
        return complete

    def record_id(self, event):
        """Store the id of an event, if it has one."""
        match = ID_LINE.search(event)
        if match:
            self.last_id = int(match[1])
