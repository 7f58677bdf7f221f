"""Turns at which VMs try again what was in quarantine.

When a quarantine ends, nothing tells yet that targets survive the request, and all VMs
may have it at that moment, since their callers were told the same time. So each VM has
a time of its own, and one attempt at a time, until the evidence is cleared or renewed.
"""

import zlib
from typing import NamedTuple

__all__ = ["TrialTurns"]

# Within this time from its start, an attempt has mostly crashed its target or has not.
TRIAL_MS = 2000
# What was mended would be out of service for too long in a large fleet.
MAX_SPREAD_MS = 60_000
MAX_TRIALS = 1024
HASH_RANGE = 1 << 32


class Trial(NamedTuple):
    """The call that tries a key, and until when others wait for it."""

    call_id: str
    until: int


class TrialTurns:
    """Turns of the VM `name` for the keys of a `Quarantine`.

    `count_vms` returns how many VMs there are. `trials` has the `Trial` of each key.
    """

    def __init__(self, quarantine, clock, name, count_vms):
        self.quarantine = quarantine
        self.clock = clock
        self.name = name
        self.count_vms = count_vms
        self.trials = {}

    def left_ms(self, keys, call_id):
        """Return for how long a call with these keys is not sent from this VM.

        It is 0 if none of them was ever in quarantine, and if it is the call's turn to
        try those that were.
        """
        proven = [key for key in keys if self.quarantine.is_proven(key)]
        left_ms = max((self.key_left_ms(key, call_id) for key in proven), default=0)
        if proven and not left_ms:
            self.start(proven, call_id)
        return left_ms

    def key_left_ms(self, key, call_id):
        """Return until when one key is not tried by a call, as a time from now."""
        now = self.clock.now()
        begins_at = self.quarantine.ends_at(key) + self.delay_ms(key)
        if now < begins_at:
            return begins_at - now
        trial = self.trials.get(key)
        if trial is None or trial.call_id == call_id:
            return 0
        return max(0, trial.until - now)

    def delay_ms(self, key):
        """Return how long after the end of a quarantine the turn of this VM begins."""
        spread_ms = min(MAX_SPREAD_MS, TRIAL_MS * (self.count_vms() - 1))
        crashes = self.quarantine.known_crashes((key,))
        drawn = zlib.crc32(f"{self.name} {key} {crashes}".encode())
        return spread_ms * drawn // HASH_RANGE

    def start(self, keys, call_id):
        """Let a call try keys, and others wait for it for a while."""
        now = self.clock.now()
        if len(self.trials) >= MAX_TRIALS:
            self.trials = {k: t for k, t in self.trials.items() if now < t.until}
        for key in keys:
            known = self.trials.get(key)
            if known is None or known.call_id != call_id or now >= known.until:
                self.trials[key] = Trial(call_id, now + TRIAL_MS)
