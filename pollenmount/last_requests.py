"""Answers what had reached the sockets of a program before it ends.

After a stall the event loop runs timers before it polls sockets: a task that was to end
the program would do so before any request is seen that came during the stall.
"""

from pollenmount import task

__all__ = ["answer_last_requests"]

TURN_MS = 20
# A turn that takes longer was stalled, and requests may have come meanwhile.
MAX_TURN_MS = 60


def answer_last_requests(is_busy, clock, deadline):
    """Let the event loop run until it has polled in time and `is_busy()` is false.

    It ends at `deadline` by the clock at the latest.
    """
    while clock.now() < deadline:
        turn_started_at = clock.now()
        task.sleep(TURN_MS)
        if clock.now() - turn_started_at <= MAX_TURN_MS and not is_busy():
            return
