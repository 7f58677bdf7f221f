"""Where the origin of a stream comes from, and what a caller is told without one."""

import pytest

from pollenmount.clock import ManualClock
from pollenmount.fleet import stream_origins
from pollenmount.fleet.messages import RequestBegan, StreamsBegan
from pollenmount.fleet.stream_origins import (
    MAX_STREAMS,
    ORIGIN_TTL_MS,
    RequestOrigins,
    StreamOrigin,
    StreamOrigins,
    request_key,
    stream_key,
)
from pollenmount.gateway.call import ErrorResponse
from pollenmount.gateway.dialect import CallerInfo
from pollenmount.gateway.progress import Progress
from pollenmount.routes.plan import RetryMode, Split
from pollenmount.wire.errors import ExchangeError
from tests.gateway_harness import EntryHarness, make_prompt, make_route, ok

STREAM = make_route(RetryMode.STREAM, resumable=True, attempts=3)
ORIGIN = StreamOrigin("desk", "v1")


@pytest.fixture
def harness():
    harness = EntryHarness()
    for version in ("v1", "v2"):
        harness.add_target(f"t-{version}", version=version)
    return harness


def take_up(harness, resumes="id-0", route=STREAM):
    """Return a call that takes a stream up after its second event."""
    info = CallerInfo("id-1", "h", 5000, "2", None, (), resumes)
    return harness.make_call(route, info=info)


def places(harness):
    return [attempt.destination.target_id for attempt in harness.sender.attempts]


def begin(harness, version):
    """Let a stream have begun at a version."""
    harness.fleet.origins.record(stream_key("h", "id-0"), StreamOrigin("desk", version))


@pytest.mark.parametrize("version", ["v1", "v2"])
def test_a_stream_is_taken_up_at_the_version_that_began_it(harness, version):
    begin(harness, version)
    harness.serve(take_up(harness), ok(f"t-{version}"))
    assert places(harness) == [f"t-{version}"]


# An attempt that was broken off at the right version must not go on at another.
def test_a_second_break_does_not_change_the_version(harness):
    begin(harness, "v1")
    harness.add_target("u-v1", version="v1")
    broken = [ExchangeError("the answer ended early")]
    parts, _ = harness.serve(take_up(harness), broken, broken)
    assert {*places(harness)} == {"t-v1", "u-v1"}
    assert parts[0].status == 502


def test_a_stream_that_breaks_goes_on_at_its_version_within_the_response(harness):
    harness.add_target("u-v1", version="v1")
    harness.add_target("u-v2", version="v2")
    call = harness.make_call(STREAM)
    first = ok("t", b"id: 1\n\n")
    first[0] = first[0]._replace(version="v1")
    harness.serve(call, [*first, 1, ExchangeError("ended early")], ok())
    assert places(harness)[1] in ("t-v1", "u-v1")


# The refusal promises that nothing has run.
def test_a_stream_of_unknown_origin_is_refused_and_sent_nowhere(harness):
    (refusal,), _ = harness.serve(take_up(harness))
    assert isinstance(refusal, ErrorResponse)
    assert (refusal.status, places(harness)) == (503, [])
    assert refusal.retry_after_ms > 0


def test_a_version_without_targets_is_said_so_at_once(harness):
    begin(harness, "v0")
    before = harness.clock.now()
    (refusal,), _ = harness.serve(take_up(harness))
    assert (refusal.status, harness.clock.now()) == (503, before)
    assert "version that began the stream" in refusal.reason


# A VM that the caller has not used before gets the answer of a control VM.
def test_a_control_vm_that_knows_the_origin_is_heard(harness):
    key = stream_key("h", "id-0")
    answer = StreamsBegan("desk", "v2", (key,))
    harness.fleet.origins.ask = lambda key: harness.fleet.handle(answer, "c")
    harness.serve(take_up(harness), ok())
    assert places(harness) == ["t-v2"]


