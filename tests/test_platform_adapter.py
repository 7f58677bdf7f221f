"""The adapter translates the platform's protocol into the gateway's types and back."""

import json
import math
import sys
from pathlib import Path

import pytest

from pollenmount.api.head import Head
from pollenmount.errors import SheetError
from pollenmount.gateway.dialect import AttemptInfo, ControlRequest, ControlRequestKind
from pollenmount.routes.check import find_faults
from pollenmount.routes.plan import RetryMode, get_route, index_routes
from pollenmount.wire.connection import HttpResponseHead

sys.path.insert(0, str(Path(__file__).parent.parent / "platform"))
from fleetport import documents  # noqa: E402
from fleetport.dialect import FleetDialect  # noqa: E402

DIALECT = FleetDialect()
ROUTE = {
    "name": "r",
    "host": "H.example",
    "path_prefix": "/a/",
    "kind": "streaming",
    "timeout_ms": 15_000,
    "slo_ms": 2000,
    "prio": 1,
    "backend": "s",
    "attempts": 2,
    "resumable": True,
    "home_regions": ["west"],
    "new_field": 1,
}
SERVICE = {
    "name": "s",
    "max_conns": 620,
    "warmup_per_s": 2.6,
    "engine": {"slots": 128, "kv_capacity": 179_025},
}
PLAN = {"version": 7, "routes": [ROUTE], "services": [SERVICE]}
HEARTBEAT = {
    "backend": "s",
    "addr": "10.1.0.9:80",
    "zone": "west-a",
    "version": "v1",
    "slots": 128,
    "state": "ready",
    "warmup_left_ms": 1200.5,
    "seq": 4,
    "born": 1_700_000_000_000,
}


def plan_with(**changes):
    return DIALECT.read_plan(json.dumps(PLAN | changes).encode())


def test_a_plan_is_decoded():
    plan = plan_with()
    route = plan.routes[0]
    assert (plan.version, route.retry_mode, route.priority) == (7, RetryMode.STREAM, 1)
    assert (route.slo_ms, route.attempts, route.homes) == (2000, 2, ("west",))
    assert plan.services["s"].engine.slots == 128
    assert plan.limits.body_bytes == 4 << 20
    assert not [*find_faults(plan)]


@pytest.mark.parametrize(
    "document",
    [b"", b"{", b"[]", b"\xff", json.dumps(PLAN).encode()[:-20]],
)
def test_a_truncated_document_is_rejected(document):
    with pytest.raises(SheetError):
        DIALECT.read_plan(document)


@pytest.mark.parametrize(
    "changes",
    [
        {"version": "7"},
        {"version": None},
        {"routes": {}},
        {"services": [1]},
        {"routes": [ROUTE | {"kind": "other"}]},
    ],
)
def test_a_plan_with_an_invalid_field_is_rejected(changes):
    with pytest.raises(SheetError):
        plan_with(**changes)


@pytest.mark.parametrize(
    "route",
    [
        {"backend": "unknown"},
        {"backend": None, "split": [{"backend": "s", "weight": 0}]},
        {"backend": None},
        {"timeout_ms": 0},
        {"path_prefix": "/a"},
    ],
)
def test_each_fault_of_a_plan_is_found(route):
    assert [*find_faults(plan_with(routes=[ROUTE | route]))]


def test_two_routes_with_the_same_host_and_prefix_are_a_fault():
    faults = [*find_faults(plan_with(routes=[ROUTE, ROUTE | {"name": "q"}]))]
    assert "host and prefix" in str(faults[0])


def test_the_longest_prefix_wins_and_hosts_ignore_case():
    inner = ROUTE | {"name": "inner", "path_prefix": "/a/b/"}
    by_host = index_routes(plan_with(routes=[ROUTE, inner]).routes)
    assert get_route(by_host, "h.EXAMPLE", "/a/b/c").name == "inner"
    assert get_route(by_host, "h.example", "/a/x").name == "r"
    assert get_route(by_host, "h.example", "/b/") is None


def test_a_heartbeat_is_decoded():
    record = DIALECT.read_target("i-1", json.dumps(HEARTBEAT).encode())
    assert record.order_key == (HEARTBEAT["born"], 4)
    assert (record.service, record.address) == ("s", "10.1.0.9:80")
    assert (record.draining, record.cold_ms) == (False, 1200)


