"""Keys seen within a while, and a limit on how often something is reported."""

import collections

__all__ = ["RecentKeys", "ReportLimit"]


class RecentKeys:
    """The last `max_keys` keys that were seen, each for `ttl_ms`.

    `seen_at` has when each was seen last, the oldest first.
    """

    def __init__(self, clock, max_keys, ttl_ms):
        self.clock = clock
        self.max_keys = max_keys
        self.ttl_ms = ttl_ms
        self.seen_at = collections.OrderedDict()

    def add(self, key):
        """Record that a key is seen now."""
        self.seen_at[key] = self.clock.now()
        self.seen_at.move_to_end(key)
        if len(self.seen_at) > self.max_keys:
            self.seen_at.popitem(last=False)

    def __contains__(self, key):
        """Return whether a key was seen within `ttl_ms`."""
        seen_at = self.seen_at.get(key)
        return seen_at is not None and self.clock.now() - seen_at < self.ttl_ms


class ReportLimit:
    """Allows `max_reports` reports within `window_ms`."""

    def __init__(self, clock, max_reports, window_ms):
        self.clock = clock
        self.window_ms = window_ms
        self.reported_at = collections.deque(maxlen=max_reports)

    def try_acquire(self):
        """Return whether another report may be made now; count it if so."""
        now, reported_at = self.clock.now(), self.reported_at
        is_full = len(reported_at) == reported_at.maxlen
        if is_full and now - reported_at[0] < self.window_ms:
            return False
        reported_at.append(now)
        return True
