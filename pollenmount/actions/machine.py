"""State machine of a region's log of actions: those that ran, run or may have run.

It reads no clock: log time advances by `Tick` commands only, each by at most
`MAX_TICK_MS` while an action runs, so it never gets ahead of the holders' clocks.
"""

import itertools
from functools import singledispatchmethod
from typing import NamedTuple

import msgspec

from pollenmount.actions.messages import (
    Action,
    ActionKey,
    ActionState,
    LogTime,
    Renew,
    Reservation,
    Reserve,
    Settle,
    Tick,
)

__all__ = ["MAX_TICK_MS", "ActionMachine"]

MAX_TICK_MS = 1000
CANCELLED_RETENTION_MS = 600_000
MAX_ACTIONS = 200_000
MAX_CANCELLED = 100_000
MAX_TOTAL_RESPONSE_BYTES = 64 << 20

RUNNING = ActionState.RUNNING
DONE = ActionState.DONE
RELEASED = ActionState.RELEASED
UNKNOWN = ActionState.UNKNOWN

Actions = tuple[tuple[ActionKey, Action], ...]


class ActionSnapshot(NamedTuple):
    """The complete state of an `ActionMachine`."""

    time: int
    running: Actions
    with_response: Actions
    without_response: Actions
    cancelled: dict[str, int]


