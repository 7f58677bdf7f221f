"""Runs one node until a signal stops it."""

import contextlib
import signal

from pollenmount import task
from pollenmount.kernel import Kernel
from pollenmount.last_requests import answer_last_requests, end_last_requests
from pollenmount.log import get_logger

__all__ = ["run_node", "stop"]

POLL_INTERVAL_MS = 50
CONNECTION_CLOSE_TIMEOUT_MS = 1000
EXIT_STOPPED = 0
EXIT_UNFINISHED = 1

logger = get_logger("node")


def run_node(settings):
    """Run a node until SIGTERM or SIGINT; return the exit status.

    The status is 0 if all running requests were finished. A second signal ends the
    requests that still run. SIGHUP is ignored: settings are read only at the start.
    """
    signals = []
    for signum in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signum, lambda signum, frame: signals.append(signum))
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    with contextlib.closing(Kernel(settings)) as kernel:
        kernel.start()
        logger.info("started", extra={"incarnation": kernel.incarnation})
        while not signals:
            task.sleep(POLL_INTERVAL_MS)
        unfinished = stop(kernel, lambda: len(signals) > 1)
    return EXIT_UNFINISHED if unfinished else EXIT_STOPPED


def stop(kernel, skip_waits=lambda: False):
    """Shut down gracefully; return how many requests were cut off.

    The node leaves the directory, refuses new requests after a delay and with them what
    it has not sent to a target, finishes running requests, and lets connections close.
    What is still running then gets a response that says so. While `skip_waits()` is
    true, no step waits.
    """
    settings = kernel.settings
    servers = kernel.get("listeners").servers_to_drain
    logger.info("stopping")
    kernel.stopping = True
    task.run_logged(kernel.get("heartbeater").send_heartbeats)
    wait_while(kernel, skip_waits, settings.stop_delay_ms)
    kernel.refusing = True
    unread = sum(server.refuse_unread() for server in servers)
    logger.info("refusing", extra={"unread": unread})
    kernel.get("call_queue").close()
    wait_while(
        kernel, skip_waits, settings.stop_limit_ms, lambda: count_active(servers)
    )
    wait_while(
        kernel,
        skip_waits,
        CONNECTION_CLOSE_TIMEOUT_MS,
        lambda: count_connections(servers),
    )
    answer_last_requests(
        lambda: count_active(servers) and not skip_waits(),
        kernel.clock,
        kernel.clock.now() + CONNECTION_CLOSE_TIMEOUT_MS,
    )
    unfinished = count_active(servers)
    end_last_requests(servers)
    logger.info("stopped", extra={"unfinished": unfinished})
    return unfinished


def wait_while(kernel, skip_waits, limit_ms, is_needed=lambda: True):
    """Wait while `is_needed`, at most `limit_ms`, unless `skip_waits()`."""
    deadline = kernel.clock.now() + limit_ms
    while is_needed() and kernel.clock.now() < deadline and not skip_waits():
        task.sleep(min(POLL_INTERVAL_MS, deadline - kernel.clock.now()))


def count_active(servers):
    """Return the number of running requests."""
    return sum(server.active for server in servers)


def count_connections(servers):
    """Return the number of open connections."""
    return sum(server.connections for server in servers)
