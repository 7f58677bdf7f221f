"""Watches attempts at targets, and tells which of them a target may have crashed of."""

from pollenmount.crashes.attempt_watch import AttemptWatch

__all__ = ["CrashWatcher"]


class CrashWatcher:
    """Records how attempts end, and asks whether their targets have crashed.

    `probe` tells which targets are up, and `is_leaving` whether a target, by the
    destination of an attempt, was about to end, so that it ends without a crash.
    `on_crash` is called with each `WatchedAttempt` that its target may have crashed of
    and with the time of the crash, and `on_survived` with each that its target has
    survived. `attempts` is the `AttemptWatch`.

    The progress of a call, which some methods take, has the number of its `sends`, and
    whether the target of the last one has `crashed`, None if nothing asked.
    """

    def __init__(self, clock, probe, is_leaving, on_crash, on_survived):
        self.is_leaving = is_leaving
        self.on_crash = on_crash
        self.attempts = AttemptWatch(clock, probe, self.report_crash, on_survived)

    def end_not_run(self, attempt, is_refused):
        """Record that a target did not run an attempt.

        `is_refused` tells that nothing listens at its address, so it has crashed.
        """
        self.attempts.drop(attempt)
        if is_refused:
            self.attempts.handle_crash(attempt.start)

    def end_failed(self, attempt, progress, is_answered, is_late, is_broken):
        """Record that an attempt has failed; ask whether its target has crashed.

        `is_answered` tells that the target answered with a failure, `is_late` that it
        had begun to answer before, and `is_broken` that it closed the connection.
        """
        has_crashed = self.attempts.end(
            attempt,
            is_answered=is_answered,
            is_late=is_late or not is_broken,
            is_broken=is_broken,
        )
        if has_crashed:
            progress.crashed = True
        elif is_broken and not self.is_leaving(attempt.destination):
            self.look_for_crash(attempt, progress)

    def look_for_crash(self, attempt, progress):
        """Find out whether a target has crashed, now or a little later."""
        number = progress.sends

        def record_crash():
            if progress.sends == number:
                progress.crashed = True
            self.attempts.handle_crash(attempt.start, attempt.ended_at)

        progress.crashed = False
        if self.attempts.probe.has_crashed(attempt.destination, record_crash):
            record_crash()

    def report_crash(self, attempt, crashed_at):
        """Report that a target crashed, maybe of an attempt, unless it was to leave."""
        if not self.is_leaving(attempt.destination):
            self.on_crash(attempt, crashed_at)

    def sweep(self):
        """Tell which attempts were survived, and look for targets that have crashed."""
        self.attempts.sweep()
