"""Tells a target that has crashed from one that closed a single connection."""

import contextlib
from collections.abc import Callable
from typing import NamedTuple

from pollenmount import task
from pollenmount.wire.connection import connect
from pollenmount.wire.errors import ConnectError, ConnectRefusedError

__all__ = ["CrashProbe"]

# Several round trips within a region.
CONNECT_TIMEOUT_MS = 100
# The connections and the port of a process that is killed close at almost one moment.
SETTLE_MS = 10
# On a busy machine, it takes longer.
LONG_SETTLE_MS = 100
# A process that ends may take as long to close its connections and its port.
WATCH_MS = 1000
WATCH_INTERVAL_MS = 20
# Counted, so that a VM that stands still meanwhile looks as often.
LOOKS = WATCH_MS // WATCH_INTERVAL_MS


class Watcher(NamedTuple):
    """Wants to know of a crash that is found at the look `last_look` or before."""

    on_crash: Callable[[], None]
    last_look: int


class TargetWatch:
    """The `Watcher`s of one target, and a connection that shows whether it is up.

    `looks` counts how often it was looked at.
    """

    def __init__(self):
        self.looks = 0
        self.watchers = []
        self.connection = None

    def is_connected(self):
        """Return whether the connection is open."""
        return self.connection is not None and self.connection.is_alive()

    def keep(self, connection):
        """Replace the connection."""
        self.close()
        self.connection = connection

    def close(self):
        """Close the connection."""
        if self.connection is not None:
            self.connection.close()
            self.connection = None


class CrashProbe:
    """Asks whether the processes of targets have ended; `pool` has their connections.

    `watches` has the `TargetWatch` of each target that broke off a request lately, by
    the key of its connections.
    """

    def __init__(self, pool, spawn=task.spawn, sleep=task.sleep):
        self.pool = pool
        self.spawn = spawn
        self.sleep = sleep
        self.watches = {}

    def has_crashed(self, destination, on_crash=None):
        """Return whether nothing listens at a target that has broken off a request.

        A crash ends all connections, and takes some time until the target is back. A
        process does not close all its sockets at one moment, so `on_crash` is called
        if the target is found to have crashed a little later.
        """
        key = destination.connection_key
        watch = self.watches.get(key) or TargetWatch()
        if self.is_down(destination, watch):
            return True
        if on_crash is not None:
            self.add_watcher(destination, watch, on_crash)
        elif key not in self.watches:
            watch.close()
        return False

    def has_ended(self, destination, may_wait):
        """Return whether a target has ended as it closed a connection in good order.

        The kernel closes the connections of a process that is killed so. If this may
        wait, it goes on to look for a while.
        """
        crashes = []
        self.sleep(SETTLE_MS)
        if self.has_crashed(destination, lambda: crashes.append(destination)):
            return True
        if may_wait:
            self.sleep(LONG_SETTLE_MS)
        return bool(crashes)

    def up_since(self, destination):
        """Return since when a connection to a target, which is up, is open, or None."""
        return self.pool.open_since(destination.connection_key)

    def has_lost_connections(self, destination):
        """Return whether the connections to a target that were kept are all closed."""
        return (
            self.pool.has_idle(destination.connection_key)
            and self.up_since(destination) is None
        )

    def add_watcher(self, destination, watch, on_crash):
        """Add a watcher to the present watch of a target, or else begin `watch`."""
        key = destination.connection_key
        is_new = key not in self.watches
        if is_new:
            self.watches[key] = watch
        elif self.watches[key] is not watch:
            watch.close()
        watch = self.watches[key]
        watch.watchers.append(Watcher(on_crash, watch.looks + LOOKS))
        if is_new:
            self.spawn(self.follow, destination, watch)

    def is_down(self, destination, watch):
        """Return whether a target has no open connection and refuses a new one."""
        if self.pool.has_live_idle(destination.connection_key) or watch.is_connected():
            return False
        try:
            watch.keep(connect(destination.address, CONNECT_TIMEOUT_MS))
        except ConnectRefusedError:
            return True
        except ConnectError:
            return False
        return False

    def follow(self, destination, watch):
        """Watch a target until it is found to have crashed, or for as long as asked."""
        key = destination.connection_key
        with contextlib.ExitStack() as stack:
            stack.callback(watch.close)
            stack.callback(self.watches.pop, key)
            while watch.watchers:
                self.sleep(WATCH_INTERVAL_MS)
                if self.is_down(destination, watch):
                    for watcher in watch.watchers:
                        watcher.on_crash()
                    return
                watch.looks += 1
                watch.watchers = [
                    w for w in watch.watchers if w.last_look > watch.looks
                ]
