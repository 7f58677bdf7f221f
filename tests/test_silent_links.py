"""Links between VMs whose connection goes silent for good, without a reset.

The users' day `severed` silences open connections between VMs while new ones work. A
link must notice that by itself, so both ends must say something often enough that an
idle link is not taken for a silent one.
"""

import collections
import socket

import pytest

from pollenmount.clock import Clock
from pollenmount.fleet.channel import LINK_TIMEOUT_MS, Channel, ChannelError
from pollenmount.fleet.messages import MemberHeartbeat
from tests.fleet_model import FleetModel

TIMEOUT_MS = 200


# A VM went on with old targets and plans over a link that brought nothing any more.
def test_a_link_that_brings_nothing_fails_though_it_takes_what_is_sent():
    clock = Clock()
    ours, theirs = socket.socketpair()
    with ours, theirs:
        channel = Channel(ours, TIMEOUT_MS)
        channel.push(MemberHeartbeat(None))
        started_at = clock.now()
        with pytest.raises(ChannelError):
            channel.receive()
        assert clock.now() - started_at >= TIMEOUT_MS


# An idle link that is taken for silent would be opened anew all the time.
@pytest.mark.parametrize("entries", [9, 180])
def test_both_ends_of_an_idle_link_say_something_well_within_its_timeout(entries):
    with FleetModel.started(entries) as model:
        counts = collections.Counter()
        deliver = model.deliver

        def count_and_deliver():
            counts.update(end for end in model.ends if end.inbox)
            deliver()

        model.deliver = count_and_deliver
        model.run(LINK_TIMEOUT_MS)
        ends = [end for end in model.ends if not end.closed]
        assert ends
        assert min(counts[end] for end in ends) >= 1
