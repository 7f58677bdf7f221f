"""Callers at work while processes are killed, frozen and restarted, by a seed.

Every answer is checked as it comes; at the end the counts of the stand-ins decide
whether each filing ran as often as its answers say. Run as a command for a longer time:
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
WORDS = 12
SERVICE_MS = 80
FROZEN_S = 3.5
DOWN_S = 1.0
PAUSE_S = 0.05
CALL_TIMEOUT_S = 25
SETTLE_TIMEOUT_S = 60
DEADLINE = {"Pollenmount-Deadline-Ms": "8000"}


class Filing(NamedTuple):
    """What the callers know of one filing: its key and the outcomes they were told."""

    key: str
    outcomes: tuple[str, ...]


class Deployment:
    """The Inzira example with one engine and one service a region."""

    def __init__(self, cluster, network):
        self.cluster = cluster
        self.example = INZIRA._replace(network=network)
        self.settings = {
            name: {**document, "log_level": "WARNING", "stop_delay_ms": 200}
            for name, document in make_settings(self.example).items()
        }
        self.services = []

    def start(self):
        """Start all processes and put the example's plan in force."""
        for document in self.settings.values():
            self.cluster.start_node(document)
        for number, region in enumerate(self.example.vms, start=1):
            self.start_targets(number, region)
        self.cluster.wait_members(len(self.settings), OPERATOR_KEY)
        sheet = (ROOT / "examples/inzira/plan.csv").read_bytes()
        operators = self.settings["kigali-1"]["listen"]["operators"]

        def in_force():
            self.cluster.call(operators, "PUT", "/v1/plan", OPERATOR_KEY, sheet)
            status = self.cluster.call(
                operators, "GET", "/v1/plan/status", OPERATOR_KEY
            )
            rows = status.json["regions"]
            return sum(len(row["in_force"]) for row in rows) == len(self.settings)

        wait_until(in_force, 40)
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
        self.services.append(f"{prefix}.100:9000")
        self.cluster.start_standin(
            "service",
            f"{region}-service",
            self.services[-1],
            entries,
            "--services=filing,lookup",
            f'--faults={{"slow_ms": {SERVICE_MS}}}',
        )

    def serves(self, name, region):
        """Return whether a node serves a chat and a look-up."""
        callers = self.settings[name]["listen"]["callers"]
        key = f"key-aid-{region}"
        chat = self.cluster.call(callers, "POST", CHAT, key, chat_body("drafting", "x"))
        lookup = self.cluster.call(callers, "GET", "/cases/1", key)
        return chat.status == lookup.status == 200

    def runs(self):
        """Return how often each filing ran, by key, over all services."""
        total = Counter()
        for address in self.services:
            counts = self.cluster.call(address, "GET", "/standin/counts").json
            total.update(counts["runs"])
        return total


class Callers:
    """Caller threads of each region; they collect wrong answers and outcomes."""

    def __init__(self, deployment, seed):
        self.deployment = deployment
        self.seed = seed
        self.stopping = threading.Event()
        self.wrong = []
        self.filings = []
        self.outcomes = Counter()
        self.threads = []

    def start(self):
        """Start two threads for chats and two for filings in each region."""
        for region in self.deployment.example.vms:
            for index, work in enumerate((self.chat, self.chat, self.file, self.file)):
                source = random.Random(f"{self.seed} {region} {index}")
                thread = threading.Thread(target=self.run, args=(work, region, source))
                thread.start()
                self.threads.append(thread)

    def stop(self):
        """Let the threads end."""
        self.stopping.set()
        for thread in self.threads:
            thread.join()

    def run(self, work, region, source):
        """Repeat one kind of work until told to stop."""
        number = 0
        while not self.stopping.is_set():
            number += 1
            work(region, source, f"{region}-{source.randrange(10**9)}-{number}")
            time.sleep(PAUSE_S)

    def entry(self, region, source):
        """Return the address of one of the region's entry VMs."""
        settings = self.deployment.settings.values()
        own = [s["listen"]["callers"] for s in settings if s["region"] == region]
        return source.choice(own)

    def send(self, region, source, method, path, body, headers=()):
        """Return the answer, or None when the connection broke."""
        key = f"key-aid-{region}"
        headers = {**dict(headers), **DEADLINE, "Authorization": f"Bearer {key}"}
        url = f"http://{self.entry(region, source)}{path}"
        with contextlib.suppress(urllib3.exceptions.HTTPError):
            return self.deployment.cluster.pool.request(
                method, url, body=body, headers=headers, timeout=CALL_TIMEOUT_S
            )
        return None

    def chat(self, region, source, key):
        """Send one chat and compare the answer with the only right one."""
        stream = source.random() < 0.5
        prompt = f"question {key}"
        body = chat_body("drafting", prompt, stream, WORDS)
        answer = self.send(region, source, "POST", CHAT, body)
        if answer is None:
            self.outcomes["chat: connection broke"] += 1
            return
        self.outcomes[f"chat: {outcome_of(answer)}"] += 1
        if answer.status != 200:
            return
        text = stream_text(answer.data) if stream else whole_text(answer.data)
        if text is not None and text.split() != answer_words(prompt, WORDS):
            self.wrong.append(f"{prompt}: {text}")

    def file(self, region, source, key):
        """File once, or until a final answer; remember what was told."""
        outcomes = [self.file_once(region, source, key)]
        repeat = source.random() < 0.6
        while repeat and not self.stopping.is_set() and not is_final(outcomes[-1]):
            time.sleep(PAUSE_S)
            outcomes.append(self.file_once(region, source, key))
        self.filings.append(Filing(key, tuple(outcomes)))

    def file_once(self, region, source, key):
        """Send one filing and return its outcome."""
        headers = {"Idempotency-Key": key}
        body = f"petition {key}".encode()
        answer = self.send(region, source, "POST", "/filings", body, headers)
        outcome = "connection broke" if answer is None else outcome_of(answer)
        self.outcomes[f"filing: {outcome}"] += 1
        return outcome


