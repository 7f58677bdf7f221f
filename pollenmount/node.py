"""Runs one node from its settings until it is told to stop."""

import contextlib
import signal

from pollenmount import task
from pollenmount.kernel import Kernel
from pollenmount.log import get_logger

__all__ = ["run_node", "stop"]

POLL_MS = 50

logger = get_logger("node")


def run_node(settings):
    """Run a node until SIGTERM or SIGINT; return the exit status."""
    signals = []
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda number, frame: signals.append(number))
    with contextlib.closing(Kernel(settings)) as kernel:
        kernel.start()
        logger.info("started", extra={"incarnation": kernel.incarnation})
        while not signals:
            task.sleep(POLL_MS)
        stop(kernel)
    return 0


def stop(kernel):
    """Leave the directory, refuse new requests after a delay, finish the rest."""
    settings = kernel.settings
    running = kernel.get("admission").running
    logger.info("stopping")
    kernel.stopping = True
    kernel.get("heartbeater").beat()
    task.sleep(settings.stop_delay_ms)
    kernel.refusing = True
    limit = kernel.clock.now() + settings.stop_limit_ms
    while running and kernel.clock.now() < limit:
        task.sleep(POLL_MS)
    logger.info("stopped", extra={"unfinished": sum(running.values())})
