"""Signals that a VM gets while it starts."""

import os
import signal
import subprocess
import sys
import time

from standins.cluster import ROOT

SETTLE_S = 0.3


# Guards against a VM that a reload of its settings ends before it has read them.
def test_a_reload_during_the_start_does_not_end_the_process(tmp_path):
    path = tmp_path / "settings.json"
    os.mkfifo(path)
    process = subprocess.Popen(
        [sys.executable, str(ROOT / "platform/start.py")],
        env={**os.environ, "POLLENMOUNT_SETTINGS": str(path)},
    )
    try:
        # Blocks until the process opens its settings, which then blocks in the read.
        writer = os.open(path, os.O_WRONLY)
        process.send_signal(signal.SIGHUP)
        time.sleep(SETTLE_S)
        assert process.poll() is None
        os.close(writer)
    finally:
        process.kill()
        process.wait()
