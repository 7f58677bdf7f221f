"""Starts nodes and stand-ins as processes, and calls them.

For the demonstration, tests of faults and benchmarks. All processes end with the
cluster's exit stack; only processes started here are ever signalled.
"""

import contextlib
import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path
from typing import NamedTuple

import urllib3

__all__ = ["Answer", "Cluster", "chat_body", "wait_until"]

ROOT = Path(__file__).parent.parent
STOP_TIMEOUT_S = 15
POLL_INTERVAL_S = 0.05
CALL_TIMEOUT_S = 30


class Answer(NamedTuple):
    """An HTTP answer: status, headers (case-insensitive), body."""

    status: int
    headers: urllib3.HTTPHeaderDict
    body: bytes

    @property
    def json(self):
        """Return the body as a JSON document."""
        return json.loads(self.body)


class Cluster:
    """Processes of one deployment.

    `folder`
        Where settings, data and logs go.
    """

    def __init__(self, folder):
        self.folder = Path(folder)
        self.stack = contextlib.ExitStack()
        self.processes = {}
        self.settings = {}
        self.pool = urllib3.PoolManager(retries=False, timeout=CALL_TIMEOUT_S)

    def __enter__(self):
        self.stack.callback(self.stop_all)
        return self

    def __exit__(self, *exc_info):
        self.stack.close()

    def start_node(self, settings):
        """Start a node with this settings document."""
        settings = dict(settings)
        if "data_folder" in settings:
            settings["data_folder"] = str(self.folder / settings["data_folder"])
        name = settings["name"]
        self.settings[name] = settings
        (self.folder / f"{name}.json").write_text(json.dumps(settings))
        self.restart_node(name)

    def restart_node(self, name):
        """Start a stopped node again with the settings it had."""
        self.start(name, "pollenmount", "node", f"--config={self.folder / name}.json")

    def start_standin(self, kind, name, listen, entries, *flags):
        """Start a stand-in that announces itself to the `entries` addresses."""
        args = [f"--name={name}", f"--listen={listen}", f"--entries={entries}"]
        self.start(name, "standins", kind, *args, *flags)

    def start(self, name, module, *args, quiet=True):
        """Start a Python module as a process; its output goes to NAME.log.

        `quiet` turns its warnings off.
        """
        options = ["-W", "ignore"] if quiet else []
        with open(self.folder / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, *options, "-m", module, *args],
                cwd=ROOT,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
                env={**os.environ, "PYTHONPATH": str(ROOT)},
            )

    def kill(self, name, signal_number=signal.SIGKILL):
        """Send a signal to one process; wait for its end if that ends it."""
        process = self.processes[name]
        process.send_signal(signal_number)
        if signal_number in (signal.SIGKILL, signal.SIGTERM):
            return process.wait(STOP_TIMEOUT_S)
        return None

    def stop_all(self):
        """End every process: asked first, killed if it stays."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait(STOP_TIMEOUT_S)

    def call(self, address, method, path, key="", body=None, headers=()):
        """Return the whole `Answer` of one HTTP call."""
        request_headers = dict(headers)
        if key:
            request_headers["Authorization"] = f"Bearer {key}"
        url = f"http://{address}{path}"
        reply = self.pool.request(method, url, body=body, headers=request_headers)
        return Answer(reply.status, reply.headers, reply.data)

    def wait_members(self, count, operator_key, timeout_s=20):
        """Wait until every node sees `count` members."""

        def ready():
            for settings in self.settings.values():
                address = settings["listen"]["operators"]
                status = self.call(address, "GET", "/v1/status", operator_key)
                if len(status.json["members"]) < count:
                    return False
            return True

        wait_until(ready, timeout_s)


def wait_until(condition, timeout_s=20):
    """Wait until `check` returns true; connection errors count as false."""
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        with contextlib.suppress(urllib3.exceptions.HTTPError):
            if condition():
                return
        time.sleep(POLL_INTERVAL_S)
    raise TimeoutError(
        f"{getattr(condition, '__name__', condition)} not met in {timeout_s} s"
    )


def chat_body(model, text, stream=False, max_tokens=8):
    """Return the body of a chat completion."""
    messages = [{"role": "user", "content": text}]
    document = {
        "model": model,
        "messages": messages,
        "stream": stream,
        "max_tokens": max_tokens,
    }
    return json.dumps(document).encode()
