"""Rate, concurrency and token limits of callers.

Each entry VM enforces its own share of a limit, so that no counter is shared between
VMs. Nine tenths of a limit are divided among the VMs of the caller's home region, one
tenth among those of its other regions. While all VMs are connected, together they admit
at most the limit plus one request for each VM. During a network partition each side
admits up to the limit. What a caller may use up is refilled only for time in which the
process ran: another VM may have taken over its share during a pause.
"""

import contextlib
import math

from pollenmount.errors import Refusal, RefusalKind
from pollenmount.token_bucket import TokenBucket

__all__ = ["Admission", "get_share"]

RETRY_AFTER_MS = 1000
# Share of a limit that the VMs of the caller's home region enforce together.
HOME_REGION_SHARE = 0.9
MS_PER_S = 1000
MS_PER_MINUTE = 60_000
MAX_CALLERS = 4096


class CallerBucket(TokenBucket):
    """Token bucket of one caller, refilled up to `capacity`."""

    def refill(self, capacity, per_ms, now):
        """Add the tokens for the time since the last refill."""
        self.add_until(now, per_ms)
        self.level = min(capacity, self.level)

    def wait_ms(self, needed, per_ms):
        """Return the time until `needed` tokens are available, 0 if they are now."""
        return max(0, math.ceil((needed - self.level) / per_ms))


def get_share(caller, region, members):
    """Return the share of a caller's limits that one VM of `region` enforces."""
    eligible = [m for m in members if m.region in caller.regions and not m.stopping]
    home_members = sum(m.region == caller.home for m in eligible)
    other_members = len(eligible) - home_members
    if region == caller.home:
        return (HOME_REGION_SHARE if other_members else 1.0) / max(home_members, 1)
    return (1 - HOME_REGION_SHARE if home_members else 1.0) / max(other_members, 1)


class Admission:
    """Admission control: enforces this VM's share of the limits in the plan.

    `clock`
        The `RunningClock` of this VM.
    `share`
        Returns the share of a caller's limits that this VM enforces (default 1.0).
    """

    def __init__(self, clock, share=lambda caller: 1.0):
        self.clock = clock
        self.share = share
        self.running = {}
        self.rate_buckets = {}
        self.token_buckets = {}

    def check(self, caller):
        """Return a `Refusal` if the caller is at a limit, else deduct the request."""
        share = self.share(caller)
        return (
            self.check_concurrency(caller, share)
            or self.check_tokens(caller, share)
            or self.check_rate(caller, share)
        )

    def check_concurrency(self, caller, share):
        """Return a `Refusal` if the caller has too many requests running."""
        running = self.running.get(caller.name, 0)
        if caller.concurrency and running >= math.ceil(caller.concurrency * share):
            message = "too many concurrent requests; wait until one has ended"
            return refuse(message, RETRY_AFTER_MS)
        return None

    def check_rate(self, caller, share):
        """Return a `Refusal` if the rate is exceeded, else deduct one request."""
        if not caller.rate:
            return None
        per_ms = caller.rate * share / MS_PER_S
        capacity = max(1.0, caller.rate * share)
        bucket = self.get_bucket(self.rate_buckets, caller, capacity)
        bucket.refill(capacity, per_ms, self.clock.now())
        wait_ms = bucket.wait_ms(1, per_ms)
        if wait_ms:
            return refuse("too many requests per second; send fewer", wait_ms)
        bucket.level -= 1
        return None

    def check_tokens(self, caller, share):
        """Return a `Refusal` if the token budget is used up."""
        if not caller.tokens:
            return None
        per_ms = caller.tokens * share / MS_PER_MINUTE
        bucket = self.get_bucket(self.token_buckets, caller, caller.tokens * share)
        bucket.refill(caller.tokens * share, per_ms, self.clock.now())
        if bucket.level > 0:
            return None
        message = "too many tokens per minute; request shorter answers"
        return refuse(message, max(1, bucket.wait_ms(0, per_ms)))

    def charge_tokens(self, caller, tokens):
        """Deduct generated tokens from the caller's budget, which may fall below 0."""
        if caller.tokens:
            capacity = caller.tokens * self.share(caller)
            self.get_bucket(self.token_buckets, caller, capacity).level -= tokens

    def get_bucket(self, buckets, caller, capacity):
        """Return a caller's bucket; a new one is full and may evict the oldest one."""
        bucket = buckets.get(caller.name)
        if bucket is None:
            if len(buckets) >= MAX_CALLERS:
                del buckets[min(buckets, key=lambda name: buckets[name].at)]
            bucket = buckets[caller.name] = CallerBucket(capacity, self.clock.now())
        return bucket

    @contextlib.contextmanager
    def count_running(self, caller):
        """Context manager that counts one running request of the caller."""
        self.running[caller.name] = self.running.get(caller.name, 0) + 1
        try:
            yield
        finally:
            self.running[caller.name] -= 1
            if not self.running[caller.name]:
                del self.running[caller.name]


def refuse(message, retry_after_ms):
    """Return the refusal of a request that exceeds a limit."""
    return Refusal(RefusalKind.RATE_LIMITED, message, retry_after_ms=retry_after_ms)
