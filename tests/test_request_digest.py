"""What tells that a request came before, under another id."""

import pytest

from pollenmount.gateway.call import digest_request
from pollenmount.wire.errors import ExchangeError
from tests.gateway_harness import EntryHarness


@pytest.fixture
def harness():
    harness = EntryHarness()
    harness.add_target("a")
    return harness


def test_the_same_request_under_another_id_has_the_same_digest(harness):
    first, second = harness.make_call(), harness.make_call()
    renamed = second._replace(info=second.info._replace(id="id-2"))
    assert digest_request(first) == digest_request(renamed)


@pytest.mark.parametrize(
    "changes",
    [{"method": "GET"}, {"request_target": "/r/1?page=2"}, {"body": b"other"}],
)
def test_another_request_has_another_digest(harness, changes):
    call = harness.make_call()
    assert digest_request(call) != digest_request(call._replace(**changes))


# One caller's request must not be taken for another's.
def test_another_host_has_another_digest(harness):
    call = harness.make_call()
    other = call._replace(info=call.info._replace(host="h2"))
    assert digest_request(call) != digest_request(other)


# Two attempts of different ids could not be told to be of the same request.
def test_a_failed_attempt_is_logged_with_the_digest(harness, caplog):
    caplog.set_level("INFO", "pollenmount")
    call = harness.make_call()
    harness.serve(call, [ExchangeError("the connection was closed")])
    (line,) = [r.fields for r in caplog.records if r.msg == "attempt failed"]
    assert line["digest"] == digest_request(call)
