"""Keeps calls that crash targets from being sent to one target after the other."""

import contextlib
import hashlib
from functools import singledispatch, singledispatchmethod
from typing import NamedTuple

from pollenmount.crashes.recent_keys import RecentKeys
from pollenmount.crashes.repeated_lines import RepeatedLines
from pollenmount.crashes.request_guard import RequestGuard
from pollenmount.crashes.watcher import CrashWatcher
from pollenmount.errors import Refusal, RefusalKind
from pollenmount.log import get_logger
from pollenmount.routing.forward import ForwardRefusedError
from pollenmount.routing.request import LocalTarget
from pollenmount.targets.table import TargetLeft, TargetStarted
from pollenmount.targets.upstream import (
    ConnectRefusedError,
    FailedResponseError,
    UnfitResponseError,
    UpstreamError,
    UpstreamTimeoutError,
)

__all__ = ["CrashGuard", "GuardedAttempter", "QuarantinedError", "digest_request"]

DIGEST_BYTES = 16
# As many targets as a failure domain may have, with some restarts each.
MAX_STARTS = 16_384
START_TTL_MS = 600_000
TOO_MANY_REQUESTS = 429
FIRST_FAILURE_STATUS = 500
# Errors that are no sign that the target has crashed.
NO_CRASH_ERRORS = (FailedResponseError, UnfitResponseError, UpstreamTimeoutError)

logger = get_logger("requests")


class QuarantinedError(UpstreamError):
    """An attempt was not sent because its request is in quarantine."""

    def __init__(self, refusal):
        super().__init__(refusal.message, True, refusal.retry_after_ms)
        self.refusal = refusal


class Destination(NamedTuple):
    """The start of a target that an attempt is sent to."""

    failure_domain: str
    name: str
    incarnation: str
    address: str

    @property
    def target_id(self):
        """Return a name that no target of another failure domain has."""
        return qualify(self.failure_domain, self.name)

    @property
    def connection_key(self):
        """Return the key of its connections."""
        return self.address


class CrashGuard:
    """Watches the attempts of this VM, and tells which requests are in quarantine.

    `table` is the table of targets, and `evidence` has the `quarantine` of requests and
    takes the news of this VM. `probe` tells which targets are up. `starts` has the
    starts of targets that were heard of. `refusals` are the lines on refused calls, by
    the digest of the request.
    """

    def __init__(self, table, evidence, clock, probe, failure_domain):
        self.table = table
        self.failure_domain = failure_domain
        self.refusals = RepeatedLines(
            clock, lambda fields: logger.info("request refused", extra=fields)
        )
        self.starts = RecentKeys(clock, MAX_STARTS, START_TTL_MS)
        self.requests = RequestGuard(evidence.quarantine, evidence, clock)
        self.watcher = CrashWatcher(
            clock,
            probe,
            self.is_leaving,
            self.requests.report_crash,
            self.record_survived,
        )
        table.listeners.append(self.handle_news)
        evidence.listeners.append(self.handle_report)

    @singledispatchmethod
    def handle_news(self, news):
        """Learn which targets have started again, and which end in good order."""
        raise TypeError(f"not news of a target: {type(news).__name__}")

    @handle_news.register
    def _(self, news: TargetLeft):
        target_id = qualify(self.failure_domain, news.name)
        self.watcher.attempts.forget((target_id, news.incarnation))

    @handle_news.register
    def _(self, news: TargetStarted):
        announced = news.announcement
        start = announced.name, announced.incarnation
        # Two processes under one name take turns in the table.
        is_new = start not in self.starts
        self.starts.add(start)
        if is_new:
            self.watcher.attempts.handle_start(
                lambda destination: is_replaced(destination, announced)
            )

    def left_ms(self, call):
        """Return for how long the request of a call is in quarantine, 0 if it isn't."""
        return self.requests.left_ms(digest_request(call))

    def handle_report(self, crash, digest):
        """Learn from another VM that a target has crashed, maybe of a request."""
        self.requests.answer_report((digest,))
        self.watcher.attempts.handle_crash((crash.target, crash.born), crash.at)

    def is_leaving(self, destination):
        """Return whether a target was about to end, so it ends without a crash."""
        return self.table.is_leaving(destination.name, destination.incarnation)

    def record_survived(self, attempt):
        """Record that a target was still up a while after an attempt.

        Only one that it served is a proof: what has failed may not have been run.
        """
        if attempt.is_served:
            self.requests.record_survived(attempt.digest)

    def sweep(self):
        """Tell which attempts were survived, and look for targets that have crashed."""
        self.watcher.sweep()
        self.refusals.sweep()


