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
# A connection that was just opened brings a request a round trip later at most.
MAX_FIRST_REQUEST_TURNS = 3
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
    """Answer the requests that servers can't finish any more, or break them off.

    Nothing is accepted or read from then on, and the end of the process may take a
    while. So callers are told at once: new connections are refused, and idle ones are
    closed once nothing has come on them meanwhile.
    """
    for server in servers:
        server.refuse_connections()
    for _ in range(MAX_FIRST_REQUEST_TURNS):
        task.sleep(TURN_MS)
        if not any(server.unused for server in servers):
            break
    ended = sum(server.end_running() for server in servers)
    if ended:
        logger.warning("requests ended", extra={"ended": ended})
        task.sleep(LAST_RESPONSES_MS)
    for server in servers:
        server.close()
