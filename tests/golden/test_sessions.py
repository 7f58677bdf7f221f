"""A recorded session of each example deployment at full size."""

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
    Call("entry VMs of a caller", "kigali-2", "aid-kigali", "GET", "/v1/entries"),
    Call("models", "kigali-2", "aid-kigali", "GET", "/v1/models"),
    chat_call("a chat", "kigali-1", "aid-kigali", "drafting"),
    chat_call(
        "a streamed chat with an adapter",
        "huye-1",
        "aid-huye",
        "drafting@v1+custody",
        True,
    ),
    Call("a lookup", "musanze-2", "aid-musanze", "GET", "/cases/17%2Fb?part=2"),
    Call("a HEAD request", "musanze-2", "aid-musanze", "HEAD", "/cases/17"),
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
        "the same filing at another VM",
        "kigali-3",
        "aid-kigali",
        "POST",
        "/filings",
        b"form",
        FILING_HEADERS,
    ),
    Call(
        "another body under the same key",
        "kigali-1",
        "aid-kigali",
        "POST",
        "/filings",
        b"x",
        FILING_HEADERS,
    ),
    Call("a filing without a key", "huye-2", "aid-huye", "POST", "/filings", b"form"),
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
    Call("malformed document", "huye-1", "aid-huye", "POST", CHAT, b"{"),
    chat_call("wrong key", "huye-1", "nobody", "drafting"),
    chat_call("data not allowed in this region", "huye-1", "court-kigali", "drafting"),
    Call(
        "entry VMs in the allowed region",
        "huye-1",
        "court-kigali",
        "GET",
        "/v1/entries",
    ),
)

REFERENTIEHUIS_CALLS = (
    Call("entry VMs of a caller", "nl-west-2", "branch-west", "GET", "/v1/entries"),
    chat_call("a chat", "nl-west-1", "branch-west", "summaries"),
    chat_call("a streamed chat", "nl-south-1", "branch-south", "summaries", True),
    Call("a lookup", "nl-east-3", "portal-east", "GET", "/cases/9"),
    chat_call(
        "a model that the plan does not allow", "nl-east-1", "portal-east", "summaries"
    ),
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
        "the same contact at another VM",
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
        "the same invoice at another VM",
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
        chat_call("served in another region", "kigali-1", "aid-kigali", "drafting")
    )
    session.record_call(
        chat_call(
            "data bound to kigali without an engine there",
            "kigali-1",
            "court-kigali",
            "drafting",
        )
    )
    assert session.transcript == snapshot
    assert count_runs(session) == [1, 1]


def test_referentiehuis(cluster, network, snapshot):
    session = Session(cluster, REFERENTIEHUIS._replace(network=network))
    for call in REFERENTIEHUIS_CALLS:
        session.record_call(call)
    session.record("# nl-west-2 begins a planned stop")
    cluster.processes["nl-west-2"].send_signal(signal.SIGTERM)
    wait_until(lambda: "nl-west-2" not in session.entry_names("nl-west-1"))
    session.record_call(
        REFERENTIEHUIS_CALLS[0]._replace(
            vm="nl-west-1", title="entry VMs without the stopping VM"
        )
    )
    session.record_call(
        chat_call(
            "a request accepted while stopping", "nl-west-2", "branch-west", "summaries"
        )
    )
    assert session.transcript == snapshot
    assert count_runs(session) == [1, 1]


def record_plan_calls(session):
    """Apply three more sheets: the same, another under its number, an invalid one."""
    sheet = (ROOT / "examples/inzira/plan.csv").read_bytes()
    session.record_operator_call("the same sheet", "huye-1", "PUT", "/v1/plan", sheet)
    other = sheet.replace(b",200", b",100")
    session.record_operator_call("another sheet", "huye-1", "PUT", "/v1/plan", other)
    invalid = sheet.replace(b",once,", b",twice,").replace(b"kigali-a", b"Kigali A")
    session.record_operator_call(
        "an invalid sheet", "huye-1", "PUT", "/v1/plan", invalid
    )
    session.record_operator_call(
        "the VMs in which the plan is in force", "musanze-1", "GET", "/v1/plan/status"
    )


def count_targets(session, vm):
    """Return the number of targets that a VM knows."""
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
