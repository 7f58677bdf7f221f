"""Chaos test: sends requests while nodes are killed, frozen and restarted by a seed.

Every answer to a chat is checked on arrival. At the end, the run counts of the
stand-ins are compared with the outcomes reported for each filing. For a longer run:
`python -m tests.faults.chaos --seed=7 --seconds=120`.
"""

import argparse
import contextlib
import json
import random
import signal
import sys
import tempfile
import threading
import time
from collections import Counter
from typing import NamedTuple

import urllib3

from scripts.examples import INZIRA, OPERATOR_KEY, make_settings
from standins.cluster import ROOT, Cluster, chat_body, wait_until
from standins.kinds.engine import answer_words

CHAT = "/v1/chat/completions"
WORD_COUNT = 12
SERVICE_DELAY_MS = 80
FREEZE_S = 3.5
DOWNTIME_S = 1.0
REQUEST_INTERVAL_S = 0.05
CALL_TIMEOUT_S = 25
RECOVERY_TIMEOUT_S = 60
DEADLINE_HEADERS = {"Pollenmount-Deadline-Ms": "8000"}


class Filing(NamedTuple):
    """One filing: its idempotency key and the outcomes reported to its caller."""

    key: str
    outcomes: tuple[str, ...]


class Deployment:
    """The Inzira example with one engine and one service per region."""

    def __init__(self, cluster, network):
        self.cluster = cluster
        self.example = INZIRA._replace(network=network)
        self.settings = {
            name: {**document, "log_level": "WARNING", "stop_delay_ms": 200}
            for name, document in make_settings(self.example).items()
        }
        self.service_addresses = []

    def start(self):
        """Start all processes, put the plan in force and wait until all nodes serve."""
        for document in self.settings.values():
            self.cluster.start_node(document)
        for number, region in enumerate(self.example.vms, start=1):
            self.start_targets(number, region)
        self.cluster.wait_members(len(self.settings), OPERATOR_KEY)
        sheet = (ROOT / "examples/inzira/plan.csv").read_bytes()
        operators = self.settings["kigali-1"]["listen"]["operators"]

        def is_in_force():
            self.cluster.call(operators, "PUT", "/v1/plan", OPERATOR_KEY, sheet)
            status = self.cluster.call(
                operators, "GET", "/v1/plan/status", OPERATOR_KEY
            )
            regions = status.json["regions"]
            return sum(len(row["in_force"]) for row in regions) == len(self.settings)

        wait_until(is_in_force, 40)
        for name in self.settings:
            region = self.settings[name]["region"]
            wait_until(lambda name=name, region=region: self.serves(name, region))

    def start_targets(self, number, region):
        """Start one engine and one service in a region."""
        prefix = f"127.{self.example.network}.{number}"
        entries = ",".join(
            document["listen"]["targets"]
            for document in self.settings.values()
            if document["region"] == region
        )
        self.cluster.start_standin(
            "engine",
            f"{region}-engine",
            f"{prefix}.101:9000",
            entries,
            "--models=drafting@v1+custody+maintenance",
            "--slots=16",
        )
        self.service_addresses.append(f"{prefix}.100:9000")
        self.cluster.start_standin(
            "service",
            f"{region}-service",
            self.service_addresses[-1],
            entries,
            "--services=filing,lookup",
            f'--faults={{"slow_ms": {SERVICE_DELAY_MS}}}',
        )

    def serves(self, name, region):
        """Return whether a node serves a chat and a lookup."""
        callers = self.settings[name]["listen"]["callers"]
        key = f"key-aid-{region}"
        chat = self.cluster.call(callers, "POST", CHAT, key, chat_body("drafting", "x"))
        lookup = self.cluster.call(callers, "GET", "/cases/1", key)
        return chat.status == lookup.status == 200

    def count_runs(self):
        """Return how often each filing ran, by idempotency key, over all services."""
        total = Counter()
        for address in self.service_addresses:
            counts = self.cluster.call(address, "GET", "/standin/counts").json
            total.update(counts["runs"])
        return total


