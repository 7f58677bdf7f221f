"""Advances the log time of a region's log of actions, on VMs that replicate the log.

A `Tick` names the log time it was measured from, so several VMs may run a ticker each:
of two ticks that measure the same interval only one is applied.
"""

from result import Ok

from pollenmount.actions.messages import LogTime, Tick

__all__ = ["TICK_INTERVAL_MS", "Ticker"]

TICK_INTERVAL_MS = 500
IDLE_TICK_INTERVAL_MS = 30_000
RESPONSE_RETENTION_MS = 24 * 3_600_000
KEY_RETENTION_MS = 7 * RESPONSE_RETENTION_MS


class Ticker:
    """Measures by this VM's clock how long log time has not changed.

    `machine`
        This VM's replica of the log; only its `time` and `running` are read.
    """

    def __init__(self, groups, group, machine, clock):
        self.groups = groups
        self.group = group
        self.machine = machine
        self.clock = clock
        self.last_log_time = -1
        self.last_change_at = 0

    def step(self):
        """Propose a tick; with no action running every `IDLE_TICK_INTERVAL_MS` only."""
        if self.machine.time != self.last_log_time:
            self.observe(self.machine.time)
            return
        elapsed_ms = self.clock.now() - self.last_change_at
        if not self.machine.running and elapsed_ms < IDLE_TICK_INTERVAL_MS:
            return
        tick = Tick(
            self.last_log_time, elapsed_ms, RESPONSE_RETENTION_MS, KEY_RETENTION_MS
        )
        reply = self.groups.propose(self.group, tick, LogTime)
        if isinstance(reply, Ok):
            self.observe(reply.ok_value.time)

    def observe(self, log_time):
        """Measure from now on how long log time stays at this value."""
        if log_time != self.last_log_time:
            self.last_log_time = log_time
            self.last_change_at = self.clock.now()