def outcome_of(answer):
    """Return `answered`, `not_run CODE` or `may_have_run CODE`."""
    if answer.status < 400:
        return "answered"
    error = json.loads(answer.data)["error"]
    prefix = "not_run" if error["not_run"] else "may_have_run"
    return f"{prefix} {error['code']}"


def is_final(outcome):
    """Return whether a repeat with the same key can't change the outcome."""
    return outcome in ("answered", "may_have_run outcome_unknown")


def whole_text(data):
    """Return the text of an answer that isn't streamed."""
    return json.loads(data)["choices"][0]["message"]["content"]


def stream_text(data):
    """Return the text of a whole stream, None for one that ended in an error."""
    if not data.endswith(b"data: [DONE]\n\n"):
        return None
    events = [line[6:] for line in data.split(b"\n") if line.startswith(b"data: {")]
    deltas = [json.loads(event)["choices"][0]["delta"] for event in events]
    return "".join(delta["content"] for delta in deltas)


def find_false(filings, runs):
    """Return the filings whose runs don't fit what their callers were told."""
    judged = [(filing, judge(filing.outcomes, runs[filing.key])) for filing in filings]
    return [f"{filing}: {problem}" for filing, problem in judged if problem]


def judge(outcomes, count):
    """Return what is false about outcomes of a filing that ran `count` times."""
    if count > 1:
        return f"ran {count} times"
    if "answered" in outcomes and not count:
        return "was answered and never ran"
    if all(outcome.startswith("not_run") for outcome in outcomes) and count:
        return "was said not to run and ran"
    return ""


def disturb(deployment, source, seconds):
    """Kill, freeze and restart nodes, one fault or two at a time."""
    cluster = deployment.cluster
    limit = time.monotonic() + seconds
    faults = Counter()
    while time.monotonic() < limit:
        names = source.sample(sorted(deployment.settings), source.choice((1, 1, 2)))
        fault = source.choice(("kill", "freeze", "stop"))
        faults[fault] += len(names)
        for name in names:
            begin(cluster, fault, name)
        time.sleep(FROZEN_S if fault == "freeze" else DOWN_S)
        for name in names:
            end(cluster, fault, name)
        time.sleep(source.uniform(0.5, 2.0))
    return faults


def begin(cluster, fault, name):
    """Start a fault at one node."""
    numbers = {
        "kill": signal.SIGKILL,
        "freeze": signal.SIGSTOP,
        "stop": signal.SIGTERM,
    }
    cluster.processes[name].send_signal(numbers[fault])


def end(cluster, fault, name):
    """End a fault at one node."""
    if fault == "freeze":
        cluster.processes[name].send_signal(signal.SIGCONT)
        return
    cluster.processes[name].wait(CALL_TIMEOUT_S)
    cluster.restart_node(name)


def run(folder, network, seed, seconds):
    """Run the whole; return (wrong answers, false outcomes, counts, faults)."""
    with Cluster(folder) as cluster:
        deployment = Deployment(cluster, network)
        deployment.start()
        callers = Callers(deployment, seed)
        callers.start()
        try:
            faults = disturb(deployment, random.Random(seed), seconds)
        finally:
            callers.stop()
        for name, document in deployment.settings.items():
            region = document["region"]
            wait_until(
                lambda name=name, region=region: deployment.serves(name, region),
                SETTLE_TIMEOUT_S,
            )
        false = find_false(callers.filings, deployment.runs())
        return callers.wrong, false, callers.outcomes, faults


def main():
    """Run by command; return 0 if nothing was wrong."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=60)
    parser.add_argument("--network", type=int, default=36)
    args = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        wrong, false, outcomes, faults = run(
            folder, args.network, args.seed, args.seconds
        )
    for outcome, count in sorted(outcomes.items()):
        print(f"{count:7} {outcome}")
    print(f"faults: {dict(faults)}")
    for line in (*wrong, *false):
        print(f"WRONG: {line}")
    return 1 if wrong or false else 0


if __name__ == "__main__":
    sys.exit(main())