class Callers:
    """Caller threads in each region, which collect wrong answers and outcomes."""

    def __init__(self, deployment, seed):
        self.deployment = deployment
        self.seed = seed
        self.stopping = threading.Event()
        self.wrong_answers = []
        self.filings = []
        self.outcomes = Counter()
        self.threads = []

    def start(self):
        """Start two threads for chats and two for filings in each region."""
        for region in self.deployment.example.vms:
            for index, send_one in enumerate(
                (self.send_chat, self.send_chat, self.submit_filing, self.submit_filing)
            ):
                rng = random.Random(f"{self.seed} {region} {index}")
                thread = threading.Thread(target=self.run, args=(send_one, region, rng))
                thread.start()
                self.threads.append(thread)

    def stop(self):
        """Stop the threads and wait for them."""
        self.stopping.set()
        for thread in self.threads:
            thread.join()

    def run(self, send_one, region, rng):
        """Send one kind of request repeatedly until `stopping` is set."""
        number = 0
        while not self.stopping.is_set():
            number += 1
            send_one(region, rng, f"{region}-{rng.randrange(10**9)}-{number}")
            time.sleep(REQUEST_INTERVAL_S)

    def choose_entry_address(self, region, rng):
        """Return the address of a random entry VM in the region."""
        settings = self.deployment.settings.values()
        addresses = [s["listen"]["callers"] for s in settings if s["region"] == region]
        return rng.choice(addresses)

    def send(self, region, rng, method, path, body, headers=()):
        """Return the response, or None if the connection broke."""
        key = f"key-aid-{region}"
        headers = {
            **dict(headers),
            **DEADLINE_HEADERS,
            "Authorization": f"Bearer {key}",
        }
        url = f"http://{self.choose_entry_address(region, rng)}{path}"
        with contextlib.suppress(urllib3.exceptions.HTTPError):
            return self.deployment.cluster.pool.request(
                method, url, body=body, headers=headers, timeout=CALL_TIMEOUT_S
            )
        return None

    def send_chat(self, region, rng, key):
        """Send one chat and compare its answer with the expected one."""
        stream = rng.random() < 0.5
        prompt = f"question {key}"
        body = chat_body("drafting", prompt, stream, WORD_COUNT)
        response = self.send(region, rng, "POST", CHAT, body)
        if response is None:
            self.outcomes["chat: connection broke"] += 1
            return
        self.outcomes[f"chat: {classify_response(response)}"] += 1
        if response.status != 200:
            return
        text = stream_text(response.data) if stream else message_text(response.data)
        if text is not None and text.split() != answer_words(prompt, WORD_COUNT):
            self.wrong_answers.append(f"{prompt}: {text}")

    def submit_filing(self, region, rng, key):
        """Send a filing once or until its outcome is final; record all outcomes."""
        outcomes = [self.send_filing(region, rng, key)]
        is_retried = rng.random() < 0.6
        while is_retried and not self.stopping.is_set() and not is_final(outcomes[-1]):
            time.sleep(REQUEST_INTERVAL_S)
            outcomes.append(self.send_filing(region, rng, key))
        self.filings.append(Filing(key, tuple(outcomes)))

    def send_filing(self, region, rng, key):
        """Send one filing and return its outcome."""
        headers = {"Idempotency-Key": key}
        body = f"petition {key}".encode()
        response = self.send(region, rng, "POST", "/filings", body, headers)
        outcome = (
            "connection broke" if response is None else classify_response(response)
        )
        self.outcomes[f"filing: {outcome}"] += 1
        return outcome


def classify_response(response):
    """Return `answered`, `not_run CODE` or `may_have_run CODE`."""
    if response.status < 400:
        return "answered"
    error = json.loads(response.data)["error"]
    prefix = "not_run" if error["not_run"] else "may_have_run"
    return f"{prefix} {error['code']}"


