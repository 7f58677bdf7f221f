"""Raw HTTP to a running node: only valid requests run, and the node keeps serving.

Each request is built from parts known to be valid or not, so no parser is needed to
tell whether it must run.
"""

import contextlib
import json
import socket
from typing import NamedTuple

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from standins.cluster import wait_until
from tests.faults.product import CHAT, SmallDeployment, chat_body

TIMEOUT_S = 20
KEY = "key-aid-kigali"


class RequestPart(NamedTuple):
    """One part of a request, and whether a valid request may contain it."""

    text: bytes
    valid: bool


def make_parts(valid, invalid):
    return [RequestPart(text, True) for text in valid] + [
        RequestPart(text, False) for text in invalid
    ]


REQUEST_LINES = make_parts(
    [b"GET /cases/17 HTTP/1.1", b"GET /cases/a%20b%2Fc?x=%C3%A9&y HTTP/1.1"]
    + [b"GET /cases HTTP/1.1"],
    [b"GET http://h/cases HTTP/1.1", b"GET /cases/%zz HTTP/1.1", b"GET * HTTP/1.1"]
    + [b"GET /cases/../filings HTTP/1.1", b"GET /cases/%2e%2E/filings HTTP/1.1"]
    + [b"GET /cases/..%5cfilings HTTP/1.1", b"GET /cases%00 HTTP/1.1"]
    + [b"GET /cases HTTP/2.0", b"GET /cases", b"GET  /cases HTTP/1.1", b""]
    + [b"GET /cases#x HTTP/1.1", b"get /cases HTTP/1.1", b"FOO /cases HTTP/1.1"]
    + [b"GET /cases\xe9 HTTP/1.1", b"GET /cases HTTP/1.1 ", b"GET /casesx HTTP/1.1"]
    + [b"POST /cases HTTP/1.1", b"GET //cases HTTP/1.1", b"GET /v1/x HTTP/1.1"],
)
EXTRA_HEADERS = make_parts(
    [b"", b"X-A: 1\r\nX-A: 2\r\n", b"X-A:\r\n", b"X-A: \xe9\t x\r\n"],
    [b"X-A : 1\r\n", b"X-A: 1\r\n folded\r\n", b"X-A: a\rContent-Length: 5\r\n"]
    + [b"nocolon\r\n", b"X A: 1\r\n", b"X-A: \x00\r\n", b"X-A: a\nX-B: b\r\n"]
    + [b"Host: other\r\n", b"X-A: " + b"x" * 9000 + b"\r\n", b": 1\r\n"]
    + [b"X-A: 1\r\n" * 150, b"Authorization: Bearer other\r\n", b"Expect: x\r\n"],
)
FRAMINGS = make_parts(
    [b"\r\n", b"Content-Length: 0\r\n\r\n", b"Content-Length: 3\r\n\r\nabc"]
    + [b"Transfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n0\r\nT: t\r\n\r\n"],
    [b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"]
    + [b"Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc"]
    + [b"Content-Length: %b\r\n\r\nabc" % v for v in (b"+3", b"3, 3", b"-1", b"0x3")]
    + [b"Content-Length: \r\n\r\n", b"Content-Length: 9\r\n\r\nabc", b""]
    + [b"Content-Length: 99999999\r\n\r\nabc", b"Content-Length: 3_0\r\n\r\nabc"]
    + [
        b"Transfer-Encoding: %b\r\n\r\n0\r\n\r\n" % value
        for value in (
            b"xchunked",
            b"chunked, chunked",
            b"identity",
            b"\x0bchunked",
            b"",
        )
    ]
    + [
        b"Transfer-Encoding: chunked\r\n\r\n" + data
        for data in (b"-3\r\nabc\r\n0\r\n\r\n", b"3\r\nabcd\r\n0\r\n\r\n", b"3\r\nab")
    ]
    + [b"Transfer-Encoding: chunked\r\n\r\n3\nabc\r\n0\r\n\r\n"],
)


PART_KINDS = (REQUEST_LINES, EXTRA_HEADERS, FRAMINGS)
COMMON_HEADERS = (
    f"Host: h\r\nAuthorization: Bearer {KEY}\r\nConnection: close\r\n".encode()
)


def exchange(address, data, half_close=False):
    """Send bytes, optionally close the sending side, and return what is received."""
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port)), TIMEOUT_S) as connection:
        with contextlib.suppress(OSError):
            connection.sendall(data)
            if half_close:
                connection.shutdown(socket.SHUT_WR)
        return b"".join(iter(lambda: connection.recv(65_536), b""))


def check_request(deployment, request_line, extra_header, framing):
    """Check that a request runs only if valid, and that the node serves the next."""
    address = deployment.listen_address("kigali-1")
    calls_before = deployment.read_counts("service")["calls"]
    data = (
        request_line.text + b"\r\n" + COMMON_HEADERS + extra_header.text + framing.text
    )
    valid = request_line.valid and extra_header.valid and framing.valid
    answer = exchange(address, data, half_close=not valid)
    run_count = deployment.read_counts("service")["calls"] - calls_before
    assert run_count == valid, (data, answer)
    head, _, body = answer.partition(b"\r\n\r\n")
    if valid:
        assert head.startswith(b"HTTP/1.1 200 "), (data, answer)
    else:
        assert head.startswith(b"HTTP/1.1 4"), (data, answer)
        error = json.loads(body)["error"]
        assert error["not_run"] and error["message"], (data, answer)
    next_answer = exchange(
        address, b"GET /cases/1 HTTP/1.1\r\n" + COMMON_HEADERS + b"\r\n"
    )
    assert next_answer.startswith(b"HTTP/1.1 200 ")


