"""Keeps prompts that crash targets from being sent to one target after the other.

It reports responses that broke off as they began, answers the reports of other VMs on
parts that were served here, and tells which prompts are in quarantine.
"""

from pollenmount.crashes.recent_keys import RecentKeys, ReportLimit
from pollenmount.crashes.repeated_lines import RepeatedLines
from pollenmount.fleet.messages import PartsServed, PromptBroke
from pollenmount.fleet.observations import RESPONSE
from pollenmount.gateway.attempt import NO_CRASH_ERRORS
from pollenmount.gateway.dialect import shared_ids
from pollenmount.gateway.hop import HopRefusedError
from pollenmount.log import get_logger

__all__ = ["PromptGuard"]

MAX_SERVED_PARTS = 8192
SERVED_TTL_MS = 60_000
# A round trip to control VMs of other regions, and on to their entry VMs.
VERDICT_WAIT_MS = 300
VERDICT_INTERVAL_MS = 20
MAX_REPORTS = 200
REPORT_WINDOW_MS = 1000

logger = get_logger("prompts")


class PromptGuard:
    """Evidence of this VM on prompt parts, beside `fleet.part_quarantine`.

    `served` has the parts of prompts of which this VM saw an event of a response,
    `survived` those after which a target was still up a while later. `refusals` are the
    lines on refused calls, by the shared parts of their prompts.
    """

    def __init__(self, fleet, clock, metrics):
        self.fleet = fleet
        self.clock = clock
        self.metrics = metrics
        self.served = RecentKeys(clock, MAX_SERVED_PARTS, SERVED_TTL_MS)
        self.survived = RecentKeys(clock, MAX_SERVED_PARTS, SERVED_TTL_MS)
        self.reports = ReportLimit(clock, MAX_REPORTS, REPORT_WINDOW_MS)
        self.refusals = RepeatedLines(
            clock, lambda fields: logger.info("prompt refused", extra=fields)
        )
        fleet.listeners.append(self.answer_report)

    def record_served(self, prompt):
        """Record that the response to a prompt has begun."""
        parts = shared_ids(prompt)
        for part in parts:
            self.served.add(part)
        self.clear(parts, survived=False)

    def record_survived(self, prompt):
        """Record that a target was still up a while after it served a prompt."""
        parts = shared_ids(prompt)
        for part in parts:
            self.survived.add(part)
        self.clear(parts, survived=True)

    def clear(self, parts, survived):
        """Tell all VMs that parts which are suspected were served, or survived."""
        if self.fleet.part_quarantine.is_suspected(parts):
            self.fleet.handle(PartsServed(parts, survived), RESPONSE)

    def unproven_parts(self, prompt):
        """Return the shared parts that this VM has not seen served lately."""
        return tuple(p for p in shared_ids(prompt) if p not in self.served)

    def answer_report(self, message, source):
        """Tell of parts that were served here, if another VM suspects them."""
        if not isinstance(message, PromptBroke) or source == RESPONSE:
            return
        for known, survived in ((self.served, False), (self.survived, True)):
            parts = tuple(part for part in message.parts if part in known)
            if parts:
                self.clear(parts, survived)

    def report_crash(self, attempt, crashed_at):
        """Report that a target crashed, maybe of a prompt that nothing disproves."""
        prompt = attempt.call.info.prompt
        disproved = self.survived if attempt.is_late else self.served
        parts = tuple(p for p in shared_ids(prompt) if p not in disproved)
        if parts and self.reports.try_acquire():
            age_ms = self.clock.now() - crashed_at
            own = prompt.parts[-1].id
            report = PromptBroke(*attempt.start, own, parts, age_ms, attempt.is_late)
            self.fleet.handle(report, RESPONSE)

    def record_break(self, prompt, destination, progress, error):
        """Report an attempt whose response broke off after its head.

        Before the head, a connection may be closed for many reasons, so only a target
        that is found to have crashed is evidence.
        """
        if not (destination.target_id and progress.head_arrived):
            return
        if not may_be_crash(progress, error):
            return
        parts = self.unproven_parts(prompt)
        if not parts or not self.reports.try_acquire():
            return
        report = PromptBroke(
            destination.target_id, destination.incarnation, prompt.parts[-1].id, parts
        )
        self.fleet.handle(report, RESPONSE)

    def may_crash_again(self, prompt, progress, error, sleep):
        """Return whether the prompt of a failed attempt is under suspicion.

        It takes time to find out that a target has crashed, and other VMs get time to
        say that they served the prompt's parts: until one has, the prompt must not
        crash another target. One that a target had not begun to answer is mostly sound,
        so it needs the crash of another prompt, too, to be suspected. `sleep` waits for
        a number of milliseconds.
        """
        if not (may_be_crash(progress, error) and self.unproven_parts(prompt)):
            return False
        if is_unanswered(progress) and not self.has_other_crashes(prompt):
            return False
        asked_at = self.clock.now()
        while self.clock.now() - asked_at < VERDICT_WAIT_MS:
            if not (awaits_verdict(progress) or self.is_suspected(prompt)):
                return False
            sleep(VERDICT_INTERVAL_MS)
        return self.is_suspected(prompt)

    def has_other_crashes(self, prompt):
        """Return whether a part of a prompt has crashed a target in another prompt."""
        own = prompt.parts[-1].id
        evidence = self.fleet.part_quarantine.evidence
        parts = shared_ids(prompt)
        return any(crash.cause != own for part in parts for crash in evidence(part))

    def is_suspected(self, prompt):
        """Return whether a part may crash targets before they begin to respond."""
        return self.fleet.part_quarantine.is_suspected_early(shared_ids(prompt))

    def known_crashes(self, prompt):
        """Return how many crashes a part of a prompt is known to have caused."""
        return self.fleet.part_quarantine.known_crashes(shared_ids(prompt))

    def record_refusal(self, call, left_ms):
        """Log and count a call that is refused because of its prompt."""
        self.metrics.quarantined.labels(call.service).inc()
        parts = shared_ids(call.info.prompt)
        self.refusals.add(
            parts,
            {
                "request": call.id,
                "service": call.service,
                "parts": parts,
                "left_ms": left_ms,
            },
        )


def may_be_crash(progress, error):
    """Return whether a target may have ended before the first event of a response.

    Of a hop only this is known: that it may have run, and brought no event.
    """
    if progress.event_arrived or error.not_run:
        return False
    if isinstance(error, HopRefusedError):
        return True
    return not isinstance(error, NO_CRASH_ERRORS)


def awaits_verdict(progress):
    """Return whether there may be news of the target of a failed attempt soon.

    The report of a hop comes from the VM that received it, and later. A target that
    broke off before the head of its response is still looked at.
    """
    if not progress.destination.target_id:
        return True
    return progress.crashed is False and not progress.head_arrived


def is_unanswered(progress):
    """Return whether a target broke off an attempt before the head of its response."""
    return bool(progress.destination.target_id) and not progress.head_arrived
