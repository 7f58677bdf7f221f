"""One whole session of each example deployment, at its size."""

import json
import signal

import pytest

from scripts.demo import target_address
from scripts.examples import INZIRA, OPERATOR_KEY, REFERENTIEHUIS
from standins.cluster import ROOT, chat_body, wait_until
from tests.golden.session import Ask, Session

CHAT = "/v1/chat/completions"
PNG = (("Content-Type", "application/octet-stream"), ("Idempotency-Key", "f-1"))


def chat(title, vm, caller, model, stream=False, headers=()):
    body = chat_body(model, "Which form opens a custody petition?", stream)
    return Ask(title, vm, caller, "POST", CHAT, body, headers)


def keyed(key):
    return (("Idempotency-Key", key),)


INZIRA_DAY = (
    Ask("a clerk asks where to send", "kigali-2", "aid-kigali", "GET", "/v1/entries"),
    Ask("models", "kigali-2", "aid-kigali", "GET", "/v1/models"),
    chat("a clause question", "kigali-1", "aid-kigali", "drafting"),
    chat("a draft, streamed", "huye-1", "aid-huye", "drafting@v1+custody", True),
    Ask("a case", "musanze-2", "aid-musanze", "GET", "/cases/17%2Fb?part=2"),
    Ask("its head only", "musanze-2", "aid-musanze", "HEAD", "/cases/17"),
    Ask("a filing", "kigali-1", "aid-kigali", "POST", "/filings", b"form", PNG),
    Ask(
        "repeated elsewhere", "kigali-3", "aid-kigali", "POST", "/filings", b"form", PNG
    ),
    Ask(
        "another under its key", "kigali-1", "aid-kigali", "POST", "/filings", b"x", PNG
    ),
    Ask("without a key", "huye-2", "aid-huye", "POST", "/filings", b"form"),
    chat("unknown model", "huye-1", "aid-huye", "other"),
    chat("unknown adapter", "huye-1", "aid-huye", "drafting+other"),
    chat(
        "unknown class",
        "huye-1",
        "aid-huye",
        "drafting",
        False,
        [("Pollenmount-Class", "x")],
    ),
    Ask("unknown path", "huye-1", "aid-huye", "GET", "/other"),
    Ask("broken document", "huye-1", "aid-huye", "POST", CHAT, b"{"),
    chat("wrong key", "huye-1", "nobody", "drafting"),
    chat("data may not come here", "huye-1", "court-kigali", "drafting"),
    Ask("where it may go", "huye-1", "court-kigali", "GET", "/v1/entries"),
)

REFERENTIEHUIS_DAY = (
    Ask("where to send", "nl-west-2", "branch-west", "GET", "/v1/entries"),
    chat("a summary", "nl-west-1", "branch-west", "summaries"),
    chat("a summary, streamed", "nl-south-1", "branch-south", "summaries", True),
    Ask("a status", "nl-east-3", "portal-east", "GET", "/cases/9"),
    chat("a portal has no models", "nl-east-1", "portal-east", "summaries"),
    Ask(
        "a contact", "nl-west-1", "branch-west", "POST", "/contacts", b"c", keyed("c-1")
    ),
    Ask(
        "repeated", "nl-west-3", "branch-west", "POST", "/contacts", b"c", keyed("c-1")
    ),
    Ask(
        "an invoice",
        "nl-east-1",
        "branch-east",
        "POST",
        "/invoices",
        b"i",
        keyed("i-1"),
    ),
    Ask(
        "repeated", "nl-east-2", "branch-east", "POST", "/invoices", b"i", keyed("i-1")
    ),
)


def test_inzira(cluster, network, snapshot):
    session = Session(cluster, INZIRA._replace(network=network))
    for ask in INZIRA_DAY:
        session.ask(ask)
    plans(session)
    session.note("# all engines of kigali leave")
    for index in range(1, INZIRA.engines + 1):
        address = target_address(session.deployment, 1, index)
        cluster.call(address, "POST", "/standin/leave", "", b"")
    wait_until(lambda: targets_of(session, "kigali-1") == 1)
    session.ask(chat("served elsewhere", "kigali-1", "aid-kigali", "drafting"))
    session.ask(chat("bound to kigali", "kigali-1", "court-kigali", "drafting"))
    assert session.transcript == snapshot
    assert runs(session) == [1, 1]


def test_referentiehuis(cluster, network, snapshot):
    session = Session(cluster, REFERENTIEHUIS._replace(network=network))
    for ask in REFERENTIEHUIS_DAY:
        session.ask(ask)
    session.note("# nl-west-2 is stopped as planned")
    cluster.processes["nl-west-2"].send_signal(signal.SIGTERM)
    wait_until(lambda: "nl-west-2" not in session.entries("nl-west-1"))
    session.ask(REFERENTIEHUIS_DAY[0]._replace(vm="nl-west-1", title="one VM less"))
    session.ask(chat("still taken", "nl-west-2", "branch-west", "summaries"))
    assert session.transcript == snapshot
    assert runs(session) == [1, 1]


def plans(session):
    """Apply sheets again: the same, another under its number, a broken one."""
    sheet = (ROOT / "examples/inzira/plan.csv").read_bytes()
    session.operate("the same sheet", "huye-1", "PUT", "/v1/plan", sheet)
    other = sheet.replace(b",200", b",100")
    session.operate("another sheet", "huye-1", "PUT", "/v1/plan", other)
    broken = sheet.replace(b",once,", b",twice,").replace(b"kigali-a", b"Kigali A")
    session.operate("a broken sheet", "huye-1", "PUT", "/v1/plan", broken)
    session.operate("where it is in force", "musanze-1", "GET", "/v1/plan/status")


def targets_of(session, vm):
    """Return how many targets a VM knows."""
    address = session.listen(vm, "operators")
    status = session.cluster.call(address, "GET", "/v1/status", OPERATOR_KEY)
    return len(status.json["targets"])


def runs(session):
    """Return how often each action ran, over all services."""
    counts = []
    for number in range(1, len(session.deployment.vms) + 1):
        address = target_address(session.deployment, number)
        answer = session.cluster.call(address, "GET", "/standin/counts")
        counts.extend(json.loads(answer.body)["runs"].values())
    return counts


@pytest.mark.parametrize("deployment", [INZIRA, REFERENTIEHUIS], ids=lambda d: d.name)
def test_examples_have_their_sizes(deployment):
    targets = (deployment.engines + 1) * len(deployment.vms)
    sizes = {"inzira": (7, 12), "referentiehuis": (8, 9)}
    assert (sum(deployment.vms.values()), targets) == sizes[deployment.name]
