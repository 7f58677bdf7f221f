"""The outcomes that a client reports, and when a group is bootstrapped."""

from types import SimpleNamespace

import pytest
from result import Err, Ok

from pollenmount import task
from pollenmount.clock import ManualClock
from pollenmount.consensus import client as c
from pollenmount.consensus.calls import HelloReply, ProposalOutcome, ProposeReply
from pollenmount.consensus.founding import FEW_WITNESSES_ROUNDS
from pollenmount.consensus.joining import Joiner
from pollenmount.consensus.messages import Replica
from pollenmount.consensus.pending import PendingRequests
from pollenmount.consensus.state import Appended
from pollenmount.errors import TransportError

A, B, C = (Replica(name, "1", "x", name) for name in "abc")
WITNESS = Ok(HelloReply(B, True, "", True))
UNSENT = Err(TransportError("a", "refused", sent=False))
LOST = Err(TransportError("a", "timeout", sent=True))
NOT_APPENDED = Ok(ProposeReply(False, b"", "", ProposalOutcome.NOT_APPENDED))
UNKNOWN = Ok(ProposeReply(False, b"", "", ProposalOutcome.UNKNOWN))
DISK_FULL = Ok(ProposeReply(False, b"", "", ProposalOutcome.DISK_FULL))


@pytest.mark.parametrize(
    ("replies", "not_run"),
    [
        ([NOT_APPENDED, UNSENT], True),
        ([DISK_FULL], True),
        ([UNKNOWN, NOT_APPENDED], False),
        ([LOST, NOT_APPENDED], False),
        ([UNKNOWN, DISK_FULL], False),
    ],
)
def test_not_run_is_reported_only_when_no_log_can_hold_the_command(replies, not_run):
    clock = ManualClock()
    remaining = list(replies)

    def call(address, request, timeout_ms):
        clock.advance(c.PROPOSE_TIMEOUT_MS // 4)
        return remaining.pop(0) if remaining else replies[-1]

    control = SimpleNamespace(call=call)
    client = c.GroupClient(control, {"plans": {"a": "a", "b": "b"}}, clock)
    refusal = client.propose("plans", A, Replica).unwrap_err()
    assert refusal.not_run is not_run
    assert refusal.retry_after_ms > 0


def test_suspected_node_is_asked_last_until_the_suspicion_expires():
    clock = ManualClock()
    client = c.GroupClient(
        SimpleNamespace(call=lambda *_: LOST), {"plans": {"a": "a", "b": "b"}}, clock
    )
    client.ask("a", c.Propose("plans", "x", b""), 1)
    assert client.addresses("plans") == ["b", "a"]
    clock.advance(c.SUSPECT_TTL_MS)
    assert client.addresses("plans") == ["a", "b"]


def test_overwritten_proposal_is_reported_as_not_appended():
    pending = PendingRequests()
    first, second = (SimpleNamespace(done=task.Event()) for _ in range(2))
    pending.add_proposals(Appended(0, 5, 2), (first, second))
    pending.complete_proposal(5, 2, b"answer", lambda *reported: reported)
    pending.complete_proposal(6, 3, b"other", lambda *reported: reported)
    assert first.done.wait() == (ProposalOutcome.APPLIED, b"answer")
    assert second.done.wait() == (ProposalOutcome.NOT_APPENDED, b"")


@pytest.mark.parametrize(
    ("replies", "bootstraps"),
    [
        ({"b": WITNESS, "c": Ok(HelloReply(C, True))}, True),
        ({"b": WITNESS, "c": Ok(HelloReply(C, False))}, False),
        ({"b": WITNESS, "c": LOST}, False),
        ({"b": WITNESS, "c": Ok(HelloReply(None, True))}, False),
    ],
)
def test_group_is_bootstrapped_only_when_every_first_voter_is_uninitialized(
    replies, bootstraps
):
    bootstrapped = []
    group = SimpleNamespace(
        name="plans",
        me=A,
        state=SimpleNamespace(is_uninitialized=True),
        bootstrap=bootstrapped.append,
    )
    control = SimpleNamespace(call=lambda address, *_: replies[address])
    joiner = Joiner(group, control, {name: name for name in "abc"})
    joiner.announce()
    joiner.close()
    assert bootstrapped == ([(A, B, C)] if bootstraps else [])


@pytest.mark.parametrize(
    ("witnesses", "rounds"), [("bc", 1), ("b", FEW_WITNESSES_ROUNDS), ("", None)]
)
def test_first_voter_restarted_during_the_first_start_still_bootstraps(
    witnesses, rounds
):
    """Guards against a group that is never created, and against a second one.

    A first voter that restarts during the fleet's first start is told that the fleet
    was started before. Voters that have been up since then allow the bootstrap: at once
    if the others are no majority, or else after several rounds.
    """
    bootstrapped = []
    group = SimpleNamespace(
        name="plans",
        me=A,
        state=SimpleNamespace(is_uninitialized=True),
        bootstrap=bootstrapped.append,
    )
    replies = {
        "b": Ok(HelloReply(B, True, "", "b" in witnesses)),
        "c": Ok(HelloReply(C, True, "", "c" in witnesses)),
    }
    control = SimpleNamespace(call=lambda address, *_: replies[address])
    joiner = Joiner(group, control, {name: name for name in "abc"}, may_bootstrap=False)
    joiner.close()
    for _ in range((rounds or 2 * FEW_WITNESSES_ROUNDS) - 1):
        joiner.announce()
    assert bootstrapped == []
    joiner.announce()
    assert bootstrapped == ([(A, B, C)] if rounds else [])
