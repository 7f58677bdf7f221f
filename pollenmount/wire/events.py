"""Splits a stream of server-sent events into complete events, and checks them."""

import re

from pollenmount.wire.errors import MalformedResponseError

__all__ = ["EVENT_STREAM", "MAX_EVENT_BYTES", "EventSplitter", "count_events"]

# The media type of server-sent events.
EVENT_STREAM = "text/event-stream"
# An event carries a token or a few, or a short result. The longest output of an engine
# in one event, 100,000 tokens of 10 bytes, still fits.
MAX_EVENT_BYTES = 1 << 20
EVENT_END = re.compile(rb"\r\n\r\n|\n\n")
# Bytes of an event's end that may have arrived before its last one.
EVENT_END_OVERLAP_BYTES = 3
ID_LINE = re.compile(rb"(?:^|\n)id:[ \t]*([0-9]{1,18})[ \t]*(?:\r|\n|$)")
# A line is a field, with or without a value, a comment, or empty.
EVENT = re.compile(rb"(?:[A-Za-z0-9_-]*(?::[^\n]*)?\r?\n)+")
COMMENTS = re.compile(rb"(?::[^\n]*\n|\r?\n)+")


class EventSplitter:
    """Buffers received bytes and returns complete events.

    `pending` has the bytes of the event that is incomplete, `count` is the number of
    events returned, and `last_id` the numeric id of the last one, None before the
    first. If `is_checked`, what has not the syntax of an event is an error; if
    `is_numbered`, so is an event without a higher id than the one before. `problem` is
    the first error: the events before it are returned, nothing after it.
    """

    def __init__(self, last_id=None, is_checked=False, is_numbered=False):
        self.pending = bytearray()
        self.last_id = last_id
        self.is_checked = is_checked
        self.is_numbered = is_numbered
        self.count = 0
        self.problem = ""

    def feed(self, data):
        """Add received bytes; return those of the events now complete.

        Raises `MalformedResponseError` if there was a problem before, or the incomplete
        event was too long already.
        """
        if len(self.pending) > MAX_EVENT_BYTES:
            self.problem = "event of the stream too long"
        self.raise_problem()
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
            event = received[end : match.end()]
            self.problem = self.find_problem(event)
            if self.problem:
                break
            self.record_id(event)
            self.count += 1
            end = match.end()
        return received[:end]

    def find_problem(self, event):
        """Return why the next event must not be passed on, or ''."""
        if self.is_checked and not EVENT.fullmatch(event):
            return "bytes in the stream that are no event"
        if self.is_numbered and self.last_id is not None:
            number = read_id(event)
            if number is None and not COMMENTS.fullmatch(event):
                return "an event without a number follows numbered ones"
            if number is not None and number <= self.last_id:
                return "an event that was delivered before comes again"
        return ""

    def record_id(self, event):
        """Store the id of an event, if it has one."""
        number = read_id(event)
        if number is not None:
            self.last_id = number

    def raise_problem(self):
        """Raise `MalformedResponseError` if an error followed the last events."""
        if self.problem:
            raise MalformedResponseError(self.problem)

    def finish(self):
        """Return the bytes after the last event of a body that has ended.

        Raises `MalformedResponseError` if they can't be the start of an event.
        """
        self.raise_problem()
        rest = bytes(self.pending)
        if rest and self.is_checked and not EVENT.fullmatch(rest + b"\n"):
            raise MalformedResponseError("the stream ends in bytes that are no event")
        return rest


def count_events(data):
    """Return the number of events in bytes that end with an event."""
    return len(EVENT_END.findall(data))


def read_id(event):
    """Return the numeric id of an event, None if it has none."""
    match = ID_LINE.search(event)
    return int(match[1]) if match else None
