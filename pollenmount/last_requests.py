"""Answers what had reached the sockets of a program, or still runs, before it ends.

After a stall the event loop runs timers before it polls sockets: a task that was to end
the program would do so before any request is seen that came during the stall.
"""

from pollenmount import task
from pollenmount.log import get_logger

__all__ = ["answer_last_requests", "end_last_requests"]

TURN_MS = 20
# A turn that takes longer was stalled, and requests may have come meanwhile.
MAX_TURN_MS = 60
# The time to send the responses to requests that end with the program.
LAST_RESPONSES_MS = 60

logger = get_logger("stop")


def answer_last_requests(is_busy, clock, deadline):
    """Let the event loop run until it has polled in time and `is_busy()` is false.

    It ends at `deadline` by the clock at the latest.
    """
    while clock.now() < deadline:
        turn_started_at = clock.now()
        task.sleep(TURN_MS)
        if clock.now() - turn_started_at <= MAX_TURN_MS and not is_busy():
            return


def end_last_requests(servers):
    """Answer the requests that servers can't finish any more, or break them off."""
    ended = sum(server.end_running() for server in servers)
    if ended:
        logger.warning("requests ended", extra={"ended": ended})
        task.sleep(LAST_RESPONSES_MS)
