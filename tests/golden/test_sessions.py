"""One whole session of each example deployment, at its size."""

import json
import signal

import pytest

from scripts.demo import target_address
from scripts.examples import INZIRA, OPERATOR_KEY, REFERENTIEHUIS
from standins.cluster import ROOT, chat_body, wait_until
from tests.golden.session import Call, Session

CHAT = "/v1/chat/completions"
FILING_HEADERS = (
    ("Content-Type", "application/octet-stream"),
    ("Idempotency-Key", "f-1"),
)


def chat_call(title, vm, caller, model, stream=False, headers=()):
    body = chat_body(model, "Which form opens a custody petition?", stream)
    return Call(title, vm, caller, "POST", CHAT, body, headers)


def key_headers(key):
    return (("Idempotency-Key", key),)


INZIRA_CALLS = (
    Call("a clerk asks where to send", "kigali-2", "aid-kigali", "GET", "/v1/entries"),
    Call("models", "kigali-2", "aid-kigali", "GET", "/v1/models"),
    chat_call("a clause question", "kigali-1", "aid-kigali", "drafting"),
    chat_call("a draft, streamed", "huye-1", "aid-huye", "drafting@v1+custody", True),
    Call("a case", "musanze-2", "aid-musanze", "GET", "/cases/17%2Fb?part=2"),
    Call("its head only", "musanze-2", "aid-musanze", "HEAD", "/cases/17"),
    Call(
        "a filing",
        "kigali-1",
        "aid-kigali",
        "POST",
        "/filings",
        b"form",
        FILING_HEADERS,
    ),
    Call(
        "repeated elsewhere",
        "kigali-3",
        "aid-kigali",
        "POST",
        "/filings",
        b"form",
        FILING_HEADERS,
    ),
    Call(
        "another under its key",
        "kigali-1",
        "aid-kigali",
        "POST",
        "/filings",
        b"x",
        FILING_HEADERS,
    ),
    Call("without a key", "huye-2", "aid-huye", "POST", "/filings", b"form"),
    chat_call("unknown model", "huye-1", "aid-huye", "other"),
    chat_call("unknown adapter", "huye-1", "aid-huye", "drafting+other"),
    chat_call(
        "unknown class",
        "huye-1",
        "aid-huye",
        "drafting",
        False,
        [("Pollenmount-Class", "x")],
    ),
    Call("unknown path", "huye-1", "aid-huye", "GET", "/other"),
    Call("broken document", "huye-1", "aid-huye", "POST", CHAT, b"{"),
    chat_call("wrong key", "huye-1", "nobody", "drafting"),
    chat_call("data may not come here", "huye-1", "court-kigali", "drafting"),
    Call("where it may go", "huye-1", "court-kigali", "GET", "/v1/entries"),
)

REFERENTIEHUIS_CALLS = (
    Call("where to send", "nl-west-2", "branch-west", "GET", "/v1/entries"),
    chat_call("a summary", "nl-west-1", "branch-west", "summaries"),
    chat_call("a summary, streamed", "nl-south-1", "branch-south", "summaries", True),
    Call("a status", "nl-east-3", "portal-east", "GET", "/cases/9"),
    chat_call("a portal has no models", "nl-east-1", "portal-east", "summaries"),
    Call(
        "a contact",
        "nl-west-1",
        "branch-west",
        "POST",
        "/contacts",
        b"c",
        key_headers("c-1"),
    ),
    Call(
        "repeated",
        "nl-west-3",
        "branch-west",
        "POST",
        "/contacts",
        b"c",
        key_headers("c-1"),
    ),
    Call(
        "an invoice",
        "nl-east-1",
        "branch-east",
        "POST",
        "/invoices",
        b"i",
        key_headers("i-1"),
    ),
    Call(
        "repeated",
        "nl-east-2",
        "branch-east",
        "POST",
        "/invoices",
        b"i",
        key_headers("i-1"),
    ),
)


def test_inzira(cluster, network, snapshot):
    session = Session(cluster, INZIRA._replace(network=network))
    for call in INZIRA_CALLS:
        session.record_call(call)
    record_plan_calls(session)
    session.record("# all engines of kigali leave")
    for index in range(1, INZIRA.engines + 1):
        address = target_address(session.deployment, 1, index)
        cluster.call(address, "POST", "/standin/leave", "", b"")
    wait_until(lambda: count_targets(session, "kigali-1") == 1)
    session.record_call(
        chat_call("served elsewhere", "kigali-1", "aid-kigali", "drafting")
    )
    session.record_call(
        chat_call("bound to kigali", "kigali-1", "court-kigali", "drafting")
    )
    assert session.transcript == snapshot
    assert count_runs(session) == [1, 1]


def test_referentiehuis(cluster, network, snapshot):
    session = Session(cluster, REFERENTIEHUIS._replace(network=network))
    for call in REFERENTIEHUIS_CALLS:
        session.record_call(call)
    session.record("# nl-west-2 is stopped as planned")
    cluster.processes["nl-west-2"].send_signal(signal.SIGTERM)
    wait_until(lambda: "nl-west-2" not in session.entry_names("nl-west-1"))
    session.record_call(
        REFERENTIEHUIS_CALLS[0]._replace(vm="nl-west-1", title="one VM less")
    )
    session.record_call(
        chat_call("still taken", "nl-west-2", "branch-west", "summaries")
    )
    assert session.transcript == snapshot
    assert count_runs(session) == [1, 1]


def record_plan_calls(session):
    """Apply sheets again: the same, another under its number, a broken one."""
    sheet = (ROOT / "examples/inzira/plan.csv").read_bytes()
    session.record_operator_call("the same sheet", "huye-1", "PUT", "/v1/plan", sheet)
    other = sheet.replace(b",200", b",100")
    session.record_operator_call("another sheet", "huye-1", "PUT", "/v1/plan", other)
    invalid = sheet.replace(b",once,", b",twice,").replace(b"kigali-a", b"Kigali A")
    session.record_operator_call("a broken sheet", "huye-1", "PUT", "/v1/plan", invalid)
    session.record_operator_call(
        "where it is in force", "musanze-1", "GET", "/v1/plan/status"
    )


def count_targets(session, vm):
    """Return how many targets a VM knows."""
    address = session.listen(vm, "operators")
    status = session.cluster.call(address, "GET", "/v1/status", OPERATOR_KEY)
    return len(status.json["targets"])


def count_runs(session):
    """Return how often each action ran, over all services."""
    counts = []
    for number in range(1, len(session.deployment.vms) + 1):
        address = target_address(session.deployment, number)
        answer = session.cluster.call(address, "GET", "/standin/counts")
        counts.extend(json.loads(answer.body)["runs"].values())
    return counts


@pytest.mark.parametrize("deployment", [INZIRA, REFERENTIEHUIS], ids=lambda d: d.name)
def test_examples_have_the_expected_sizes(deployment):
    targets = (deployment.engines + 1) * len(deployment.vms)
    sizes = {"inzira": (7, 12), "referentiehuis": (8, 9)}
    assert (sum(deployment.vms.values()), targets) == sizes[deployment.name]
