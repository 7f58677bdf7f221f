"""Runs each action at most once: reserved before it is sent, recorded after."""

import hashlib
import uuid
from typing import NamedTuple

from result import Err

from pollenmount import task
from pollenmount.actions.lease import HOLD_MS, RENEW_INTERVAL_MS, Lease
from pollenmount.actions.messages import (
    ActionKey,
    ActionState,
    Renew,
    Reservation,
    Reserve,
    Settle,
    StoredResponse,
)
from pollenmount.actions.replay import replay
from pollenmount.errors import Refusal, RefusalKind
from pollenmount.log import get_logger
from pollenmount.plans.plan import DEDUPLICATED
from pollenmount.routing.request import Chunk

__all__ = ["ActionRunner", "group_name"]

MAX_RESERVE_PROPOSALS = 2
INITIAL_BACKOFF_MS = 100
MAX_BACKOFF_MS = 2000
MAX_STORED_BYTES = 1 << 20
RECORD_PENDING_HEADER = ("Pollenmount-Recorded", "pending")

logger = get_logger("actions")


def group_name(region):
    """Return the name of the group that replicates a region's log of actions."""
    return f"actions/{region}"


class Attempt(NamedTuple):
    """One attempt at an action, with the lease under which it may be sent."""

    group: str
    key: ActionKey
    lease: Lease

    def settle(self, state, response=None):
        """Return the command that records how this attempt ended."""
        return Settle(self.key, self.lease.attempt, state, response)


class ActionRunner:
    """Runs actions, recorded in the log of the caller's home region.

    `holder` identifies this VM; `settler` retries settlements that failed.
    """

    sleep = staticmethod(task.sleep)

    def __init__(self, groups, clock, holder, settler):
        self.groups = groups
        self.clock = clock
        self.holder = holder
        self.settler = settler

    def run(self, call, serve):
        """Yield the response's parts or one `Refusal`.

        `serve` takes a call and yields the parts of its response; it is called only
        after the action was reserved. The action runs in its own task, so a caller that
        disconnects does not cancel it.
        """
        done = task.Event()
        task.spawn(self.execute, call, serve, done)
        yield from done.wait()

    def execute(self, call, serve, done):
        """Run the action and send the parts of its response to `done`."""
        try:
            done.send(tuple(self.run_action(call, serve)))
        except Exception as error:
            done.send(None, error)
            raise

    def run_action(self, call, serve):
        """Return the parts of the response to one request."""
        started_at = self.clock.now()
        lease = Lease(self.clock, uuid.uuid4().hex, started_at)
        key = ActionKey(call.caller.name, call.key)
        attempt = Attempt(group_name(call.caller.home), key, lease)
        reserved = self.reserve(call, attempt)
        if isinstance(reserved, Err):
            return self.abandon(attempt, reserved.err_value)
        reservation = reserved.ok_value
        if reservation.state is ActionState.RELEASED:
            self.settler.add(attempt.group, attempt.settle(ActionState.RELEASED))
        if reservation.state is not ActionState.GRANTED:
            return replay(reservation)
        return self.run_reserved(call, serve, attempt)

    def reserve(self, call, attempt):
        """Return Ok(Reservation) or Err(Refusal); retry if the reply was lost."""
        command = Reserve(
            attempt.key,
            digest_call(call),
            attempt.lease.attempt,
            self.holder,
            HOLD_MS,
            is_repeatable(call),
        )
        for _ in range(MAX_RESERVE_PROPOSALS):
            reserved = self.groups.propose(attempt.group, command, Reservation)
            if not isinstance(reserved, Err) or reserved.err_value.not_run:
                break
            if not attempt.lease.is_valid():
                break
        return reserved

    def abandon(self, attempt, refusal):
        """Return the refusal for an attempt that got no reply from the log.

        Nothing was sent to a target; a reservation that may exist is released.
        """
        if not refusal.not_run:
            self.settler.add(attempt.group, attempt.settle(ActionState.RELEASED))
        return (refusal._replace(not_run=True),)

    def run_reserved(self, call, serve, attempt):
        """Send the action, record how that ended, and return the response's parts."""
        renewal = self.start_renewal(attempt)
        try:
            parts = self.send_with_retries(call._replace(lease=attempt.lease), serve)
        except Exception:
            self.settler.add(attempt.group, attempt.settle(ActionState.UNKNOWN))
            raise
        finally:
            renewal.close()
        return self.record(attempt, parts)

    def start_renewal(self, attempt):
        """Start and return the task that renews the lease of a running attempt."""
        return task.PeriodicTask(lambda: self.renew(attempt), RENEW_INTERVAL_MS)

    def renew(self, attempt):
        """Renew the lease of an attempt once it is `RENEW_INTERVAL_MS` old."""
        started_at = self.clock.now()
        if started_at < attempt.lease.started_at + RENEW_INTERVAL_MS:
            return
        command = Renew(attempt.key, attempt.lease.attempt, HOLD_MS)
        reply = self.groups.propose(attempt.group, command, Reservation)
        if is_granted(reply):
            attempt.lease.renew(started_at)

    def send_with_retries(self, call, serve):
        """Return the parts of the response as a tuple.

        If the service ignores repeats, send again with backoff until the deadline.
        """
        parts = collect_response(serve(call))
        backoff_ms = INITIAL_BACKOFF_MS
        maybe_ran = may_have_run(parts)
        while self.may_retry(call, parts, maybe_ran, backoff_ms):
            self.sleep(backoff_ms)
            backoff_ms = min(2 * backoff_ms, MAX_BACKOFF_MS)
            parts = collect_response(serve(call))
            maybe_ran = maybe_ran or may_have_run(parts)
        return mark_outcome_unknown(parts) if maybe_ran else parts

    def may_retry(self, call, parts, maybe_ran, backoff_ms):
        """Return whether to send the request again with the same key."""
        if not maybe_ran or not is_repeatable(call):
            return False
        if not isinstance(parts[0], Refusal):
            return False
        # Another attempt would be refused for a long time, too.
        if parts[0].kind is RefusalKind.QUARANTINED:
            return False
        return self.clock.now() + backoff_ms < call.deadline

    def record(self, attempt, parts):
        """Record how an attempt ended; return the response for its caller."""
        settlement = to_settlement(attempt, parts)
        recorded = self.groups.propose(attempt.group, settlement, Reservation)
        if isinstance(recorded, Err):
            self.settler.add(attempt.group, settlement)
            return mark_unrecorded(parts)
        state = recorded.ok_value.state
        if state is ActionState.DONE and recorded.ok_value.response:
            return replay(recorded.ok_value)
        if state is ActionState.UNKNOWN and settlement.state is ActionState.RELEASED:
            return replay(recorded.ok_value)
        return parts

    def confirm(self, caller, key, attempt_id):
        """Return a `Lease` on another VM's attempt, or None if it is not granted.

        An entry VM that runs a forwarded action renews the lease in the log itself,
        since it can't know how long the request was in transit.
        """
        lease = Lease(self.clock, attempt_id, self.clock.now())
        command = Renew(ActionKey(caller.name, key), attempt_id, HOLD_MS)
        group = group_name(caller.home)
        reply = self.groups.propose(group, command, Reservation)
        return lease if is_granted(reply) else None


