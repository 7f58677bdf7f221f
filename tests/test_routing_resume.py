"""Truncated streams resume after the last whole event, or end in an error."""

from collections import deque

import pytest

from pollenmount.routing.pipeline import BrokenResponseError
from pollenmount.routing.request import Chunk
from tests.stateful import scripted
from tests.test_routing_sessions import Session


def stream(node, caller, faults):
    """Return (call, body, whether it was interrupted) of a stream.

    `faults` holds a queue of faults by region; each request to any target of the region
    takes the next one.
    """
    session = Session()
    for target in session.targets.values():
        target.pending_faults = faults.setdefault(target.region, deque())
    call = scripted.make_call("call", caller, "chat", "interactive", 1500, True)
    parts, interrupted = [], []

    def collect():
        try:
            for part in session.world.nodes[node].router.serve(call):
                parts.append(part)
        except BrokenResponseError:
            interrupted.append(True)

    session.time.spawn(collect)
    session.run(70_000)
    body = b"".join(part.data for part in parts if isinstance(part, Chunk))
    return call, body, bool(interrupted)


@pytest.mark.parametrize("fault", ["cut", "cut_event", "no_end"])
def test_resumes_at_another_target(fault):
    call, body, interrupted = stream("east-1", "bound", {"east": deque([fault])})
    assert (body, interrupted) == (scripted.expected_body(call), False)


def test_resumes_in_another_region_after_a_failure_there():
    faults = {"west": deque(["cut"]), "east": deque(["reset"])}
    call, body, interrupted = stream("west-1", "near", faults)
    assert (body, interrupted) == (scripted.expected_body(call), False)


def test_interrupted_if_the_next_target_ignores_resume():
    faults = {"east": deque(["cut", "ignores_resume"])}
    call, body, interrupted = stream("east-1", "bound", faults)
    assert interrupted
    assert body and scripted.expected_body(call).startswith(body)


def test_complete_if_cut_after_the_end_mark():
    call, body, interrupted = stream(
        "east-1", "bound", {"east": deque(["cut_after_end"])}
    )
    assert (body, interrupted) == (scripted.expected_body(call), False)
