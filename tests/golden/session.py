"""Records a session of calls; values that vary between runs are replaced."""

import json
import re
from typing import NamedTuple

from scripts.demo import apply_plan, start_deployment, wait_targets
from scripts.examples import OPERATOR_KEY
from standins.cluster import wait_until

__all__ = ["Call", "Session"]

IDS = re.compile(r"[0-9a-f]{32}(-[0-9]+)?")
DIGESTS = re.compile(r"[0-9a-f]{64}")
RETRY_DELAYS = re.compile(r'("retry_after_ms": |Retry-After: )[1-9][0-9]*')
ADDRESSES = re.compile(r"127\.[0-9]+\.")
RECORDED_HEADERS = (
    *("Content-Type", "Retry-After", "Idempotency-Key", "Connection"),
    *("Pollenmount-Replayed", "WWW-Authenticate"),
)


class Call(NamedTuple):
    """One call by a caller to a VM; `title` says what it shows."""

    title: str
    vm: str
    caller: str
    method: str
    path: str
    body: bytes | None = None
    headers: tuple[tuple[str, str], ...] = ()


class Session:
    """A running deployment and the transcript of the calls made to it."""

    def __init__(self, cluster, deployment):
        self.cluster = cluster
        self.deployment = deployment
        self.settings = start_deployment(cluster, deployment)
        self.lines = []
        cluster.wait_members(len(self.settings), OPERATOR_KEY)
        apply_plan(cluster, self.listen(self.first_vm, "operators"), deployment)
        wait_targets(cluster, self.settings, deployment)
        for vm in self.settings:
            wait_until(lambda vm=vm: len(self.entry_names(vm)) == len(self.settings))

    @property
    def first_vm(self):
        """Return the name of the first VM."""
        return next(iter(self.settings))

    def listen(self, vm, role="callers"):
        """Return the address on which a VM listens for `role`."""
        return self.settings[vm]["listen"][role]

    def entry_names(self, vm):
        """Return the names of the entry VMs that a VM lists to operators."""
        address = self.listen(vm, "operators")
        answer = self.cluster.call(address, "GET", "/v1/entries", OPERATOR_KEY)
        return [entry["name"] for entry in answer.json["entries"]]

    def record_call(self, call):
        """Make a call and record it; return the answer."""
        key = f"key-{call.caller}"
        address = self.listen(call.vm)
        answer = self.cluster.call(
            address, call.method, call.path, key, call.body, call.headers
        )
        self.record(f"# {call.title}")
        self.record(f"> {call.vm}: {call.method} {call.path} by {call.caller}")
        self.record_answer(answer, self.settings[call.vm]["region"])
        return answer

    def record_operator_call(self, title, vm, method, path, body=None):
        """Make a call to the operators' interface and record it."""
        address = self.listen(vm, "operators")
        answer = self.cluster.call(address, method, path, OPERATOR_KEY, body)
        self.record(f"# {title}")
        self.record(f"> {vm}: {method} {path} by an operator")
        self.record_answer(answer, "")

    def record_answer(self, answer, region):
        """Record an answer, with `region` as that of the VM that was called."""
        ran_in = answer.headers.get("Pollenmount-Region")
        region_note = {None: "", "": "", region: ", ran in the same region"}.get(
            ran_in, ", ran in another region"
        )
        self.record(f"< {answer.status}{region_note}")
        for name in RECORDED_HEADERS:
            if name in answer.headers:
                self.record(f"< {name}: {answer.headers[name]}")
        text = answer.body.decode()
        if text and answer.headers.get("Content-Type") == "application/json":
            text = json.dumps(json.loads(text), indent=1, sort_keys=True)
        self.record(text.strip() + "\n")

    def record(self, text):
        """Append a text to the transcript, with varying values replaced."""
        text = IDS.sub("ID", DIGESTS.sub("DIGEST", text))
        text = RETRY_DELAYS.sub(r"\1DELAY", text)
        self.lines.append(ADDRESSES.sub("127.N.", text))

    @property
    def transcript(self):
        """Return everything recorded so far."""
        return "\n".join(self.lines)