def is_final(outcome):
    """Return whether a retry with the same key can't change the outcome."""
    return outcome in ("answered", "may_have_run outcome_unknown")


def message_text(data):
    """Return the text of a response that isn't streamed."""
    return json.loads(data)["choices"][0]["message"]["content"]


def stream_text(data):
    """Return the text of a complete stream, None if it ended in an error."""
    if not data.endswith(b"data: [DONE]\n\n"):
        return None
    events = [line[6:] for line in data.split(b"\n") if line.startswith(b"data: {")]
    deltas = [json.loads(event)["choices"][0]["delta"] for event in events]
    return "".join(delta["content"] for delta in deltas)


def find_contradictions(filings, run_counts):
    """Return the filings whose run counts contradict their reported outcomes."""
    checked = [
        (filing, find_contradiction(filing.outcomes, run_counts[filing.key]))
        for filing in filings
    ]
    return [f"{filing}: {problem}" for filing, problem in checked if problem]


def find_contradiction(outcomes, count):
    """Return how the outcomes contradict `count` runs, '' if they don't."""
    if count > 1:
        return f"ran {count} times"
    if "answered" in outcomes and not count:
        return "was answered but never ran"
    if all(outcome.startswith("not_run") for outcome in outcomes) and count:
        return "was reported as not run but ran"
    return ""


def inject_faults(deployment, rng, seconds):
    """Kill, freeze and stop nodes, one or two at a time; return fault counts."""
    cluster = deployment.cluster
    deadline = time.monotonic() + seconds
    faults = Counter()
    while time.monotonic() < deadline:
        names = rng.sample(sorted(deployment.settings), rng.choice((1, 1, 2)))
        fault = rng.choice(("kill", "freeze", "stop"))
        faults[fault] += len(names)
        for name in names:
            begin_fault(cluster, fault, name)
        time.sleep(FREEZE_S if fault == "freeze" else DOWNTIME_S)
        for name in names:
            end_fault(cluster, fault, name)
        time.sleep(rng.uniform(0.5, 2.0))
    return faults


def begin_fault(cluster, fault, name):
    """Kill, freeze or stop one node."""
    signal_numbers = {
        "kill": signal.SIGKILL,
        "freeze": signal.SIGSTOP,
        "stop": signal.SIGTERM,
    }
    cluster.processes[name].send_signal(signal_numbers[fault])


def end_fault(cluster, fault, name):
    """Resume a frozen node, or restart one that was killed or stopped."""
    if fault == "freeze":
        cluster.processes[name].send_signal(signal.SIGCONT)
        return
    cluster.processes[name].wait(CALL_TIMEOUT_S)
    cluster.restart_node(name)


def run(folder, network, seed, seconds):
    """Run the test; return (wrong answers, contradictions, outcomes, faults)."""
    with Cluster(folder) as cluster:
        deployment = Deployment(cluster, network)
        deployment.start()
        callers = Callers(deployment, seed)
        callers.start()
        try:
            faults = inject_faults(deployment, random.Random(seed), seconds)
        finally:
            callers.stop()
        for name, document in deployment.settings.items():
            region = document["region"]
            wait_until(
                lambda name=name, region=region: deployment.serves(name, region),
                RECOVERY_TIMEOUT_S,
            )
        contradictions = find_contradictions(callers.filings, deployment.count_runs())
        return callers.wrong_answers, contradictions, callers.outcomes, faults


def main():
    """Run as a command; return 1 if any answer or outcome was wrong."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=60)
    parser.add_argument("--network", type=int, default=36)
    flags = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        wrong_answers, contradictions, outcomes, faults = run(
            folder, flags.network, flags.seed, flags.seconds
        )
    for outcome, count in sorted(outcomes.items()):
        print(f"{count:7} {outcome}")
    print(f"faults: {dict(faults)}")
    for line in (*wrong_answers, *contradictions):
        print(f"WRONG: {line}")
    return 1 if wrong_answers or contradictions else 0


if __name__ == "__main__":
    sys.exit(main())
