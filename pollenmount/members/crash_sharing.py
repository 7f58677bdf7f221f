"""Shares evidence on requests that crash targets with all members.

A VM tells the members of its failure domain and the relays of the others, which pass on
what is new to them, as with plans. A VM that can't be reached keeps its own evidence.
"""

from result import Ok

from pollenmount import task
from pollenmount.members.crash_evidence import CrashNews
from pollenmount.members.messages import ShareCrashes
from pollenmount.members.peers import members_for_relay, relays_by_share

__all__ = ["SHARE_INTERVAL_MS", "CrashSharer"]

SHARE_INTERVAL_MS = 100
# A batch takes a call to each receiver, over 1 ms of processor time each.
MIN_BATCH_INTERVAL_MS = 1000
PARALLEL_CALLS = 8


class CrashSharer:
    """Sends the news of `evidence`, and handles those of other members.

    `members` is the `MemberTable`, `control` calls its members. `spawn` runs a function
    in its own task.
    """

    def __init__(self, control, members, evidence, timeout_ms, spawn=task.spawn):
        self.control = control
        self.members = members
        self.evidence = evidence
        self.timeout_ms = timeout_ms
        self.spawn = spawn
        self.clock = evidence.clock
        self.sent_at = None

    def share(self):
        """Send the news, unless there are none or the last batch was a moment ago."""
        now = self.clock.now()
        if self.sent_at is not None and now - self.sent_at < MIN_BATCH_INTERVAL_MS:
            return
        news = self.evidence.take_news()
        if not news.is_empty():
            self.sent_at = now
            self.send(news, [*self.receivers()])

    def receivers(self):
        """Return (address, share) of each receiver; a relay passes on to its share."""
        local = self.members.local
        own = local.own()
        for member in local.live():
            yield member.control, None
        for member, share in relays_by_share(self.members.live()):
            if member.failure_domain != own.failure_domain:
                yield member.control, share

    def send(self, news, receivers):
        """Send news to each (address, share), some at the same time."""
        own = self.members.local.own().control
        receivers = [receiver for receiver in receivers if receiver[0] != own]
        now = self.clock.now()
        for worker in range(PARALLEL_CALLS):
            if receivers[worker::PARALLEL_CALLS]:
                some = receivers[worker::PARALLEL_CALLS]
                self.spawn(self.send_each, news, now, some)

    def send_each(self, news, made_at, receivers):
        """Send news to one receiver after the other; merge what they know beside.

        Members that do not answer delay the others.
        """
        for address, share in receivers:
            later_ms = self.clock.now() - made_at
            request = ShareCrashes(*news.after(later_ms), share)
            reply = self.control.call(address, request, self.timeout_ms)
            if isinstance(reply, Ok):
                self.evidence.merge(CrashNews(reply.ok_value))

    def handle(self, message):
        """Answer a `ShareCrashes`; a relay passes on what is new here."""
        news = CrashNews(message.crashes, message.answered)
        known_beside = self.evidence.evidence_beside(news)
        new = self.evidence.merge(news)
        if message.share is not None and not new.is_empty():
            members = members_for_relay(self.members.local, message.share)
            self.send(new, [(member.control, None) for member in members])
        return known_beside
