"""Delays of the event loop are measured, and reported with their likely cause."""

import time

import pytest

from pollenmount.clock import ManualClock
from pollenmount.loop_monitor import REPORT_INTERVAL_MS, TICK_MS, LoopMonitor


@pytest.fixture
def monitor(caplog):
    """Yield a monitor whose ticks a test calls."""
    caplog.set_level("INFO", "pollenmount")
    delays = []
    loop_monitor = LoopMonitor(ManualClock(1000), delays.append)
    loop_monitor.close()
    loop_monitor.delays = delays
    yield loop_monitor


def tick_late(monitor, delay_ms):
    monitor.clock.advance(TICK_MS + delay_ms)
    monitor.tick()


def reports(caplog):
    return [r.fields for r in caplog.records if r.msg == "event loop delayed"]


def test_small_delays_are_only_measured(monitor, caplog):
    tick_late(monitor, 0)
    tick_late(monitor, 249)
    assert monitor.delays == [0, 0.249]
    assert not reports(caplog)


def test_a_stalled_loop_is_reported(monitor, caplog):
    """Nothing told a stalled VM from a silent network."""
    tick_late(monitor, 400)
    (fields,) = reports(caplog)
    assert fields["delay_ms"] == 400
    assert fields["cpu_ms"] < 400


def test_a_busy_loop_shows_its_processor_time(monitor, caplog):
    tick_late(monitor, 0)
    until = time.process_time() + 0.1
    while time.process_time() < until:
        pass
    tick_late(monitor, 300)
    assert reports(caplog)[0]["cpu_ms"] >= 90


def test_reports_are_bounded(monitor, caplog):
    for _ in range(10):
        tick_late(monitor, 300)
    assert len(reports(caplog)) <= 10 * (300 + TICK_MS) / REPORT_INTERVAL_MS
    monitor.clock.advance(REPORT_INTERVAL_MS)
    tick_late(monitor, 300)
    told = reports(caplog)
    assert sum(line["unreported"] for line in told) + len(told) == 11