def collect_response(stream):
    """Return the parts of a complete response, or only the refusal that ended it."""
    parts = tuple(stream)
    return parts[-1:] if isinstance(parts[-1], Refusal) else parts


def is_granted(reply):
    """Return whether the log granted what was proposed."""
    return not isinstance(reply, Err) and reply.ok_value.state is ActionState.GRANTED


def is_repeatable(call):
    """Return whether the service itself ignores repeats of an idempotency key."""
    return call.route.service.repeat == DEDUPLICATED


def digest_call(call):
    """Return the digest that tells a repeat from a different request."""
    text = f"{call.method} {call.path}\n".encode()
    return hashlib.sha256(text + call.body).hexdigest()


def may_have_run(parts):
    """Return whether an attempt without a response may have run."""
    return isinstance(parts[0], Refusal) and not parts[0].not_run


def mark_outcome_unknown(parts):
    """Return the parts; as an attempt may have run, no refusal says 'not run'."""
    if isinstance(parts[0], Refusal) and parts[0].not_run:
        message = f"{parts[0].message} (an earlier attempt may have run)"
        kind = RefusalKind.OUTCOME_UNKNOWN
        return (parts[0]._replace(kind=kind, message=message, not_run=False),)
    return parts


def mark_unrecorded(parts):
    """Return the parts, with a header that says that the response isn't stored yet."""
    head = parts[0]
    if isinstance(head, Refusal):
        return parts
    return (head._replace(headers=(*head.headers, RECORD_PENDING_HEADER)), *parts[1:])


def to_settlement(attempt, parts):
    """Return the command that records the result of an attempt."""
    head = parts[0]
    if isinstance(head, Refusal):
        state = ActionState.RELEASED if head.not_run else ActionState.UNKNOWN
        return attempt.settle(state)
    body = b"".join(part.data for part in parts[1:] if isinstance(part, Chunk))
    if len(body) > MAX_STORED_BYTES:
        return attempt.settle(ActionState.DONE)
    response = StoredResponse(head.status, head.headers, body)
    return attempt.settle(ActionState.DONE, response)
