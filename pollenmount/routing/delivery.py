"""What of a streamed answer was delivered, counted in whole events.

From a target that can resume, only whole events are passed on, so that another one can
go on after the last.
"""

from pollenmount.routing.request import Chunk

__all__ = ["Delivery"]

EVENT_END = b"\n\n"
MAX_BUFFERED_BYTES = 1 << 20
STATUS_OK = 200


class Delivery:
    """Passes on the parts of one answer, whichever targets they come from.

    `head` is None before anything was delivered; `events` counts whole ones, those that
    were delivered before included.
    """

    def __init__(self, events=0):
        self.head = None
        self.events = events
        self.resumable = False

    def deliver(self, parts):
        """Yield the head, unless one was delivered, and the chunks."""
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
        """Yield chunks that end with an event; count the events."""
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
    """Return the whole events in `data` and the rest."""
    end = data.rfind(EVENT_END) + len(EVENT_END)
    if end < len(EVENT_END):
        end = len(data) if len(data) > MAX_BUFFERED_BYTES else 0
    return data[:end], data[end:]