@pytest.mark.parametrize(
    ("resumes", "known", "source"),
    [
        ("id-0", True, "own_record"),
        ("id-0", False, "control_vm"),
        ("", True, "own_record"),
    ],
)
def test_a_call_tells_how_its_origin_was_found(harness, resumes, known, source):
    if known:
        begin(harness, "v1")
    harness.fleet.freshness.record("c")
    harness.clock.advance(700)
    _, progress = harness.serve(take_up(harness, resumes), ok())
    assert (progress.origin_source, progress.view_age_ms) == (source, 700)


def test_a_call_tells_the_versions_of_all_its_attempts(harness):
    begin(harness, "v1")
    harness.add_target("u-v1", version="v1")
    _, progress = harness.serve(
        take_up(harness), [ExchangeError("the answer ended early")], ok()
    )
    assert progress.versions == ["v1", "v1"]


# Another service's text would not fit either, whatever the weights of the route say.
def test_a_stream_of_a_split_route_stays_at_its_service(harness):
    harness.add_target("e", service="engine", version="v1")
    begin(harness, "v1")
    splits = (Split("desk", 1), Split("engine", 99))
    call = take_up(harness, route=STREAM._replace(splits=splits))
    harness.serve(call._replace(service="engine"), ok())
    assert places(harness) == ["t-v1"]


# A plan that has taken the service off the route must be obeyed.
def test_a_stream_of_a_service_that_left_the_route_is_refused(harness):
    harness.add_target("e", service="engine", version="v1")
    begin(harness, "v1")
    route = STREAM._replace(splits=(Split("engine", 1),))
    (refusal,), _ = harness.serve(take_up(harness, route=route))
    assert (refusal.status, places(harness)) == (503, [])


# A VM that knew one version only took it for the one that had begun the stream.
@pytest.mark.parametrize("others", [(), ("v2",)])
def test_a_stream_that_nobody_recorded_is_refused(others):
    harness = EntryHarness()
    harness.add_target("t-v1", version="v1")
    for version in others:
        harness.add_target(f"t-{version}", "east", version=version)
    (refusal,), _ = harness.serve(take_up(harness, resumes=""))
    assert (refusal.status, places(harness)) == (503, [])


def answer_with(harness, *versions):
    """Let a control VM answer which versions have begun a request's streams."""
    told = tuple(("desk", version) for version in versions)

    def ask(number, key):
        harness.fleet.handle(RequestBegan(number, told), "c")
        return ("c",)

    harness.fleet.request_origins.ask = ask


def begin_request(harness, version, prompt=None):
    """Let a stream begin here at a version as a request that comes again."""
    first = ok(f"t-{version}")
    first[0] = first[0]._replace(version=version)
    harness.serve(harness.make_call(STREAM, prompt), first)
    harness.sender.attempts.clear()


# Callers that do not name what they take up send the same request again.
@pytest.mark.parametrize("version", ["v1", "v2"])
def test_a_caller_that_does_not_name_its_stream_goes_on(harness, version):
    answer_with(harness)
    begin_request(harness, version)
    harness.serve(take_up(harness, resumes=""), ok())
    assert places(harness) == [f"t-{version}"]


def test_a_control_vm_tells_where_a_request_has_begun(harness):
    answer_with(harness, "v2")
    harness.serve(take_up(harness, resumes=""), ok())
    assert places(harness) == ["t-v2"]


# The same request began here at one version and elsewhere at another.
def test_a_request_that_began_at_two_versions_is_refused(harness):
    answer_with(harness, "v2")
    begin_request(harness, "v1")
    (refusal,), _ = harness.serve(take_up(harness, resumes=""))
    assert (refusal.status, places(harness)) == (503, [])


# A control VM that has lost its memory answered first, so the stream was joined.
def test_all_linked_control_vms_are_heard_before_a_request_goes_on(harness):
    answers = {"empty": (), "full": (("desk", "v2"),)}
    asked = []

    def ask(number, key):
        asked.append(number)
        return answers

    def sleep(ms):
        harness.clock.advance(ms)
        for source in [*answers][:1]:
            answer = RequestBegan(asked[0], answers.pop(source))
            harness.fleet.handle(answer, source)

    harness.fleet.request_origins.ask = ask
    harness.dispatcher.sleep = sleep
    begin_request(harness, "v1")
    (refusal,), _ = harness.serve(take_up(harness, resumes=""))
    assert (refusal.status, places(harness)) == (503, [])


