"""Moves the time of a region's log of actions, from the VMs that hold the log.

A `Tick` names the log time it was measured from, so several VMs may run one each: of
two ticks that count the same stretch only one is taken.
"""

from result import Ok

from pollenmount.actions.messages import LogTime, Tick

__all__ = ["TICK_INTERVAL_MS", "Ticker"]

TICK_INTERVAL_MS = 500
IDLE_TICK_INTERVAL_MS = 30_000
ANSWER_RETENTION_MS = 24 * 3_600_000
KEY_RETENTION_MS = 7 * ANSWER_RETENTION_MS


class Ticker:
    """Measures by this VM's clock how long the log has stood at one time.

    `machine`
        This VM's replica of the log; only its `time` and `running` are read.
    """

    def __init__(self, groups, group, machine, clock):
        self.groups = groups
        self.group = group
        self.machine = machine
        self.clock = clock
        self.last_time = -1
        self.last_change_ms = 0

    def step(self):
        """Propose a tick if an action runs or the last one is long ago."""
        if self.machine.time != self.last_time:
            self.observe(self.machine.time)
            return
        elapsed = self.clock.now() - self.last_change_ms
        if not self.machine.running and elapsed < IDLE_TICK_INTERVAL_MS:
            return
        tick = Tick(self.last_time, elapsed, ANSWER_RETENTION_MS, KEY_RETENTION_MS)
        reply = self.groups.propose(self.group, tick, LogTime)
        if isinstance(reply, Ok):
            self.observe(reply.ok_value.time)

    def observe(self, log_time):
        """Measure from now on how long the log stays at this time."""
        if log_time != self.last_time:
            self.last_time = log_time
            self.last_change_ms = self.clock.now()
