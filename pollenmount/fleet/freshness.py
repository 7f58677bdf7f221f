"""How long ago this VM last heard from the control VMs that it is linked to."""

__all__ = ["LinkFreshness"]


class LinkFreshness:
    """Times at which messages of control VMs were handled, by source, in `heard_at`.

    A message may have been sent long before: after a VM stood still, it handles what
    was buffered meanwhile, so `read_delay_ms` returns how long that may have waited.
    Only an answer to a question of this VM proves more.
    """

    def __init__(self, clock, read_delay_ms=lambda: 0):
        self.clock = clock
        self.read_delay_ms = read_delay_ms
        self.heard_at = {}
        self.newest_at = None

    def record(self, source):
        """Record that a message of a control VM was handled."""
        sent_at = self.clock.now() - self.read_delay_ms()
        self.heard_at[source] = sent_at
        self.newest_at = max(sent_at, self.newest_at or sent_at)

    def forget(self, source):
        """Drop a link that has ended; the newest message still counts."""
        self.heard_at.pop(source, None)

    def age_ms(self):
        """Return the time since the newest message on any link, None before one."""
        return None if self.newest_at is None else self.clock.now() - self.newest_at