@pytest.mark.parametrize(
    "changes",
    [
        {"state": "odd"},
        {"addr": "nowhere"},
        {"addr": 5},
        {"seq": "4"},
        {"born": None},
        {"backend": ["s"]},
    ],
)
def test_a_heartbeat_with_an_invalid_field_is_rejected(changes):
    document = json.dumps(HEARTBEAT | changes).encode()
    assert DIALECT.read_target("i-1", document) is None


@pytest.mark.parametrize("missing", ["backend", "addr", "zone", "state", "seq", "born"])
def test_a_heartbeat_without_a_required_field_is_rejected(missing):
    document = {k: v for k, v in HEARTBEAT.items() if k != missing}
    assert DIALECT.read_target("i-1", json.dumps(document).encode()) is None


@pytest.mark.parametrize(
    ("method", "target", "expected"),
    [
        ("PUT", "/-/config", ControlRequest(ControlRequestKind.PUT_PLAN)),
        ("GET", "/-/config", ControlRequest(ControlRequestKind.GET_PLAN)),
        (
            "POST",
            "/-/evacuate/west-a",
            ControlRequest(ControlRequestKind.EVACUATE, "west-a"),
        ),
        (
            "DELETE",
            "/-/evacuate/west-a",
            ControlRequest(ControlRequestKind.END_EVACUATION, "west-a"),
        ),
        (
            "PUT",
            "/-/instances/i-1",
            ControlRequest(ControlRequestKind.HEARTBEAT, "i-1"),
        ),
        ("DELETE", "/-/instances/i-1", ControlRequest(ControlRequestKind.LEAVE, "i-1")),
        (
            "GET",
            "/-/resolve?name=h&region=west&zone=west-a",
            ControlRequest(ControlRequestKind.ENTRIES, "west-a", "west", "h"),
        ),
        ("POST", "/-/config", None),
        ("GET", "/other", None),
    ],
)
def test_calls_are_decoded(method, target, expected):
    assert DIALECT.read_control_request(method, target) == expected


def caller_head(*headers):
    return Head("POST", "/a/1", "HTTP/1.1", (("Host", "h.example:80"), *headers))


def test_a_request_is_decoded():
    info = DIALECT.read_caller(
        caller_head(
            ("X-Pollenmount-Attempt-Id", "id"),
            ("X-Pollenmount-Deadline-Ms", "5000"),
            ("X-Pollenmount-Model", "m"),
            ("X-Pollenmount-Token-Count", "1460,80"),
            ("X-Pollenmount-Prompt-Prefix", "5c:800,91:410,e4:250"),
            ("Last-Event-Id", "12"),
            ("Resumes", "id-of-before"),
        )
    )
    assert info.resumes == "id-of-before"
    assert (info.id, info.host, info.timeout_ms) == ("id", "h.example", 5000)
    assert info.resume_after == "12"
    assert (info.prompt.tokens, info.prompt.output_tokens) == (1460, 80)
    assert [part.tokens for part in info.prompt.parts] == [800, 410, 250]


def test_reserved_and_hop_by_hop_headers_are_not_forwarded():
    """A caller that could hold or pin an engine's memory would starve others."""
    info = DIALECT.read_caller(
        caller_head(
            ("X-Pollenmount-Attempt-Id", "id"),
            ("X-Pollenmount-Hold", "h"),
            ("X-Pollenmount-Pin-Ms", "4000"),
            ("X-Pollenmount-Kv-Backup", "1:1"),
            ("Kv-From", "1:1/2"),
            ("Kv-Fetch", "1:1"),
            ("X-Pollenmount-Expect-Instance", "i"),
            ("X-Pollenmount-Request-Priority", "0"),
            ("Connection", "close, X-Own"),
            ("X-Own", "1"),
            ("Transfer-Encoding", "chunked"),
            ("Accept", "x"),
        )
    )
    names = [name for name, _ in info.headers]
    assert names == ["Host", "X-Pollenmount-Attempt-Id", "Accept"]


def test_an_attempt_has_its_target_deadline_and_resume_position():
    info = DIALECT.read_caller(caller_head(("X-Pollenmount-Deadline-Ms", "5000")))
    headers = dict(DIALECT.attempt_headers(info, AttemptInfo("i-1", 1234, 2, "7")))
    assert headers["X-Pollenmount-Expect-Instance"] == "i-1"
    assert headers["X-Pollenmount-Deadline-Ms"] == "1234"
    assert headers["Last-Event-Id"] == "7"


