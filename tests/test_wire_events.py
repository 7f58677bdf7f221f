"""Splitting a stream into events: any division of the bytes, bounded time and size."""

import time

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pollenmount.wire.errors import MalformedResponseError
from pollenmount.wire.events import MAX_EVENT_BYTES, EventSplitter

STREAM = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n\n\n\r\n\r\nid: 3\n\r\nrest\r\n\r"
# Enough for a time that grows with the square of the bytes to exceed a minute.
SMALL_CHUNK_COUNT = 200_000
SMALL_CHUNK = b"data:"
MAX_FEED_S = 10


def split(parts):
    """Return (events, pending bytes, last id) after feeding all parts."""
    splitter = EventSplitter()
    events = b"".join([splitter.feed(part) for part in parts])
    return events, bytes(splitter.pending), splitter.last_id


@settings(derandomize=True, database=None, max_examples=300, deadline=None)
@given(st.sets(st.integers(1, len(STREAM) - 1)))
def test_events_do_not_depend_on_how_the_bytes_arrive(cuts):
    bounds = [0, *sorted(cuts), len(STREAM)]
    parts = [STREAM[a:b] for a, b in zip(bounds, bounds[1:], strict=False)]
    assert split(parts) == split([STREAM])
    assert split(parts)[1:] == (b"id: 3\n\r\nrest\r\n\r", 2)


# Guards against a VM that stands still while it searches the same bytes repeatedly.
def test_an_event_in_small_chunks_takes_linear_time():
    started_at = time.process_time()
    splitter = EventSplitter()
    for _ in range(SMALL_CHUNK_COUNT):
        assert splitter.feed(SMALL_CHUNK) == b""
        if time.process_time() - started_at > MAX_FEED_S:
            pytest.fail("the time grows with the bytes that are pending")
    assert len(splitter.pending) == SMALL_CHUNK_COUNT * len(SMALL_CHUNK)


# Guards against a VM that runs out of memory for an event that never ends.
def test_an_event_without_end_is_malformed():
    splitter = EventSplitter()
    with pytest.raises(MalformedResponseError):
        for _ in range(2 * MAX_EVENT_BYTES // 1000):
            splitter.feed(b"x" * 1000)
    assert len(splitter.pending) <= MAX_EVENT_BYTES + 1000


def test_events_before_one_without_end_are_returned():
    splitter = EventSplitter()
    complete = splitter.feed(b"id: 7\n\n" + b"x" * 2 * MAX_EVENT_BYTES)
    assert (complete, splitter.last_id) == (b"id: 7\n\n", 7)
    with pytest.raises(MalformedResponseError):
        splitter.feed(b"x")


def test_events_of_the_greatest_size_are_passed_on():
    event = b"x" * MAX_EVENT_BYTES
    assert split([event, b"\n\n"])[0] == event + b"\n\n"