class GuardedAttempter:
    """Runs the attempts of one call, unless its request is in quarantine.

    `attempter` runs them, and `sleep` waits for a number of milliseconds. `sends`
    counts the attempts at local targets. `crashed` is whether the target of the last
    one has crashed, None if nothing asked. `quarantined_until` is until when the
    request is in quarantine at a VM that the call was forwarded to, as far as known.
    """

    def __init__(self, guard, attempter, call, sleep):
        self.guard = guard
        self.attempter = attempter
        self.clock = attempter.clock
        self.call = call
        self.sleep = sleep
        self.digest = digest_request(call)
        self.sends = 0
        self.crashed = None
        self.quarantined_until = 0

    def find_refusal(self):
        """Return the `Refusal` of the call if it is in quarantine, else None."""
        there_ms = self.quarantined_until - self.clock.now()
        left_ms = max(self.guard.requests.left_ms(self.digest), there_ms, 0)
        if not left_ms:
            return None
        self.guard.refusals.add(
            self.digest,
            {
                "request": self.call.id,
                "digest": self.digest,
                "caller": self.call.caller.name,
                "left_ms": left_ms,
            },
        )
        message = "targets crashed while they ran this request; don't send it again"
        return Refusal(RefusalKind.QUARANTINED, message, True, left_ms)

    def run(self, candidate, call, number, fresh):
        """Yield the parts of a response, as `Attempter.run` does.

        Raises `QuarantinedError` if the request is in quarantine.
        """
        self.guard.requests.wait_for_verdict(call.deadline, self, self.sleep)
        refusal = self.find_refusal()
        if refusal:
            raise QuarantinedError(refusal)
        parts = self.attempter.run(candidate, call, number, fresh)
        with contextlib.closing(watch_attempt(candidate, self, parts)) as watched:
            yield from watched

    def forward(self, parts):
        """Yield the parts of a forwarded call; note a quarantine at its receiver."""
        try:
            with contextlib.closing(parts):
                yield from parts
        except ForwardRefusedError as error:
            if error.quarantine_ms:
                self.quarantined_until = self.clock.now() + error.quarantine_ms
            raise

    def watch(self, destination, parts):
        """Yield the parts of an attempt at a target; record how it ends."""
        self.sends += 1
        self.crashed = None
        watcher = self.guard.watcher
        attempt = watcher.attempts.begin(self.call, self.digest, destination)
        progress = ResponseProgress(self)
        try:
            with contextlib.closing(parts):
                for part in parts:
                    progress.record_part(part)
                    yield part
        except UpstreamError as error:
            self.end_failed(attempt, progress, error)
            raise
        except BaseException:
            # Its caller has left, or this VM stops.
            watcher.attempts.end(attempt)
            raise
        progress.record_end()
        is_served = not progress.is_failure
        watcher.attempts.end(attempt, is_answered=True, is_served=is_served)

    def end_failed(self, attempt, progress, error):
        """Record that an attempt has failed; ask whether its target has crashed."""
        watcher = self.guard.watcher
        if error.not_run:
            watcher.end_not_run(attempt, isinstance(error, ConnectRefusedError))
            return
        watcher.end_failed(
            attempt,
            self,
            is_answered=isinstance(error, FailedResponseError),
            is_late=progress.body_arrived,
            is_broken=not isinstance(error, NO_CRASH_ERRORS),
        )


class ResponseProgress:
    """How far the response to an attempt has come.

    `is_failure` is whether its status is that of a failure, which is no proof that the
    target has run the request, and `body_arrived` whether any of its body has arrived.
    """

    def __init__(self, attempter):
        self.attempter = attempter
        self.is_failure = False
        self.body_arrived = False
        self.is_head = True

    def record_part(self, part):
        """Record a `Head` or a `Chunk`."""
        if self.is_head:
            self.is_head = False
            self.is_failure = is_failure(part.status)
        elif not self.body_arrived:
            self.body_arrived = True
            self.record_answered()

    def record_end(self):
        """Record the end of the whole response, which may have no body."""
        if not self.body_arrived:
            self.record_answered()

    def record_answered(self):
        """Record that the target has answered, unless with a failure."""
        if not self.is_failure:
            self.attempter.guard.requests.record_answered(self.attempter.digest)


def is_failure(status):
    """Return whether a target with this status may not have run the request."""
    return status == TOO_MANY_REQUESTS or status >= FIRST_FAILURE_STATUS


def is_replaced(destination, announcement):
    """Return whether a target, or another at its address, has started anew."""
    if announcement.name == destination.name:
        return announcement.incarnation != destination.incarnation
    return announcement.address == destination.address


@singledispatch
def watch_attempt(candidate, attempter, parts):
    """Return the parts of an attempt; the VM that sends it to a target watches it."""
    return attempter.forward(parts)


@watch_attempt.register
def _(candidate: LocalTarget, attempter, parts):
    announced = candidate.target.announcement
    destination = Destination(
        attempter.guard.failure_domain,
        announced.name,
        announced.incarnation,
        announced.address,
    )
    return attempter.watch(destination, parts)


def qualify(failure_domain, name):
    """Return the name of a target with its failure domain."""
    return f"{failure_domain}/{name}"


def digest_request(call):
    """Return a digest that is the same whenever the same request comes again.

    It covers the caller, the method, the path with its query, and the body, not the id.
    """
    head = f"{call.caller.name}\n{call.method} {call.path}\n".encode()
    digest = hashlib.blake2b(head, digest_size=DIGEST_BYTES)
    digest.update(call.body)
    return digest.hexdigest()
