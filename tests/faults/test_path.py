"""Requests across two regions: forwarded, refused, and a planned stop."""

import pytest

from scripts.examples import INZIRA, OPERATOR_KEY, make_settings
from standins.cluster import ROOT, chat_body, wait_until

CHAT = "/v1/chat/completions"


@pytest.fixture
def two_regions(cluster, network):
    """Start one node in kigali and one in huye; only huye has an engine."""
    deployment = INZIRA._replace(vms={"kigali": 1, "huye": 1}, network=network)
    settings = make_settings(deployment)
    for document in settings.values():
        document["groups"] = {"plans": document["groups"]["plans"]}
        cluster.start_node({**document, "stop_delay_ms": 100})
    listen = {name: document["listen"] for name, document in settings.items()}
    cluster.start_standin(
        "engine",
        "engine",
        f"127.{network}.2.101:9000",
        listen["huye-1"]["targets"],
        "--models=drafting@v1+custody",
    )
    sheet = (ROOT / "examples/inzira/plan.csv").read_bytes()
    operators = listen["kigali-1"]["operators"]
    wait_until(
        lambda: (
            cluster.call(operators, "PUT", "/v1/plan", OPERATOR_KEY, sheet).status
            == 200
        )
    )
    wait_until(
        lambda: (
            cluster.call(
                listen["kigali-1"]["callers"],
                "POST",
                CHAT,
                "key-aid-kigali",
                chat_body("drafting", "x"),
            ).status
            == 200
        )
    )
    return cluster, listen


def test_streams_are_forwarded_and_refused_where_data_may_not_go(two_regions):
    cluster, listen = two_regions
    kigali, huye = (listen[name]["callers"] for name in ("kigali-1", "huye-1"))
    body = chat_body("drafting", "Which form?", stream=True)
    forwarded = cluster.call(kigali, "POST", CHAT, "key-aid-kigali", body)
    assert forwarded.status == 200
    assert forwarded.headers["Pollenmount-Region"] == "huye"
    assert forwarded.body.endswith(b"data: [DONE]\n\n")
    restricted = cluster.call(kigali, "POST", CHAT, "key-court-kigali", body)
    assert (restricted.status, restricted.json["error"]["code"]) == (503, "no_target")
    assert restricted.json["error"]["not_run"] is True
    misdirected = cluster.call(huye, "POST", CHAT, "key-court-kigali", body)
    assert (misdirected.status, misdirected.json["error"]["code"]) == (
        421,
        "misdirected",
    )
    wait_until(lambda: entry_names(cluster, huye, "key-court-kigali") == ["kigali-1"])
    wait_until(lambda: len(entry_names(cluster, huye, "key-aid-kigali")) == 2)
    assert entry_names(cluster, huye, "key-court-kigali") == ["kigali-1"]


def entry_names(cluster, address, key):
    """Return the names of the entry VMs listed to a caller."""
    answer = cluster.call(address, "GET", "/v1/entries", key)
    return [entry["name"] for entry in answer.json.get("entries", ())]


def test_requests_with_wrong_keys_are_refused(two_regions):
    cluster, listen = two_regions
    kigali = listen["kigali-1"]
    answer = cluster.call(kigali["callers"], "POST", CHAT, "wrong", chat_body("d", "x"))
    assert (answer.status, answer.json["error"]["code"]) == (401, "unauthenticated")
    answer = cluster.call(kigali["operators"], "GET", "/v1/plan", "key-aid-kigali")
    assert answer.status == 401


def test_planned_stop_exits_with_0(two_regions):
    cluster, _ = two_regions
    assert cluster.kill("huye-1", 15) == 0
