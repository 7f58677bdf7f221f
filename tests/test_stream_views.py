"""A stream goes on only at its version, however old the view of the VM it comes to.

Callers do not name the streams that they take up, as on the platform's pages.
"""

import contextlib

import pytest

from pollenmount.fleet.records import ENTRY
from tests.fleet_model import ZONES
from tests.stream_traffic import StreamTraffic

STREAMS = 12
ABSENCE_MS = 3000
RELINK_MS = 3000
# Longer than until a control VM doubts a target, shorter than until it is silent.
DOUBTED_MS = 2500
# The users' bound, as in the test of all streams.
MIN_SHARE = 0.5


@pytest.fixture
def traffic():
    with contextlib.closing(StreamTraffic(named=False)) as traffic:
        yield traffic


def begin_streams(traffic, nodes, version):
    """Return streams that have begun at a version, at some VMs, and broken off."""
    streams = []
    for number in range(20 * STREAMS):
        stream = traffic.begin(nodes[number % len(nodes)])
        while stream.is_open and stream.last_event < 2:
            traffic.read(stream)
        stream.body = None
        if stream.versions == [version] * 2:
            streams.append(stream)
        if len(streams) == STREAMS:
            return streams
    raise AssertionError("too few streams began")


def take_up(traffic, streams, node=None):
    """Let callers take streams up at a VM; return how many went on to their end."""
    for stream in streams:
        traffic.take_up(stream, node)
        while stream.is_open:
            traffic.read(stream)
    assert not traffic.gaps()
    return sum(stream.done for stream in streams)


def release(traffic, version, share):
    """Replace some targets of each region by those of another version."""
    ids = sorted(traffic.versions)
    for id_ in ids[: round(share * len(ids))]:
        traffic.release(id_, version)


def absent_vm(traffic, absence):
    """Let the first VM be out of step while a version joins; return it and the others.

    It stands still, or has no link to any control VM.
    """
    absent, *others = traffic.fleet.of_role(ENTRY)
    if absence == "frozen":
        traffic.fleet.freeze(absent)
    else:
        traffic.fleet.cut(absent.name)
    release(traffic, "v2", 0.5)
    traffic.fleet.run(ABSENCE_MS)
    return absent, others


def end_absence(traffic, absent):
    """Let the VM be in step again."""
    if absent.frozen_at:
        traffic.fleet.wake(absent)
    traffic.fleet.cut()


# A VM that stood still while a version joined knew one version only, so it sent streams
# that had begun at the new one to the old one.
def test_a_vm_that_has_stood_still_joins_no_streams(traffic):
    absent, others = absent_vm(traffic, "frozen")
    streams = begin_streams(traffic, others, "v2")
    end_absence(traffic, absent)
    take_up(traffic, streams, absent)
    assert not traffic.joined()


# A VM without a link to any control VM did the same, for as long as it was cut off.
def test_a_vm_that_is_cut_off_joins_no_streams(traffic):
    absent, others = absent_vm(traffic, "cut")
    streams = begin_streams(traffic, others, "v2")
    take_up(traffic, streams, absent)
    assert not traffic.joined()


# Once the version that began a stream had left, the one that was left seemed the only
# one there ever was, also to VMs that had been in step all the time.
def test_no_stream_goes_on_at_the_version_that_replaced_its_own(traffic):
    streams = begin_streams(traffic, traffic.fleet.of_role(ENTRY), "v1")
    old = [*traffic.versions]
    release(traffic, "v2", 1.0)
    for id_ in old:
        traffic.leave(id_)
    traffic.fleet.run(ABSENCE_MS)
    take_up(traffic, streams)
    assert not traffic.joined()


# Rows of other regions leave out the versions of targets that take no new requests.
def test_no_stream_is_joined_while_another_regions_version_drains(traffic):
    nodes = traffic.fleet.of_role(ENTRY)
    south = [node for node in nodes if node.region == "south"]
    for id_ in [
        i for i, zone in traffic.fleet.targets.items() if ZONES[zone] == "south"
    ]:
        traffic.release(id_, "v2")
    traffic.fleet.run(ABSENCE_MS)
    streams = begin_streams(traffic, south, "v2")
    traffic.draining = {i for i, version in traffic.versions.items() if version == "v2"}
    traffic.fleet.run(ABSENCE_MS)
    take_up(traffic, streams, next(n for n in nodes if n.region == "east"))
    assert not traffic.joined()


# To refuse all callers that name no stream would join none either.
@pytest.mark.parametrize("absence", ["frozen", "cut"])
def test_streams_go_on_at_a_vm_that_is_in_step_again(traffic, absence):
    absent, others = absent_vm(traffic, absence)
    streams = begin_streams(traffic, others, "v2")
    end_absence(traffic, absent)
    traffic.fleet.run(RELINK_MS)
    assert take_up(traffic, streams, absent) >= MIN_SHARE * STREAMS
    assert not traffic.joined()


def restart_targets(traffic):
    """Let targets restart under their ids as another version; time passes in doubt."""
    for id_ in sorted(traffic.versions)[::2]:
        traffic.restart_silently(id_, "v2")
    traffic.fleet.run(DOUBTED_MS)


# A target that restarted under its id as another version was taken for the version that
# it had, also while its heartbeat was overdue.
def test_streams_are_not_taken_up_at_a_target_that_may_have_restarted(traffic):
    nodes = traffic.fleet.of_role(ENTRY)
    streams = begin_streams(traffic, nodes, "v1")
    restart_targets(traffic)
    for node in nodes:
        take_up(traffic, streams[:2], node)
        del streams[:2]
    assert not traffic.joined()


# What such a target began was recorded as a stream of the version that it had.
def test_streams_that_began_at_a_target_in_doubt_are_not_joined(traffic):
    nodes = traffic.fleet.of_role(ENTRY)
    restart_targets(traffic)
    streams = begin_streams(traffic, nodes, "v2")
    take_up(traffic, streams)
    assert not traffic.joined()
