"""Splits a stream of server-sent events into whole events with their numbers."""

import re

__all__ = ["EventSplitter"]

EVENT_END = re.compile(rb"\r\n\r\n|\n\n")
ID_LINE = re.compile(rb"(?:^|\n)id:[ \t]*([0-9]{1,18})[ \t]*(?:\r|\n|$)")


class EventSplitter:
    """Takes bytes as they come and gives back whole events.

    `last_id` is the number of the last event given back, None before the first.
    """

    def __init__(self, last_id=None):
        self.pending = b""
        self.last_id = last_id

    def feed(self, data):
        """Return the bytes of the events that are whole by now."""
        self.pending += data
        end = 0
        for match in EVENT_END.finditer(self.pending):
            self.record_id(self.pending[end : match.end()])
            end = match.end()
        complete, self.pending = self.pending[:end], self.pending[end:]
        return complete

    def record_id(self, event):
        """Remember the number of an event."""
        match = ID_LINE.search(event)
        if match:
            self.last_id = int(match[1])