class ActionMachine:
    """All actions of one region, by key.

    `running` holds reserved actions, `with_response` settled ones whose response is
    kept, `without_response` the other settled ones; the last two are ordered by log
    time. `cancelled` maps abandoned attempts, which must not be granted any more, to
    their log time.
    """

    commands = (Reserve, Renew, Settle, Tick)

    def __init__(self):
        self.time = 0
        self.running = {}
        self.with_response = {}
        self.without_response = {}
        self.cancelled = {}
        self.response_bytes = 0

    def find(self, key):
        """Return the action with this key, or None."""
        for table in (self.running, self.with_response, self.without_response):
            if key in table:
                return table[key]
        return None

    @singledispatchmethod
    def apply(self, command):
        """Apply one committed command and return its reply."""
        raise TypeError(f"not a command of the action log: {type(command).__name__}")

    @apply.register
    def _(self, command: Reserve):
        if command.attempt in self.cancelled:
            return Reservation(RELEASED)
        action = self.find(command.key)
        if action is None:
            return self.grant_new(command)
        if action.body_digest != command.body_digest:
            return Reservation(ActionState.CONFLICT)
        if action.state is RUNNING and action.attempt == command.attempt:
            return Reservation(ActionState.GRANTED)
        if action.state is UNKNOWN:
            return self.reserve_unknown(command, action)
        return Reservation(action.state, action.response)

    @apply.register
    def _(self, command: Renew):
        action = self.running.get(command.key)
        if action is None or action.attempt != command.attempt:
            action = self.find(command.key)
            return Reservation(action.state if action else RELEASED)
        end = max(action.hold_end_or_settled_at, self.hold_end(command.hold_ms))
        self.running[command.key] = action._replace(hold_end_or_settled_at=end)
        return Reservation(ActionState.GRANTED)

    @apply.register
    def _(self, command: Settle):
        action = self.find(command.key)
        if action is None or action.attempt != command.attempt:
            return self.settle_nonholder(command, action)
        if command.state is RELEASED:
            return self.release(command.key, action)
        if action.state is RUNNING or (action.state, command.state) == (UNKNOWN, DONE):
            self.settle(command.key, action, command.state, command.response)
            return Reservation(command.state)
        return Reservation(action.state, action.response)

    @apply.register
    def _(self, command: Tick):
        if command.from_log_time != self.time:
            return LogTime(self.time, False)
        limit = MAX_TICK_MS if self.running else command.advance_ms
        self.time += min(command.advance_ms, limit)
        self.expire_holds()
        self.drop_old_responses(command.response_retention_ms)
        self.drop_old_keys(command.key_retention_ms)
        return LogTime(self.time, True)

    def grant_new(self, command):
        """Grant an action that is not in the log."""
        if (
            len(self.running) + len(self.with_response) + len(self.without_response)
            >= MAX_ACTIONS
        ):
            return Reservation(ActionState.FULL)
        return self.grant(command, maybe_ran=False)

    def grant(self, command, maybe_ran):
        """Add an action to the log as running."""
        self.running[command.key] = Action(
            command.body_digest,
            command.attempt,
            command.holder,
            RUNNING,
            self.hold_end(command.hold_ms),
            command.repeatable,
            maybe_ran,
        )
        return Reservation(ActionState.GRANTED)

    def hold_end(self, hold_ms):
        """Return the log time at which a hold that starts now ends.

        The length of one tick is added, since log time may lag by as much.
        """
        return self.time + MAX_TICK_MS + hold_ms

    def reserve_unknown(self, command, action):
        """Apply a `Reserve` of an action whose outcome is unknown.

        An attempt that reserves again never received its grant, so it may release the
        action.
        """
        if action.attempt == command.attempt:
            return Reservation(RELEASED)
        if action.repeatable and command.repeatable:
            del self.without_response[command.key]
            return self.grant(command, maybe_ran=True)
        self.without_response[command.key] = action._replace(reported_unknown=True)
        return Reservation(UNKNOWN)

    def settle_nonholder(self, command, action):
        """Apply a `Settle` of an attempt that does not hold the action (any more)."""
        if command.state is RELEASED:
            self.cancel(command.attempt)
            return Reservation(RELEASED)
        if action is None:
            return Reservation(UNKNOWN)
        if command.state is DONE and action.repeatable and action.state is not DONE:
            self.settle(command.key, action, DONE, command.response)
            return Reservation(DONE)
        return Reservation(action.state, action.response)

    def release(self, key, action):
        """Remove the action so that it may run, unless an earlier reply excludes it."""
        self.cancel(action.attempt)
        if action.state is DONE:
            return Reservation(DONE, action.response)
        if action.maybe_ran or action.reported_unknown:
            self.settle(key, action, UNKNOWN, None)
            return Reservation(UNKNOWN)
        self.remove(key)
        return Reservation(RELEASED)

    def settle(self, key, action, state, response):
        """Move an action to its final state."""
        self.remove(key)
        table = self.without_response if response is None else self.with_response
        table[key] = action._replace(
            state=state, hold_end_or_settled_at=self.time, response=response
        )
        if response is not None:
            self.response_bytes += len(response.body)
            self.trim_responses()

    def remove(self, key):
        """Remove an action."""
        for table in (self.running, self.with_response, self.without_response):
            action = table.pop(key, None)
            if action and action.response:
                self.response_bytes -= len(action.response.body)

    def cancel(self, attempt):
        """Never grant this attempt; its `Reserve` may still arrive."""
        self.cancelled[attempt] = self.time
        if len(self.cancelled) > MAX_CANCELLED:
            del self.cancelled[next(iter(self.cancelled))]

    def expire_holds(self):
        """Settle actions whose hold was not renewed as unknown: they may have run."""
        expired = [
            key
            for key, a in self.running.items()
            if a.hold_end_or_settled_at <= self.time
        ]
        for key in expired:
            self.settle(key, self.running[key], UNKNOWN, None)

    def trim_responses(self):
        """Drop the oldest responses while their total size exceeds the limit."""
        while self.response_bytes > MAX_TOTAL_RESPONSE_BYTES:
            self.drop_response(next(iter(self.with_response)))

    def drop_old_responses(self, retention_ms):
        """Drop responses older than `retention_ms`, but keep their keys."""
        old = [*keys_settled_before(self.with_response, self.time - retention_ms)]
        for key in old:
            self.drop_response(key)

    def drop_response(self, key):
        """Drop the response of an action, but keep the action."""
        action = self.with_response[key]
        self.remove(key)
        self.without_response[key] = action._replace(response=None)

    def drop_old_keys(self, retention_ms):
        """Remove actions settled `retention_ms` ago, and old cancelled attempts."""
        old = [*keys_settled_before(self.without_response, self.time - retention_ms)]
        for key in old:
            del self.without_response[key]
        self.drop_old_cancelled(self.time - CANCELLED_RETENTION_MS)

    def drop_old_cancelled(self, limit):
        """Remove attempts that were cancelled before `limit`."""
        ordered = self.cancelled.items()
        old = [*itertools.takewhile(lambda item: item[1] < limit, ordered)]
        for attempt, _ in old:
            del self.cancelled[attempt]

    def snapshot(self):
        """Return the complete state as bytes."""
        tables = (self.running, self.with_response, self.without_response)
        items_by_table = (tuple(table.items()) for table in tables)
        state = ActionSnapshot(self.time, *items_by_table, self.cancelled)
        return msgspec.msgpack.encode(state)

    def restore(self, data):
        """Replace the state with that of a snapshot."""
        state = msgspec.msgpack.decode(data, type=ActionSnapshot)
        self.time = state.time
        self.running = dict(state.running)
        self.with_response = dict(state.with_response)
        self.without_response = dict(state.without_response)
        self.cancelled = state.cancelled
        bodies = (action.response.body for action in self.with_response.values())
        self.response_bytes = sum(map(len, bodies))


def keys_settled_before(table, limit):
    """Yield the keys settled before `limit`; the table is ordered by that time."""
    for key, action in table.items():
        if action.hold_end_or_settled_at >= limit:
            return
        yield key
