"""The demonstration runs with the command that README gives."""

import subprocess
import sys

from standins.cluster import ROOT


def test_demo(network):
    demo = subprocess.run(
        [sys.executable, "-W", "ignore", "scripts/demo.py", f"--network={network}"],
        cwd=ROOT,
        env={"PYTHONPATH": "."},
        capture_output=True,
        text=True,
        check=False,
        timeout=120,
    )
    assert demo.returncode == 0, demo.stdout + demo.stderr