# One that does not answer must not keep all streams from going on.
def test_a_silent_control_vm_delays_a_request_and_does_not_stop_it(harness):
    answer_with(harness, "v1")
    ask_one = harness.fleet.request_origins.ask
    harness.fleet.request_origins.ask = lambda *key: {*ask_one(*key), "silent"}
    harness.serve(take_up(harness, resumes=""), ok())
    assert places(harness) == ["t-v1"]


# A VM without control VMs can't tell its own streams from others that look alike.
@pytest.mark.parametrize(("prompt", "status"), [(make_prompt(), 200), (None, 503)])
def test_without_control_vms_only_prompts_are_told_apart(harness, prompt, status):
    begin_request(harness, "v1", prompt)
    call = take_up(harness, resumes="")
    call = call._replace(info=call.info._replace(prompt=prompt))
    parts, _ = harness.serve(call, ok())
    assert parts[0].status == status


# An answer from before the question proves nothing of what has begun since.
def test_an_answer_to_an_earlier_question_is_dropped():
    origins = RequestOrigins(ManualClock(1000))
    with origins.question() as first:
        pass
    with origins.question() as second:
        origins.handle_answer(first, "c", [("desk", "v1")])
        assert origins.answers[second] == {}
        origins.handle_answer(second, "c", [])
        assert origins.answers[second] == {"c": frozenset()}


def test_the_origins_of_a_request_add_up_and_expire():
    origins = RequestOrigins(clock := ManualClock(1000))
    origins.record(1, ORIGIN)
    origins.add(1, StreamOrigin("desk", "v2"))
    assert len(origins.find(1)) == 2
    assert [*origins.take_unsent()] == [(ORIGIN, (1,))]
    assert len([*origins.all_by_origin()]) == 2
    clock.advance(ORIGIN_TTL_MS)
    assert not origins.find(1)
    origins.sweep()
    assert not origins.known


def test_prompts_with_the_same_body_are_told_apart_by_their_parts():
    assert request_key("digest", ["a", "b"]) != request_key("digest", ["a", "c"])


def test_two_callers_may_use_the_same_id():
    assert stream_key("h", "id") != stream_key("i", "id")


def test_the_first_origin_counts_and_expires():
    origins = StreamOrigins(clock := ManualClock(1000))
    origins.record(1, ORIGIN)
    origins.record(1, StreamOrigin("desk", "v2"))
    assert origins.find(1) == ORIGIN
    clock.advance(ORIGIN_TTL_MS)
    origins.sweep()
    assert not origins.known


def test_the_oldest_streams_are_dropped_beyond_the_bound(monkeypatch):
    monkeypatch.setattr(stream_origins, "MAX_STREAMS", 3)
    origins = StreamOrigins(ManualClock(1000))
    for key in range(5):
        origins.record(key, ORIGIN)
    assert [*origins.known] == [2, 3, 4]
    assert MAX_STREAMS > 2100 * 60


def test_messages_hold_a_bounded_number_of_streams(monkeypatch):
    monkeypatch.setattr(stream_origins, "MAX_KEYS_PER_MESSAGE", 2)
    origins = StreamOrigins(ManualClock(1000))
    for key in range(5):
        origins.record(key, ORIGIN)
    assert [*origins.take_unsent()] == [
        (ORIGIN, (0, 1)),
        (ORIGIN, (2, 3)),
        (ORIGIN, (4,)),
    ]
    assert not [*origins.take_unsent()]
    assert len([*origins.all_by_origin()]) == 3


# A hop broke after its first event had been sent and before it arrived; the VM that had
# sent it went on elsewhere, and what the other had recorded was taken for the origin.
@pytest.mark.parametrize(("may_hop", "count"), [(True, 1), (False, 0)])
def test_only_the_vm_of_the_caller_records_a_stream(harness, may_hop, count):
    call = harness.make_call(STREAM)
    harness.update_capacities()
    harness.sender.script = [ok()]
    list(harness.dispatcher.serve(call, Progress(call), may_hop))
    assert len(harness.fleet.origins.known) == count
