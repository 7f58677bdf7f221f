"""Runs one node from its settings until it is told to stop."""

import contextlib
import signal

from pollenmount import task
from pollenmount.kernel import Kernel
from pollenmount.log import get_logger

__all__ = ["run_node", "stop"]

POLL_MS = 50
LAST_CONNECTIONS_MS = 1000
EXIT_STOPPED = 0
EXIT_CUT_OFF = 1

logger = get_logger("node")


def run_node(settings):
    """Run a node until SIGTERM or SIGINT; return the exit status.

    It is 0 when all that ran was finished. A second signal ends what still runs.
    SIGHUP changes nothing: settings are read at the start only.
    """
    signals = []
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda number, frame: signals.append(number))
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    with contextlib.closing(Kernel(settings)) as kernel:
        kernel.start()
        logger.info("started", extra={"incarnation": kernel.incarnation})
        while not signals:
            task.sleep(POLL_MS)
        unfinished = stop(kernel, lambda: len(signals) > 1)
    return EXIT_CUT_OFF if unfinished else EXIT_STOPPED


def stop(kernel, hurried=lambda: False):
    """Stop in steps; return how many requests were cut off.

    The node leaves the directory, refuses new requests after a delay, finishes what
    runs, and lets connections end. `hurried` tells whether to skip the waiting.
    """
    settings = kernel.settings
    servers = kernel.get("listeners").servers_to_drain
    logger.info("stopping")
    kernel.stopping = True
    kernel.get("heartbeater").send_heartbeats()
    wait(kernel, hurried, settings.stop_delay_ms)
    kernel.refusing = True
    logger.info("refusing")
    wait(kernel, hurried, settings.stop_limit_ms, lambda: count_active(servers))
    wait(kernel, hurried, LAST_CONNECTIONS_MS, lambda: count_connections(servers))
    unfinished = count_active(servers)
    logger.info("stopped", extra={"unfinished": unfinished})
    return unfinished


def wait(kernel, hurried, limit_ms, needed=lambda: True):
    """Wait while `needed`, at most `limit_ms`, unless hurried."""
    limit = kernel.clock.now() + limit_ms
    while needed() and kernel.clock.now() < limit and not hurried():
        task.sleep(min(POLL_MS, limit - kernel.clock.now()))


def count_active(servers):
    """Return how many requests run."""
    return sum(server.active for server in servers)


def count_connections(servers):
    """Return how many connections are open."""
    return sum(server.connections for server in servers)
