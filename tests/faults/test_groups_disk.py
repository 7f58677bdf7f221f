"""One replica in this process, on a disk that is full or fails."""

import errno
import random

import msgspec
import pytest

from pollenmount.clock import Clock
from pollenmount.consensus.calls import ProposalOutcome, Propose
from pollenmount.consensus.group import Group
from pollenmount.consensus.journal import Journal
from pollenmount.consensus.messages import Replica
from pollenmount.plans.machine import AcceptPlan, PlanMachine
from tests.stateful.test_journal import FakeDisk


class DirectWorker:
    """Runs calls at once, on the thread of the caller."""

    def run(self, function, *args):
        return function(*args)


def start(disk):
    journal = Journal(disk)
    me = Replica("a", journal.saved.incarnation, "x", "127.0.0.1:1")
    machine = PlanMachine()
    group = Group("plans", me, machine, journal, DirectWorker(), None, Clock())
    group.bootstrap((me,))
    while not group.read_barrier():
        pass
    return group


def propose(group, number):
    body = msgspec.msgpack.encode(AcceptPlan(number, f"{number}", b"sheet"))
    return group.propose(Propose("plans", "AcceptPlan", body)).outcome


@pytest.fixture
def disk():
    return FakeDisk(random.Random(0))


def test_full_disk_refuses_proposals_until_space_is_freed(disk):
    group = start(disk)
    assert propose(group, 1) is ProposalOutcome.APPLIED
    disk.free_bytes = 10
    assert [propose(group, 2) for _ in range(3)] == [ProposalOutcome.DISK_FULL] * 3
    assert group.machine.current.number == 1
    disk.free_bytes = 1 << 20
    assert propose(group, 3) is ProposalOutcome.APPLIED
    group.close()
    again = start(disk)
    assert set(again.machine.history) == {1, 3}
    again.close()


def test_failed_disk_fails_the_replica_with_an_unknown_outcome(disk):
    group = start(disk)

    def fail(name):
        raise OSError(errno.EIO, "broken")

    disk.sync = fail
    assert propose(group, 1) is ProposalOutcome.UNKNOWN
    assert "restart the node" in group.failure
    assert propose(group, 2) is ProposalOutcome.NOT_APPENDED
    group.close()
