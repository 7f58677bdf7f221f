"""Keeps calls that crash targets from being sent on, by their request or its prompt."""

import contextlib

from pollenmount.crashes.request_guard import VERDICT_WAIT_MS, RequestGuard
from pollenmount.crashes.trial_turns import TrialTurns
from pollenmount.crashes.watcher import CrashWatcher
from pollenmount.fleet.messages import (
    RequestsCrashed,
    TargetGone,
    TargetLeaving,
    TargetSeen,
    TrialBegan,
)
from pollenmount.fleet.observations import RESPONSE
from pollenmount.gateway.attempt import NO_CRASH_ERRORS, FailedResponseError
from pollenmount.gateway.dialect import shared_ids
from pollenmount.gateway.prompt_guard import PromptGuard
from pollenmount.gateway.request_evidence import RequestEvidence
from pollenmount.wire.errors import ConnectRefusedError, ExchangeError

__all__ = ["CrashGuard"]

# A connection within a region takes a few milliseconds.
PATHS_INTERVAL_MS = 5


class CrashGuard:
    """Watches attempts for crashes, and lets the guards of this VM report them.

    `prompts` is its `PromptGuard` and `requests` its `RequestGuard`. `probe` tells
    which targets are up, and `paths` whether this VM reaches any. `attempts` is the
    `AttemptWatch`. `name` is that of this VM, which has its own turns to try what was
    in quarantine.
    """

    def __init__(self, fleet, clock, metrics, probe, paths, name):
        self.fleet = fleet
        self.clock = clock
        self.paths = paths
        self.probe = probe
        self.prompts = PromptGuard(fleet, clock, metrics)
        self.evidence = RequestEvidence(fleet, metrics)
        self.requests = RequestGuard(fleet.request_quarantine, self.evidence, clock)
        self.request_turns, self.prompt_turns = (
            TrialTurns(quarantine, clock, name, fleet.entry_counter.entries)
            for quarantine in (fleet.request_quarantine, fleet.part_quarantine)
        )
        self.watcher = CrashWatcher(
            clock, probe, self.is_leaving, self.report_crash, self.record_survived
        )
        self.attempts = self.watcher.attempts
        fleet.listeners.append(self.handle_change)

    def handle_change(self, message, source):
        """Learn which targets have crashed, and which end in good order."""
        if isinstance(message, TargetLeaving | TargetGone):
            self.attempts.forget((message.id, message.born))
        elif isinstance(message, RequestsCrashed) and source != RESPONSE:
            self.requests.answer_report(message.digests)
            at = self.attempts.clock.now() - message.age_ms
            self.attempts.handle_crash((message.target, message.born), at)
        elif isinstance(message, TargetSeen):
            self.handle_seen(message.target)
        elif isinstance(message, TrialBegan) and source != RESPONSE:
            self.prompt_turns.hold(message.parts, message.call)
            self.request_turns.hold(message.digests, message.call)

    def handle_seen(self, record):
        """Learn from a heartbeat that a target leaves, or has started again."""
        if record.draining:
            self.attempts.forget((record.id, record.born))
        self.attempts.handle_start(lambda destination: is_before(destination, record))

    def record_answered(self, call, progress):
        """Record that a target has answered a call, or begun to."""
        self.prompts.record_served(call.info.prompt)
        self.requests.record_answered(progress.digest)

    @contextlib.contextmanager
    def watch(self, call, progress, destination):
        """Watch an attempt at a target while the context lasts, and beyond."""
        if not destination.target_id:
            yield
            return
        with self.trial(call, progress):
            yield from self.watch_target(call, progress, destination)

    @contextlib.contextmanager
    def trial(self, call, progress):
        """Let an attempt be the only one that tries what was in quarantine."""
        turns = (
            (self.request_turns, (progress.digest,)),
            (self.prompt_turns, shared_ids(call.info.prompt)),
        )
        was_sent = True
        digests, parts = (turn.start(keys, call.id) for turn, keys in turns)
        if parts or digests:
            self.fleet.handle(TrialBegan(call.id, parts, digests), RESPONSE)
        try:
            yield
        except ExchangeError as error:
            was_sent = not error.not_run
            raise
        finally:
            for turn, keys in turns:
                turn.end(keys, call.id, was_sent)

    def watch_target(self, call, progress, destination):
        """Yield once, while an attempt at a target goes on."""
        attempt = self.attempts.begin(call, progress.digest, destination)
        try:
            yield
        except ExchangeError as error:
            self.end_failed(attempt, progress, error)
            raise
        except BaseException:
            # Its caller has left, or this VM stops.
            self.attempts.end(attempt)
            raise
        self.attempts.end(attempt, is_answered=True, is_served=True)

    def end_failed(self, attempt, progress, error):
        """Record that an attempt has failed; ask whether its target has crashed."""
        if error.not_run:
            is_refused = isinstance(error, ConnectRefusedError)
            self.watcher.end_not_run(attempt, is_refused)
            return
        self.watcher.end_failed(
            attempt,
            progress,
            is_answered=isinstance(error, FailedResponseError),
            is_late=progress.event_arrived,
            is_broken=not isinstance(error, NO_CRASH_ERRORS),
        )

    def report_crash(self, attempt, crashed_at):
        """Report that a target crashed, maybe of an attempt, unless no path works."""

        def report():
            self.requests.report_crash(attempt, crashed_at)
            self.prompts.report_crash(attempt, crashed_at)

        self.paths.confirm(attempt.destination.target_id, report)

    def record_survived(self, attempt):
        """Record that a target was still up a while after an attempt.

        Only one that it served is a proof: what has failed may not have been run.
        """
        if attempt.is_served:
            self.prompts.record_survived(attempt.call.info.prompt)
            self.requests.record_survived(attempt.digest)

    def is_leaving(self, destination):
        """Return whether a target was about to end, so it ends without a crash."""
        known = self.fleet.targets.by_id.get(destination.target_id)
        return known is None or known.record.draining

    def has_ended(self, destination, may_wait):
        """Return whether a target crashed as it closed a connection in good order.

        `may_wait` is whether it is no harm to wait for a while.
        """
        if self.is_leaving(destination):
            return False
        return self.probe.has_ended(destination, may_wait)

    def record_failure(self, call, progress, destination, error):
        """Report a response that broke off as it began, maybe because of its prompt."""
        self.prompts.record_break(call.info.prompt, destination, progress, error)

    def sweep(self):
        """Tell which attempts were survived, and look for targets that have crashed."""
        self.watcher.sweep()
        self.evidence.refusals.sweep()
        self.prompts.refusals.sweep()

    def may_crash_again(self, call, progress, error, sleep):
        """Return whether the prompt of a failed attempt may crash another target.

        If the request itself is suspected, this waits for news of it, which puts it in
        quarantine. `sleep` waits for a number of milliseconds.
        """
        self.wait_for_paths(call.deadline, sleep)
        self.requests.wait_for_verdict(call.deadline, progress, sleep)
        return self.prompts.may_crash_again(call.info.prompt, progress, error, sleep)

    def wait_for_paths(self, deadline, sleep):
        """Wait until it is known whether a crash was one, or a lost path."""
        wait_until = min(self.clock.now() + VERDICT_WAIT_MS, deadline)
        while self.paths.is_checking() and self.clock.now() < wait_until:
            sleep(PATHS_INTERVAL_MS)

    def record_refused_hop(self, progress, error):
        """Note that another region's VM knows of a quarantine before this one does."""
        if error.quarantine_ms:
            progress.quarantine = "another region has the request in quarantine"
            progress.quarantine_ms = error.quarantine_ms

    def known_crashes(self, call, progress):
        """Return how many crashes a call's request, or a part of its prompt, caused."""
        return max(
            self.requests.known_crashes(progress.digest),
            self.prompts.known_crashes(call.info.prompt),
        )

    def find_quarantine(self, call, progress):
        """Return why a call is in quarantine, or ''; log it and note for how long."""
        left_ms = self.request_turns.left_ms((progress.digest,), call.id)
        if left_ms:
            progress.quarantine_ms = left_ms
            self.evidence.record_refusal(call, progress.digest, left_ms)
            return "the request is in quarantine"
        parts = shared_ids(call.info.prompt)
        left_ms = self.prompt_turns.left_ms(parts, call.id)
        if left_ms:
            progress.quarantine_ms = left_ms
            self.prompts.record_refusal(call, left_ms)
            return "a part of the prompt is in quarantine"
        return ""


def is_before(destination, record):
    """Return whether another start of the target, or at its place, is recorded."""
    if record.id == destination.target_id:
        return record.born > destination.incarnation
    return record.address == destination.address
