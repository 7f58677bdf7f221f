"""Prompts, answers and keys must not appear in logs, metrics or errors."""

import json

import pytest

from scripts.examples import OPERATOR_KEY, PEER_KEY
from standins.cluster import wait_until
from tests.faults.product import CHAT, SmallDeployment, chat_body

KEY = "key-aid-kigali"
PROMPT = "planted-prompt-of-a-client"
FORM = "planted-form-of-a-client"
IDEMPOTENCY_KEY = "planted-idempotency-key"
WRONG_KEY = "planted-wrong-key"
QUERY = "planted-query"
SECRETS = (KEY, OPERATOR_KEY, PEER_KEY, PROMPT, FORM, IDEMPOTENCY_KEY, WRONG_KEY, QUERY)


@pytest.fixture
def deployment(cluster, network):
    return SmallDeployment(
        cluster, network, {"kigali": 1, "huye": 1}, log_level="DEBUG"
    )


def test_secrets_appear_in_no_log_metric_or_error(deployment):
    call, address = deployment.cluster.call, deployment.listen_address("kigali-1")
    chats = [chat_body("drafting", PROMPT, stream) for stream in (False, True)]
    malformed = f'{{"model": "{PROMPT}", "messages": [{PROMPT}'.encode()
    key_headers = {"Idempotency-Key": IDEMPOTENCY_KEY}
    answers = [call(address, "POST", CHAT, KEY, chat) for chat in chats]
    answer_text = answers[0].json["choices"][0]["message"]["content"]
    answers += [
        call(address, "POST", "/filings", KEY, FORM, key_headers) for _ in range(2)
    ]
    answers += [call(address, "GET", f"/cases/1?{QUERY}", KEY)]
    errors = [
        call(address, "POST", CHAT, KEY, malformed),
        call(address, "POST", CHAT, KEY, chat_body(PROMPT, "x")),
        call(address, "POST", CHAT, WRONG_KEY, chats[0]),
        call(address, "POST", "/filings", KEY, f"{FORM} other", key_headers),
        call(address, "GET", f"/{QUERY}", KEY),
        call(address, "GET", f"/cases/../{QUERY}", KEY),
        call(address, "GET", "/x", KEY, None, {"Pollenmount-Class": PROMPT}),
        call(
            deployment.listen_address("kigali-1", "operators"),
            "GET",
            "/v1/status",
            WRONG_KEY,
        ),
        call(
            deployment.listen_address("kigali-1", "peers"),
            "POST",
            "/v1/forward",
            WRONG_KEY,
            FORM,
        ),
        call(
            deployment.listen_address("kigali-1", "targets"),
            "POST",
            "/v1/announce",
            "",
            FORM,
        ),
    ]
    assert {answer.status for answer in answers} == {200, 201}
    assert all(error.status >= 400 for error in errors)
    errors += fail_engines(deployment, chats)
    outputs = [error.body.decode() for error in errors if error.status >= 400]
    for name in deployment.settings:
        outputs.append((deployment.cluster.folder / f"{name}.log").read_text())
        operators = deployment.listen_address(name, "operators")
        outputs.append(call(operators, "GET", "/metrics", OPERATOR_KEY).body.decode())
    text = "\n".join(outputs)
    assert [secret for secret in (*SECRETS, answer_text) if secret in text] == []


def fail_engines(deployment, chats):
    """Make both engines fail in several ways; return the answers to chats."""
    call, address = deployment.cluster.call, deployment.listen_address("kigali-1")
    answers = []
    for fault in ({"cut_after": 0}, {"crossed": 1}, {"not_run": 1}):
        for number in (1, 2):
            target = deployment.target_address(number, "engine")
            body = json.dumps(fault).encode()
            call(target, "POST", "/standin/faults", "", body)
        answers += [call(address, "POST", CHAT, KEY, chat) for chat in chats]
    return answers


def test_log_lines_of_calls_hold_their_outcome(deployment):
    call, address = deployment.cluster.call, deployment.listen_address("kigali-1")
    answer = call(address, "POST", CHAT, KEY, chat_body("drafting", "x"))
    refused = call(address, "POST", CHAT, KEY, chat_body("other", "x"))
    log = (deployment.cluster.folder / "kigali-1.log").read_text()
    # Each line of the log is JSON, library warnings included.
    lines = [json.loads(line) for line in log.splitlines()]
    for response, outcome in ((answer, "answered"), (refused, "unknown_model")):
        request = response.headers["Pollenmount-Request-Id"]
        line = next(line for line in lines if line.get("request") == request)
        assert line["outcome"] == outcome
        assert line["caller"] == "aid-kigali"
        assert (line["region"], line["failure_domain"]) == ("kigali", "kigali-a")
        assert {"class", "target"} <= set(line)
    metrics = call(
        deployment.listen_address("kigali-1", "operators"),
        "GET",
        "/metrics",
        OPERATOR_KEY,
    )
    assert 'outcome="unknown_model",tenant="aid-kigali"' in metrics.body.decode()


def test_forwarded_calls_are_counted_in_metrics(deployment):
    call, address = deployment.cluster.call, deployment.listen_address("huye-1")
    call(deployment.target_address(2, "engine"), "POST", "/standin/leave", "", b"")
    body = chat_body("drafting", "x" * 1000, True)

    def is_forwarded():
        answer = call(address, "POST", CHAT, "key-aid-huye", body)
        return answer.headers.get("Pollenmount-Region") == "kigali"

    wait_until(is_forwarded)
    operators = deployment.listen_address("huye-1", "operators")
    metrics = call(operators, "GET", "/metrics", OPERATOR_KEY).body.decode()
    values = dict(line.rsplit(" ", 1) for line in metrics.splitlines() if line)
    labels = 'home="huye",region="kigali",tenant="aid-huye"'
    assert float(values[f"pollenmount_served_total{{{labels}}}"]) == 1
    forwarded_bytes = float(values['pollenmount_region_bytes_total{region="kigali"}'])
    assert forwarded_bytes > len(body)