def test_an_answer_is_decoded():
    head = HttpResponseHead(
        200,
        (
            ("X-Pollenmount-Attempt-Id", "id"),
            ("X-Pollenmount-Response-Stamp", "3e"),
            ("Content-Length", "5"),
            ("Keep-Alive", "timeout=5"),
        ),
        False,
    )
    info = DIALECT.read_response(head)
    assert (info.id, info.stamped, info.not_run) == ("id", True, False)
    assert [name for name, _ in info.headers] == [
        "X-Pollenmount-Attempt-Id",
        "X-Pollenmount-Response-Stamp",
    ]


# A limit in other words than the platform's is not kept to, or junk sets or ends one.
@pytest.mark.parametrize(
    ("value", "expected"),
    [(None, None), ("8", 8.0), (" 2.5 ", 2.5), ("0", 0.0), ("-1", -1.0)],
)
def test_how_many_refusals_a_target_bears_is_decoded(value, expected):
    headers = () if value is None else (("Server-Brittle", value),)
    info = DIALECT.read_response(HttpResponseHead(200, headers, False))
    assert info.max_refusals_per_s == expected


# Junk that is taken for no limit would end the one that the target has named.
@pytest.mark.parametrize("value", ["many", "nan", "inf", "1e3", "0x2", "8, 9"])
def test_junk_for_the_refusals_that_a_target_bears_is_told_from_none(value):
    head = HttpResponseHead(200, (("Server-Brittle", value),), False)
    assert math.isnan(DIALECT.read_response(head).max_refusals_per_s)


def test_the_settings_template_has_the_settings_keys():
    text = (Path(__file__).parent.parent / "deploy/settings.json.template").read_text()
    from pollenmount.gateway.settings import Bounds, Document, Listen

    for key in (*Document.__struct_fields__, *Listen._fields, *Bounds._fields):
        assert f'"{key}"' in text


# Guards against one caller's numbers that stop the reports of load of its VM, or raise.
@pytest.mark.parametrize("digits", [20, 5000])
def test_absurd_numbers_of_a_caller_are_left_out(digits):
    number = "9" * digits
    counted = caller_head(
        ("X-Pollenmount-Deadline-Ms", number),
        ("X-Pollenmount-Token-Count", "10,5"),
        ("X-Pollenmount-Prompt-Prefix", f"a:{number}"),
        ("X-Pollenmount-Length-Hint", number),
    )
    info = DIALECT.read_caller(counted)
    assert info.timeout_ms is None
    assert (info.prompt.parts[0].tokens, info.prompt.hint) == (0, 0)
    absurd = caller_head(("X-Pollenmount-Token-Count", f"{number},5"))
    assert DIALECT.read_caller(absurd).prompt is None


# Guards against a heartbeat that no link can carry: no VM could open a new one.
@pytest.mark.parametrize(
    "changes",
    [
        *({"warmup_left_ms": 1e300}, {"slots": 10**30}, {"slots": -1}),
        *({"born": 10**30}, {"seq": -(10**30)}, {"addr": "name.example:80"}),
        *({"addr": "10.1.0.9:70000"}, {"addr": "10.1.0.9:"}),
    ],
)
def test_a_heartbeat_out_of_range_names_no_target(changes):
    document = json.dumps(HEARTBEAT | changes).encode()
    assert DIALECT.read_target("i-1", document) is None


@pytest.mark.parametrize(
    "document",
    [
        PLAN | {"version": 10**30},
        PLAN | {"routes": [ROUTE | {"timeout_ms": 1e400}]},
        PLAN | {"limits": {"idle_timeout_ms": 1e400}},
    ],
)
def test_a_plan_out_of_range_is_refused(document):
    text = json.dumps(document).replace("Infinity", "1e400")
    with pytest.raises(SheetError):
        DIALECT.read_plan(text.encode())


# VMs send versions to each other in headers, which take neither line ends nor most
# letters, and have a bound.
@pytest.mark.parametrize("version", ["v1\r\nX: 1", "v\u20ac", "v" * 500, "v\ud800"])
def test_an_odd_version_is_kept_apart_in_printable_letters(version):
    names = {documents.version_name(text) for text in (version, "v1", f"{version}2")}
    assert len(names) == 3
    assert all(n.isascii() and n.isprintable() and len(n) <= 80 for n in names)


def test_an_ordinary_version_is_kept_as_it_is():
    assert documents.version_name("v1.2-rc3") == "v1.2-rc3"
