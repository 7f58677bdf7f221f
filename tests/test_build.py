"""The built archive starts, runs as a single process without children, and stops."""

import contextlib
import json
import os
import signal
import subprocess
import sys
from pathlib import Path

import urllib3

from scripts.examples import INZIRA, OPERATOR_KEY, make_settings
from standins.cluster import ROOT, wait_until


def test_one_file_runs_as_one_process(tmp_path, network):
    archive = tmp_path / "pollenmount"
    env = {"PATH": os.environ["PATH"], "SHIV_ROOT": str(tmp_path / "unpacked")}
    subprocess.run(
        [sys.executable, "-m", "scripts.build_file", f"--output={archive}"],
        cwd=ROOT,
        check=True,
        timeout=120,
    )
    document = make_settings(INZIRA._replace(network=network))["kigali-1"]
    document |= {"stop_delay_ms": 0, "data_folder": str(tmp_path / "data")}
    settings = tmp_path / "node.json"
    settings.write_text(json.dumps(document))
    # -I and -S hide this environment's packages: the archive must contain all it needs.
    command = [sys.executable, "-I", "-S", str(archive), "node", f"--config={settings}"]
    with subprocess.Popen(command, env=env, cwd=tmp_path) as process:
        try:
            wait_until(lambda: operators_status(document) == 200, 60)
            assert child_pids(process.pid) == ""
            process.send_signal(signal.SIGTERM)
            assert process.wait(30) == 0
        finally:
            process.kill()


def operators_status(document):
    """Return the HTTP status of a request to the node's operators interface."""
    url = f"http://{document['listen']['operators']}/v1/status"
    headers = {"Authorization": f"Bearer {OPERATOR_KEY}"}
    return urllib3.request("GET", url, headers=headers, retries=False).status


def child_pids(pid):
    """Return the ids of the child processes of all threads of a process."""
    children = []
    for thread in Path(f"/proc/{pid}/task").iterdir():
        # A thread may end meanwhile; another thread then is the parent of its children.
        with contextlib.suppress(FileNotFoundError):
            children.append((thread / "children").read_text())
    assert children
    return "".join(children)
