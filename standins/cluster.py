"""Starts nodes and stand-ins as processes and sends HTTP requests to them.

Used by the demonstration, the fault tests and the benchmarks. Leaving the context of
a `Cluster` kills its processes; only processes started by it are ever signalled.
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
START_TIMEOUT_S = 90
STOP_TIMEOUT_S = 15
POLL_INTERVAL_S = 0.05
CALL_TIMEOUT_S = 30


class Answer(NamedTuple):
    """An HTTP response: status, headers (case-insensitive), body."""

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
        Folder for settings, data and logs of the processes.
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
        """Start a node with the given settings document."""
        settings = dict(settings)
        if "data_folder" in settings:
            settings["data_folder"] = str(self.folder / settings["data_folder"])
        name = settings["name"]
        self.settings[name] = settings
        (self.folder / f"{name}.json").write_text(json.dumps(settings))
        self.restart_node(name)

    def restart_node(self, name):
        """Start a stopped node again with its previous settings."""
        self.start(name, "pollenmount", "node", f"--config={self.folder / name}.json")

    def start_standin(self, kind, name, listen, entries, *flags):
        """Start a stand-in that announces itself to the `entries` addresses."""
        args = [f"--name={name}", f"--listen={listen}", f"--entries={entries}"]
        self.start(name, "standins", kind, *args, *flags)

    def start(self, name, module, *args, quiet=True):
        """Run a Python module as a process that logs to NAME.log.

        `quiet` suppresses Python warnings.
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
        """Send a signal to a process; after SIGKILL or SIGTERM wait for its exit."""
        process = self.processes[name]
        process.send_signal(signal_number)
        if signal_number in (signal.SIGKILL, signal.SIGTERM):
            return process.wait(STOP_TIMEOUT_S)
        return None

    def stop_all(self):
        """Kill all processes that still run, stopped ones included, and reap them."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait(STOP_TIMEOUT_S)

    def call(self, address, method, path, key="", body=None, headers=()):
        """Send an HTTP request and return the response, with its whole body read."""
        request_headers = dict(headers)
        if key:
            request_headers["Authorization"] = f"Bearer {key}"
        url = f"http://{address}{path}"
        reply = self.pool.request(method, url, body=body, headers=request_headers)
        return Answer(reply.status, reply.headers, reply.data)

    def wait_members(self, count, operator_key, timeout_s=20):
        """Wait until every node lists at least `count` members.

        `timeout_s` counts from when all nodes answer: how long their processes take to
        start is the machine's matter.
        """

        def listed():
            for settings in self.settings.values():
                address = settings["listen"]["operators"]
                yield self.call(address, "GET", "/v1/status", operator_key)

        wait_until(lambda: [*listed()], START_TIMEOUT_S)
        wait_until(
            lambda: all(len(status.json["members"]) >= count for status in listed()),
            timeout_s,
        )


def wait_until(condition, timeout_s=20):
    """Poll until `condition()` is true; connection errors count as false."""
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        with contextlib.suppress(urllib3.exceptions.HTTPError):
            if condition():
                return
        time.sleep(POLL_INTERVAL_S)
    raise TimeoutError(
        f"{getattr(condition, '__name__', condition)} not met within {timeout_s} s"
    )


def chat_body(model, text, stream=False, max_tokens=8):
    """Return the request body of a chat completion."""
    messages = [{"role": "user", "content": text}]
    document = {
        "model": model,
        "messages": messages,
        "stream": stream,
        "max_tokens": max_tokens,
    }
    return json.dumps(document).encode()
