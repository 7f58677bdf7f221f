"""Log lines on the leader, the members and the join requests of a group."""

import pytest
from result import Err, Ok

from pollenmount.consensus import messages as m
from pollenmount.consensus import state as s
from pollenmount.consensus.calls import Exchange
from pollenmount.consensus.changes import log_changes
from pollenmount.consensus.link import ReplicaLink
from pollenmount.errors import TransportError

A, B = (m.Replica(name, "0123456789", "x", f"{name}:1") for name in "ab")
STATE = s.State(A, s.Timing(), configuration=m.Configuration((A,)))


@pytest.fixture
def lines(caplog):
    """Return a function that returns the fields of the lines so far, by message."""
    caplog.set_level("INFO", "pollenmount")
    return lambda: {record.msg: record.fields for record in caplog.records}


def test_a_leader_is_logged_when_it_changes_and_not_when_only_the_log_does(lines):
    log_changes("g", STATE, STATE._replace(commit=4))
    assert not lines()
    log_changes("g", STATE, STATE._replace(leader=B, term=3))
    changed = lines()["leader changed"]
    assert (changed["leader"], changed["term"], changed["role"]) == ("b", 3, "follower")


def test_members_are_logged_with_their_incarnations(lines):
    joint = m.Configuration((B,), (A,))
    log_changes("g", STATE, STATE._replace(configuration=joint))
    changed = lines()["members changed"]
    assert (changed["voters"], changed["outgoing"]) == (["b/01234567"], ["a/01234567"])


def test_a_join_request_is_logged_once_for_each_incarnation(lines, caplog):
    first = STATE._replace(join_requests={"b": (B, 0)})
    repeated = STATE._replace(join_requests={"b": (B, 900)})
    log_changes("g", STATE, first)
    assert lines()["join requested"]["replica"] == "b/01234567"
    caplog.clear()
    log_changes("g", first, repeated)
    assert not lines()


class Peer:
    """A control client whose calls have the given replies."""

    def __init__(self, *replies):
        self.replies = list(replies)

    def call(self, address, request, timeout_ms):
        return self.replies.pop(0)


def test_a_replica_that_takes_no_calls_is_logged_when_that_changes(caplog):
    caplog.set_level("INFO", "pollenmount")
    failed = Err(TransportError(B.address, "DEADLINE_EXCEEDED", True))
    reached = Ok(Exchange("g", B, A, ()))
    peer = Peer(reached, failed, failed, reached)
    link = ReplicaLink(peer, "g", A, B, lambda exchange: None)
    for _ in range(4):
        link.send(())
    assert [(r.msg, r.fields["problem"]) for r in caplog.records] == [
        ("replica unreachable", "DEADLINE_EXCEEDED"),
        ("replica reachable", ""),
    ]
