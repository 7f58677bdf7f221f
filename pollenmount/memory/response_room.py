"""Room in the memory of this VM for complete responses of targets."""

import contextlib

from pollenmount import task

__all__ = ["ResponseRoomError", "hold_response"]

# Responses of which the reader makes no progress are shed within this time.
MAX_WAIT_MS = 10_000
POLL_INTERVAL_MS = 50
# A response of unknown size is accounted for in steps.
STEP_BYTES = 65_536


class ResponseRoomError(Exception):
    """This VM has no memory for the response; the request may have run."""

    def __init__(self):
        super().__init__("this VM has no memory for the response")


@contextlib.contextmanager
def hold_response(holding, deadline):
    """Yield a function that accounts for a response, and waits for room for it.

    It is called with the size so far, or one that is announced, and raises
    `ResponseRoomError` if there is no room before the deadline. What it has accounted
    for is released if the response is not used, else with the request. `holding` is
    None if nothing is accounted for.
    """
    held = 0

    def hold(size, has_arrived=True):
        nonlocal held
        if holding is None:
            return
        if size > held:
            count = max(size - held, STEP_BYTES)
            wait_for_room(holding, count, deadline)
            holding.add(count)
            held += count
        holding.ahead = held - has_arrived * size

    try:
        yield hold
    except BaseException:
        if holding is not None:
            holding.release(held)
        raise


def wait_for_room(holding, count, deadline):
    """Wait until there is room for `count` bytes, or raise `ResponseRoomError`.

    Meanwhile the response is not read.
    """
    budget = holding.budget
    wait_until = min(deadline, budget.clock.now() + MAX_WAIT_MS)
    while not budget.has_room(count, holding):
        if budget.clock.now() >= wait_until:
            raise ResponseRoomError
        task.sleep(POLL_INTERVAL_MS)
