"""Delivery of a streamed response to the caller, counted in whole events.

If a target supports resuming, only whole events are delivered, so that another target
can continue the stream after the last one.
"""

from pollenmount.routing.request import Chunk

__all__ = ["Delivery"]

EVENT_END = b"\n\n"
MAX_BUFFERED_BYTES = 1 << 20
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
        """Yield the chunks, after the head if none was delivered yet."""
        head = next(parts)
        if self.head is None:
            self.head = head
            self.resumable = head.resume and head.status == STATUS_OK
            yield head
        if self.resumable:
            yield from self.deliver_whole_events(parts)
        else:
            yield from parts

    def deliver_whole_events(self, parts):
        """Yield chunks that end at the end of an event, and count the events.

        The last chunk of the response may end anywhere.
        """
        buffered = b""
        for chunk in parts:
            data = buffered + chunk.data if buffered else chunk.data
            if data.endswith(EVENT_END):
                buffered = b""
            else:
                data, buffered = split_events(data)
                if not data:
                    continue
            self.events += data.count(EVENT_END)
            yield Chunk(data)
        if buffered:
            yield Chunk(buffered)


def split_events(data):
    """Return the whole events in `data` and the rest.

    An incomplete event of more than `MAX_BUFFERED_BYTES` is returned as if whole, to
    limit memory.
    """
    end = data.rfind(EVENT_END) + len(EVENT_END)
    if end < len(EVENT_END):
        end = len(data) if len(data) > MAX_BUFFERED_BYTES else 0
    return data[:end], data[end:]
