"""Attempts that targets have, or had until a while ago, for when a target crashes.

A target may crash because of a request that it has answered, or whose caller has left.
An attempt is watched beyond its end, until its target has survived it.
"""

__all__ = ["ANSWERED_AFTERMATH_MS", "RESTART_MS", "AttemptWatch", "WatchedAttempt"]

# Time after an answer in which its target may crash because of the request. What has
# many answers a second would be blamed for each crash if it was longer.
ANSWERED_AFTERMATH_MS = 500
# The same after an attempt that this VM ended, whose request may still run.
UNANSWERED_AFTERMATH_MS = 2000
# A supervisor starts a target again within seconds; its first heartbeat may be late.
RESTART_MS = 10_000
MAX_WATCHED = 4096


class WatchedAttempt:
    """An attempt at a target to run a call; `digest` is that of its request.

    `call` has an `id`, and `destination` the `target_id` and the `incarnation` of the
    target, and what the probe needs to find it.

    `ended_at` is None while it runs. `is_answered` is whether it ended with a whole
    answer, `is_served` whether that was no failure. `is_late` is whether a crash now
    comes after the target began to answer, or after this VM had ended the attempt.
    """

    def __init__(self, call, digest, destination):
        self.call = call
        self.digest = digest
        self.destination = destination
        self.ended_at = None
        self.is_answered = False
        self.is_served = False
        self.is_late = False

    @property
    def start(self):
        """Return what identifies the start of the target: its id, and when it was."""
        return self.destination.target_id, self.destination.incarnation

    @property
    def watched_until(self):
        """Return until when a crash may come from this attempt, which has ended."""
        if self.is_answered:
            return self.ended_at + ANSWERED_AFTERMATH_MS
        return self.ended_at + UNANSWERED_AFTERMATH_MS


class TargetStart:
    """One start of a target: its `attempts`, and what is known of its end.

    `answered_at` is when it answered last, `broken_at` when it first broke off an
    attempt since, and `crashed_at` when it crashed, at the earliest; they are None if
    it did not. `used_at` is when an attempt was sent last.
    """

    def __init__(self):
        self.attempts = []
        self.used_at = 0
        self.answered_at = None
        self.broken_at = None
        self.crashed_at = None

    def record_crash(self, oldest):
        """Record a crash that was not before `oldest`, nor before the last answer."""
        if self.crashed_at is None:
            earliest = max(oldest, self.answered_at or oldest)
            self.crashed_at = max(earliest, self.broken_at or earliest)


class AttemptWatch:
    """The attempts of this VM, in `starts` by the start of their target.

    `on_crash` is called with each `WatchedAttempt` that its target may have crashed of
    and with the time of the crash, and `on_survived` with each that its target has
    survived. `probe` tells which targets are up. `count` is the number of attempts.
    """

    def __init__(self, clock, probe, on_crash, on_survived):
        self.clock = clock
        self.probe = probe
        self.on_crash = on_crash
        self.on_survived = on_survived
        self.starts = {}
        self.count = 0

    def begin(self, call, digest, destination):
        """Watch an attempt that is sent now; return its `WatchedAttempt`."""
        attempt = WatchedAttempt(call, digest, destination)
        start = self.starts.setdefault(attempt.start, TargetStart())
        start.used_at = self.clock.now()
        if self.count < MAX_WATCHED:
            start.attempts.append(attempt)
            self.count += 1
        return attempt

    def end(
        self, attempt, is_answered=False, is_served=False, is_late=True, is_broken=False
    ):
        """Record the end of an attempt; return whether its target crashed before.

        `is_broken` tells that the target closed the connection before it had answered.
        """
        now = attempt.ended_at = self.clock.now()
        attempt.is_answered = is_answered
        attempt.is_served = is_served
        attempt.is_late = is_late
        start = self.starts.get(attempt.start)
        if start is None:
            return False
        if is_answered:
            start.answered_at, start.broken_at = now, None
        elif is_broken and start.broken_at is None:
            start.broken_at = now
        if start.crashed_at is None:
            return False
        self.blame(start, attempt)
        return True

    def drop(self, attempt):
        """Watch an attempt no longer, such as one that its target did not run."""
        start = self.starts.get(attempt.start)
        if start is not None and attempt in start.attempts:
            start.attempts.remove(attempt)
            self.count -= 1

    def forget(self, key):
        """Watch a start of a target no longer."""
        start = self.starts.pop(key, None)
        if start is not None:
            self.count -= len(start.attempts)

    def blame(self, start, attempt):
        """Tell of an attempt that its target may have crashed of, once."""
        self.drop(attempt)
        self.on_crash(attempt, start.crashed_at)

    def handle_start(self, is_replaced):
        """Learn that a target has started; `is_replaced` tells whether of another one.

        It takes the destination of an attempt.
        """
        for key, start in [*self.starts.items()]:
            if any(is_replaced(a.destination) for a in start.attempts[:1]):
                self.handle_crash(key)

    def handle_crash(self, key, at=None):
        """Blame what a target had when it crashed, or until shortly before.

        The crash was not before `at`. What still runs is blamed when it ends.
        """
        start = self.starts.get(key)
        if start is None:
            return
        if at is None:
            at = self.clock.now() - RESTART_MS
        start.record_crash(at)
        # The newest first: reports are bounded, and it is the likeliest cause.
        for attempt in reversed([*start.attempts]):
            if attempt.ended_at is None:
                continue
            if attempt.watched_until >= start.crashed_at:
                self.blame(start, attempt)

    def sweep(self):
        """Tell which attempts were survived, and look for targets that have crashed."""
        now = self.clock.now()
        for key, start in [*self.starts.items()]:
            ended = [a for a in start.attempts if a.ended_at is not None]
            if ended:
                self.settle(start, ended)
            elif not start.attempts and now - start.used_at > RESTART_MS:
                del self.starts[key]

    def settle(self, start, attempts):
        """Tell which of the attempts that have ended their target has survived."""
        now = self.clock.now()
        newest = attempts[-1]
        up_since = self.probe.up_since(newest.destination)
        if up_since is None and now < newest.watched_until:
            self.look_for_crash(newest)
        for attempt in attempts:
            is_over = now >= attempt.watched_until
            if is_over and up_since is not None and up_since <= attempt.ended_at:
                self.drop(attempt)
                self.on_survived(attempt)
            elif now - attempt.ended_at >= RESTART_MS:
                self.drop(attempt)

    def look_for_crash(self, attempt):
        """Ask whether a target is up of which all connections were closed."""

        def on_crash():
            self.handle_crash(attempt.start)

        probe, destination = self.probe, attempt.destination
        has_lost = probe.has_lost_connections(destination)
        if has_lost and probe.has_crashed(destination, on_crash):
            on_crash()
