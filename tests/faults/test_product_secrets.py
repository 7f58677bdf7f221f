"""No prompt, answer or key reaches a log, a metric or an error, whatever goes wrong."""

import json

import pytest

from scripts.examples import OPERATOR_KEY, PEER_KEY
from standins.cluster import wait_until
from tests.faults.product import CHAT, Small, chat_body

KEY = "key-aid-kigali"
PROMPT = "planted-prompt-of-a-client"
FORM = "planted-form-of-a-client"
IDEMPOTENCY = "planted-idempotency-key"
WRONG = "planted-wrong-key"
QUERY = "planted-query"
SECRETS = (KEY, OPERATOR_KEY, PEER_KEY, PROMPT, FORM, IDEMPOTENCY, WRONG, QUERY)


@pytest.fixture
def small(cluster, network):
    return Small(cluster, network, {"kigali": 1, "huye": 1}, log_level="DEBUG")


def test_planted_secrets_stay_out(small):
    call, address = small.cluster.call, small.listen("kigali-1")
    chats = [chat_body("drafting", PROMPT, stream) for stream in (False, True)]
    broken = f'{{"model": "{PROMPT}", "messages": [{PROMPT}'.encode()
    keyed = {"Idempotency-Key": IDEMPOTENCY}
    answers = [call(address, "POST", CHAT, KEY, chat) for chat in chats]
    words = answers[0].json["choices"][0]["message"]["content"]
    answers += [call(address, "POST", "/filings", KEY, FORM, keyed) for _ in range(2)]
    answers += [call(address, "GET", f"/cases/1?{QUERY}", KEY)]
    errors = [
        call(address, "POST", CHAT, KEY, broken),
        call(address, "POST", CHAT, KEY, chat_body(PROMPT, "x")),
        call(address, "POST", CHAT, WRONG, chats[0]),
        call(address, "POST", "/filings", KEY, f"{FORM} other", keyed),
        call(address, "GET", f"/{QUERY}", KEY),
        call(address, "GET", f"/cases/../{QUERY}", KEY),
        call(address, "GET", "/x", KEY, None, {"Pollenmount-Class": PROMPT}),
        call(small.listen("kigali-1", "operators"), "GET", "/v1/status", WRONG),
        call(small.listen("kigali-1", "peers"), "POST", "/v1/forward", WRONG, FORM),
        call(small.listen("kigali-1", "targets"), "POST", "/v1/announce", "", FORM),
    ]
    assert {answer.status for answer in answers} == {200, 201}
    assert all(error.status >= 400 for error in errors)
    errors += cut_streams(small, chats)
    shown = [error.body.decode() for error in errors if error.status >= 400]
    for name in small.settings:
        shown.append((small.cluster.folder / f"{name}.log").read_text())
        operators = small.listen(name, "operators")
        shown.append(call(operators, "GET", "/metrics", OPERATOR_KEY).body.decode())
    text = "\n".join(shown)
    assert [secret for secret in (*SECRETS, words) if secret in text] == []


def cut_streams(small, chats):
    """Make both engines fail in several ways; return the answers that tell it."""
    call, address = small.cluster.call, small.listen("kigali-1")
    answers = []
    for fault in ({"cut_after": 0}, {"crossed": 1}, {"not_run": 1}):
        for number in (1, 2):
            target = small.target(number, "engine")
            body = json.dumps(fault).encode()
            call(target, "POST", "/standin/faults", "", body)
        answers += [call(address, "POST", CHAT, KEY, chat) for chat in chats]
    return answers


def test_calls_are_logged_with_what_happened(small):
    call, address = small.cluster.call, small.listen("kigali-1")
    answer = call(address, "POST", CHAT, KEY, chat_body("drafting", "x"))
    refused = call(address, "POST", CHAT, KEY, chat_body("other", "x"))
    log = (small.cluster.folder / "kigali-1.log").read_text()
    # Each line of the output is JSON, warnings of libraries included.
    lines = [json.loads(line) for line in log.splitlines()]
    for reply, outcome in ((answer, "answered"), (refused, "unknown_model")):
        request = reply.headers["Pollenmount-Request-Id"]
        line = next(line for line in lines if line.get("request") == request)
        assert line["outcome"] == outcome
        assert line["caller"] == "aid-kigali"
        assert (line["region"], line["failure_domain"]) == ("kigali", "kigali-a")
        assert {"class", "target"} <= set(line)
    metrics = call(
        small.listen("kigali-1", "operators"), "GET", "/metrics", OPERATOR_KEY
    )
    assert 'outcome="unknown_model",tenant="aid-kigali"' in metrics.body.decode()


def test_work_sent_away_is_counted(small):
    call, address = small.cluster.call, small.listen("huye-1")
    call(small.target(2, "engine"), "POST", "/standin/leave", "", b"")
    body = chat_body("drafting", "x" * 1000, True)

    def away():
        answer = call(address, "POST", CHAT, "key-aid-huye", body)
        return answer.headers.get("Pollenmount-Region") == "kigali"

    wait_until(away)
    operators = small.listen("huye-1", "operators")
    metrics = call(operators, "GET", "/metrics", OPERATOR_KEY).body.decode()
    values = dict(line.rsplit(" ", 1) for line in metrics.splitlines() if line)
    labels = 'home="huye",region="kigali",tenant="aid-huye"'
    assert float(values[f"pollenmount_served_total{{{labels}}}"]) == 1
    carried = float(values['pollenmount_region_bytes_total{region="kigali"}'])
    assert carried > len(body)
