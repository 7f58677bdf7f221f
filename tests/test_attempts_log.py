"""What the log says of an attempt whose response broke off."""

from pollenmount.gateway.dialect import ResponseInfo
from pollenmount.routes.plan import RetryMode
from pollenmount.wire.errors import MalformedResponseError
from tests.gateway_harness import EntryHarness, TargetHead, make_prompt, make_route
from tests.test_gateway_joining import receive_hop

HEAD = TargetHead(200, ResponseInfo("id-1", True, False, False, None, ()))
STREAM = make_route(RetryMode.STREAM, "engine", attempts=1)


# The requests at a target that crashed could not be told apart by their prompts.
def test_a_failed_attempt_is_logged_with_its_parts_and_how_far_it_came(caplog):
    caplog.set_level("INFO", "pollenmount")
    harness = EntryHarness()
    harness.add_engines("a")
    call = harness.make_call(STREAM, make_prompt("s"))
    harness.serve(call, [HEAD, MalformedResponseError("ended early")])
    (line,) = [r.fields for r in caplog.records if r.msg == "attempt failed"]
    assert (line["parts"], line["head_arrived"], line["event_arrived"]) == (
        ("s",),
        True,
        False,
    )


# Nothing told at which version of a target's software a stream had been going on.
def test_a_failed_attempt_is_logged_with_the_version_of_the_target(caplog):
    caplog.set_level("INFO", "pollenmount")
    harness = EntryHarness()
    harness.add_target("a", service="engine", version="v2")
    call = harness.make_call(STREAM, make_prompt("s"))
    harness.serve(call, [HEAD, MalformedResponseError("ended early")])
    (line,) = [r.fields for r in caplog.records if r.msg == "attempt failed"]
    assert line["version"] == "v2"


# A refusal for want of a version did not say of which.
def test_a_call_is_logged_with_the_version_that_began_its_stream(caplog):
    caplog.set_level("INFO", "pollenmount")
    receiver = EntryHarness(name="east-1", region="east")
    receive_hop(receiver, receiver.make_call(STREAM, version="v0"))
    (line,) = [r.fields for r in caplog.records if r.msg == "call ended"]
    assert line["stream_version"] == "v0"
