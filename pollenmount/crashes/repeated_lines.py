"""Bounds the log lines on what repeats many times a second."""

import collections

__all__ = ["RepeatedLines"]

INTERVAL_MS = 1000
MAX_KEYS = 4096


class LinesOfKey:
    """When a line was logged for a key last, and what was not logged since.

    `count` is the number of repeats since then, and `fields` are those of the last one.
    """

    def __init__(self, logged_at):
        self.logged_at = logged_at
        self.count = 0
        self.fields = None


class RepeatedLines:
    """Logs the first line of a key at once, and further ones together.

    `log` is called with the fields of a line. Its field `count` is the number of events
    that the line stands for, the others are those of the last of them. There is one
    line for each key and interval, and no event is left out while `sweep` is called.
    `keys` has the `LinesOfKey` by key, the one logged first at the beginning.
    """

    def __init__(self, clock, log):
        self.clock = clock
        self.log = log
        self.keys = collections.OrderedDict()

    def add(self, key, fields):
        """Log an event, or count it for a later line."""
        lines = self.keys.get(key)
        if lines is None:
            self.make_room()
            self.keys[key] = LinesOfKey(self.clock.now())
            self.log({**fields, "count": 1})
            return
        lines.count += 1
        lines.fields = fields
        if self.is_due(lines):
            self.end(key)

    def sweep(self):
        """Log what was counted in intervals that are over."""
        while self.keys and self.is_due(next(iter(self.keys.values()))):
            self.end(next(iter(self.keys)))

    def is_due(self, lines):
        """Return whether the interval of a key is over."""
        return self.clock.now() - lines.logged_at >= INTERVAL_MS

    def end(self, key):
        """End the interval of a key; another one begins if there is a line to log."""
        lines = self.keys.pop(key)
        if lines.count:
            self.keys[key] = LinesOfKey(self.clock.now())
            self.log({**lines.fields, "count": lines.count})

    def make_room(self):
        """Drop the oldest key beyond the bound, with a line for what was counted."""
        if len(self.keys) >= MAX_KEYS:
            _, lines = self.keys.popitem(last=False)
            if lines.count:
                self.log({**lines.fields, "count": lines.count})
