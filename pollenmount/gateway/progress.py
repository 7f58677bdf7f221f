"""What happened to one call so far, and the watch on the answer that comes."""

from pollenmount.gateway.attempt import ResponseObserver

__all__ = ["CallObserver", "Progress"]


class Progress:
    """What happened to one call so far.

    `runs` counts attempts that may have run, `sends` all of them; `tried` names the
    targets and VMs; `answer` is the last failure that a target answered; `last_id` the
    number of the last event delivered. `first_at` and `last_at` are when the first and
    the last part of the answer came, `longest_gap_ms` the longest time between two;
    `waited_ms` how long the call waited to be sent.
    """

    def __init__(self, call):
        self.runs = 0
        self.sends = 0
        self.tried = set()
        self.failures = []
        self.answer = None
        self.started = None
        self.last_id = call.resume_after
        self.retry_after_ms = 0
        self.destination = None
        self.first_at = None
        self.last_at = None
        self.longest_gap_ms = 0
        self.waited_ms = 0

    def note_part(self, now):
        """Note that a part of the answer came."""
        if self.first_at is None:
            self.first_at = now
        else:
            self.longest_gap_ms = max(self.longest_gap_ms, now - self.last_at)
        self.last_at = now


class CallObserver(ResponseObserver):
    """Notes when an answer begins, and how far a stream was delivered."""

    def __init__(
        self, dispatcher, progress, destination, call, *, end_reading, expected_at
    ):
        self.dispatcher = dispatcher
        self.progress = progress
        self.destination = destination
        self.call = call
        self.end_reading = end_reading
        self.expected_at = expected_at
        self.begun = False

    def on_first_byte(self):
        """Learn from the first byte; later ones tell nothing."""
        if not self.begun:
            self.begun = True
            self.end_reading()
            late_ms = self.dispatcher.clock.now() - self.expected_at
            self.dispatcher.note_first_byte(self.destination, self.call, late_ms)

    def on_delivered(self, event_id):
        """Remember from where another target would go on."""
        self.progress.last_id = event_id
