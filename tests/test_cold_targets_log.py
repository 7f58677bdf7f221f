"""What the log says of cold targets: what a VM believes, and what it sends there."""

from pollenmount.routes.plan import RetryMode
from tests.gateway_harness import EntryHarness, make_prompt, make_route, ok

STREAM = make_route(RetryMode.STREAM, "engine")


def find_fields(caplog, message):
    """Return the fields of the only line with a message."""
    (fields,) = [r.fields for r in caplog.records if r.msg == message]
    return fields


# Nobody could tell which VM had sent a request to a cold target, and on whose choice.
def test_a_request_to_a_cold_target_is_logged_with_what_decided_it(caplog):
    caplog.set_level("INFO", "pollenmount")
    harness = EntryHarness()
    harness.add_target("e", service="engine", cold_ms=3000, born=7, sequence=4)
    harness.clock.advance(500)
    harness.serve(harness.make_call(STREAM, make_prompt()), ok("e"))
    assert find_fields(caplog, "cold target used") == {
        "request": "id-1",
        "target": "e",
        "born": 7,
        "sequence": 4,
        "cold_left_ms": 2500,
        "doubted": False,
        "senders": ("west-1",),
    }


def test_a_request_to_a_warm_target_is_not(caplog):
    caplog.set_level("INFO", "pollenmount")
    harness = EntryHarness()
    harness.add_engines("e")
    harness.serve(harness.make_call(STREAM, make_prompt()), ok("e"))
    assert "cold target used" not in [record.msg for record in caplog.records]


def test_a_change_of_a_target_says_when_it_started_and_how_long_it_stays_cold(caplog):
    caplog.set_level("INFO", "pollenmount")
    harness = EntryHarness()
    harness.add_target("e", service="engine", cold_ms=3000, born=7)
    # The control VM and the entry VM.
    lines = [r.fields for r in caplog.records if r.fields.get("change") == "TargetSeen"]
    assert [(f["born"], f["cold_ms"], f["cold_senders"]) for f in lines] == [
        (7, 3000, ("west-1",))
    ] * 2