@pytest.fixture
def deployment(cluster, network):
    return SmallDeployment(cluster, network, {"kigali": 1})


def test_only_valid_requests_run(deployment):
    @settings(
        derandomize=True,
        database=None,
        max_examples=200,
        deadline=None,
        suppress_health_check=list(HealthCheck),
    )
    @given(*(st.sampled_from(choices) for choices in PART_KINDS))
    def run(request_line, extra_header, framing):
        check_request(deployment, request_line, extra_header, framing)

    run()
    assert_no_internal_error(deployment)


def test_each_part_alone_decides_whether_the_request_runs(deployment):
    valid_parts = [choices[0] for choices in PART_KINDS]
    for index, choices in enumerate(PART_KINDS):
        for part in choices:
            check_request(
                deployment, *valid_parts[:index], part, *valid_parts[index + 1 :]
            )
    assert_no_internal_error(deployment)


def assert_no_internal_error(deployment):
    """Check that the node logged no unexpected exception."""
    log = (deployment.cluster.folder / "kigali-1.log").read_text()
    assert "Traceback" not in log and "fault of this program" not in log


BODIES = [
    b"",
    b"[]",
    b'{"model": "drafting"}',
    b'{"model": 1, "messages": []}',
    b'{"model": "drafting", "messages": [1]}',
    b'{"model": "drafting", "messages": [], "stream": 1}',
    b'{"model": "other", "model": "drafting", "messages": []}',
    b'{"model": "drafting", "messages": [], "x": NaN}',
    b'{"model": "drafting", "messages": [], "x": ' + b"9" * 9000 + b"}",
    b'{"model": "drafting", "messages": ' + b"[" * 200_000,
    '{"model": "drafting", "messages": []}'.encode("utf-16"),
    b'{"model": "drafting", "messages": [], "x": "\xff"}',
    b"\x00" * 1000,
    b"x" * (5 << 20),
]


def test_malformed_documents_and_headers_are_refused(deployment):
    address, call = deployment.listen_address("kigali-1"), deployment.cluster.call
    calls_before = deployment.read_counts("engine")["calls"]
    refused = [call(address, "POST", CHAT, KEY, body) for body in BODIES]
    headers = [
        {"Pollenmount-Deadline-Ms": value} for value in ("0", "-1", "9" * 5000, "x")
    ]
    headers += [{"Pollenmount-Class": "first"}, {"Idempotency-Key": "k" * 201}]
    chat = chat_body("drafting", "x")
    refused += [
        call(address, "POST", CHAT, KEY, chat, extra_header) for extra_header in headers
    ]
    assert {answer.status for answer in refused} <= {400, 413}
    assert all(answer.json["error"]["not_run"] for answer in refused)
    assert deployment.read_counts("engine")["calls"] == calls_before
    assert call(address, "POST", CHAT, KEY, chat).status == 200
    assert_no_internal_error(deployment)


def test_disconnected_caller_stops_the_engine_but_not_an_action(deployment):
    address, call = deployment.listen_address("kigali-1"), deployment.cluster.call
    for number, stream in enumerate((True, False), start=1):
        body = chat_body("drafting", f"long {number}", stream, 100_000)
        send_and_disconnect(
            address, CHAT, body, lambda: deployment.read_counts("engine")["running"]
        )
        wait_until(lambda: deployment.read_counts("engine")["running"] == 0)
    assert deployment.read_counts("engine")["generated_words"] < 100_000
    service = deployment.target_address(1, "service")
    call(service, "POST", "/standin/faults", "", b'{"slow_ms": 700}')
    calls = deployment.read_counts("service")["calls"]
    send_and_disconnect(
        address,
        "/filings",
        b"form",
        lambda: deployment.read_counts("service")["calls"] > calls,
    )

    def is_answered():
        answer = call(
            address, "POST", "/filings", KEY, b"form", {"Idempotency-Key": "h"}
        )
        return answer.status == 201

    wait_until(is_answered)
    assert deployment.read_counts("service")["runs"] == {"h": 1}


def send_and_disconnect(address, path, body, condition):
    """Send a request and disconnect once `condition` is met."""
    host, _, port = address.rpartition(":")
    head = (
        f"POST {path} HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer {KEY}\r\n"
        f"Idempotency-Key: h\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    with socket.create_connection((host, int(port)), TIMEOUT_S) as connection:
        connection.sendall(head.encode() + body)
        wait_until(condition)


def test_many_incomplete_requests_do_not_block_others(deployment):
    address = deployment.listen_address("kigali-1")
    host, _, port = address.rpartition(":")
    with contextlib.ExitStack() as stack:
        for _ in range(200):
            connection = socket.create_connection((host, int(port)), TIMEOUT_S)
            stack.enter_context(contextlib.closing(connection))
            connection.sendall(b"POST /filings HTTP/1.1\r\nContent-Length: 400000\r\n")
        assert deployment.cluster.call(address, "GET", "/cases/1", KEY).status == 200
