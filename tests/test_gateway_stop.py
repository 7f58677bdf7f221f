"""A planned stop of an entry VM: its deadlines count from the signal."""

import os
import signal
import types

from pollenmount.clock import ManualClock
from pollenmount.gateway.node import Signals
from pollenmount.gateway.roles import entry
from tests.gateway_harness import make_settings

NOTICED_AFTER_MS = 150
# Requests accepted later than this after the signal must not be cut off.
MAX_ACCEPTED_MS = 3000


def test_a_stop_noticed_late_still_refuses_in_time(monkeypatch):
    """Times must count from the signal, not from when the main loop noticed it.

    The signal came while the loop slept; requests were accepted for 3.04 s after it.
    """
    clock = ManualClock(1_000_000)
    requested_at = clock.now()
    clock.advance(NOTICED_AFTER_MS)
    monkeypatch.setattr(entry.task, "sleep", clock.advance)
    role = entry.EntryRole.__new__(entry.EntryRole)
    refused_at = []
    role.node = types.SimpleNamespace(
        clock=clock, settings=make_settings(), stopping=False, refusing=False
    )
    role.links = types.SimpleNamespace(send_heartbeats=lambda: None)
    role.is_busy = lambda: refused_at.append(clock.now()) or False
    role.stop(requested_at)
    assert role.node.stopping
    assert role.node.refusing
    assert refused_at[0] - requested_at < MAX_ACCEPTED_MS


def test_signal_times_are_recorded_on_arrival():
    before = {
        number: signal.getsignal(number)
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    }
    clock = ManualClock(1000)
    try:
        signals = Signals(clock)
        os.kill(os.getpid(), signal.SIGHUP)
        assert signals.take_reload()
        assert not signals.take_reload()
        assert signals.stop_requested_at is None
        os.kill(os.getpid(), signal.SIGTERM)
        clock.advance(50)
        os.kill(os.getpid(), signal.SIGTERM)
        assert signals.stop_requested_at == 1000
    finally:
        for number, handler in before.items():
            signal.signal(number, handler)
