"""The one file starts, runs as one process with no child, and stops."""

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
    built = tmp_path / "pollenmount"
    environ = {"PATH": os.environ["PATH"], "SHIV_ROOT": str(tmp_path / "unpacked")}
    subprocess.run(
        [sys.executable, "-m", "scripts.build_file", f"--output={built}"],
        cwd=ROOT,
        check=True,
        timeout=120,
    )
    document = make_settings(INZIRA._replace(network=network))["kigali-1"]
    document |= {"stop_delay_ms": 0, "data_folder": str(tmp_path / "data")}
    settings = tmp_path / "node.json"
    settings.write_text(json.dumps(document))
    # The archive alone: an interpreter without this environment's packages.
    words = [sys.executable, "-I", "-S", str(built), "node", f"--config={settings}"]
    with subprocess.Popen(words, env=environ, cwd=tmp_path) as process:
        try:
            wait_until(lambda: status_of(document) == 200, 60)
            assert children_of(process.pid) == ""
            process.send_signal(signal.SIGTERM)
            assert process.wait(30) == 0
        finally:
            process.kill()


def status_of(document):
    """Return the status of the operators' interface of the node."""
    url = f"http://{document['listen']['operators']}/v1/status"
    headers = {"Authorization": f"Bearer {OPERATOR_KEY}"}
    return urllib3.request("GET", url, headers=headers, retries=False).status


def children_of(pid):
    """Return the process ids of the children of all threads of a process."""
    children = []
    for thread in Path(f"/proc/{pid}/task").iterdir():
        # A thread may end in between; its children would be the process's.
        with contextlib.suppress(FileNotFoundError):
            children.append((thread / "children").read_text())
    assert children
    return "".join(children)
