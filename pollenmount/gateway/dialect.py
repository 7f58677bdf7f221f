"""Interface to the protocol that callers, targets and operators speak.

An adapter derives from `Dialect` and converts headers and documents into these types.
Nothing else in the gateway depends on names of headers or of keys in documents.
"""

from enum import StrEnum
from typing import NamedTuple

from pollenmount.fleet.records import TargetRecord
from pollenmount.routes.plan import RoutePlan

__all__ = [
    "AttemptInfo",
    "CallerInfo",
    "ControlRequest",
    "ControlRequestKind",
    "Dialect",
    "Prompt",
    "PromptPart",
    "ResponseInfo",
    "shared_ids",
]


OUTPUT_LIMIT_PER_OUTPUT = 4


class PromptPart(NamedTuple):
    """A part of a prompt that other prompts may share, and its length in tokens."""

    id: str
    tokens: int


class Prompt(NamedTuple):
    """Prompt of a generation request.

    `tokens` is the length of the prompt, `output_tokens` the limit of the output, and
    `hint` the caller's estimate of the output length, 0 for none.
    """

    model: str
    tokens: int
    output_tokens: int
    parts: tuple[PromptPart, ...]
    hint: int = 0

    @property
    def expected_output(self):
        """Return the expected output tokens; most outputs stay far below the limit."""
        return self.hint or self.output_tokens // OUTPUT_LIMIT_PER_OUTPUT


def shared_ids(prompt):
    """Return the ids of the parts that other prompts may share: all but the last.

    There are none without a prompt.
    """
    return tuple(part.id for part in prompt.parts[:-1]) if prompt else ()


class CallerInfo(NamedTuple):
    """Decoded headers of a caller's request.

    `id` identifies the request; a retry of the caller has another one. `timeout_ms` is
    the caller's timeout, None if it sent none. `resume_after` is the number of the last
    event that the caller has, '' for none. `headers` are passed on unchanged. `resumes`
    is the id of the request that brought a resumed stream's first event, '' for none.
    `key` is the key of the caller's account, '' for none.
    """

    id: str
    host: str
    timeout_ms: int | None
    resume_after: str
    prompt: Prompt | None
    headers: tuple[tuple[str, str], ...]
    resumes: str = ""
    key: str = ""


class AttemptInfo(NamedTuple):
    """Values of the headers that are added to an attempt.

    `target_id` is the only target that may run it, `remaining_ms` the time until its
    deadline, and `priority` 0 is the most urgent. `account` is the name of the caller's
    account, '' for none.
    """

    target_id: str
    remaining_ms: int
    priority: int
    resume_after: str
    account: str = ""


class ResponseInfo(NamedTuple):
    """Decoded headers of a target's response.

    `id` is the id of the request. `stamped` tells whether the target's response stamp
    is present, and `not_run` whether the target reports that it did not run the
    request. `leaving` tells that the target is about to end, and `retry_after_s` how
    long it wants no requests: None if it doesn't say, NaN if that is unreadable.
    `limit_per_s` is how many requests a second it takes from all VMs together, and
    `max_refusals_per_s` how many a second it can refuse for want of room, in the same
    manner.
    `headers` are passed on, also those with what the target says of itself: the
    response stays the target's.
    """

    id: str
    stamped: bool
    not_run: bool
    leaving: bool
    retry_after_s: float | None
    headers: tuple[tuple[str, str], ...]
    limit_per_s: float | None = None
    max_refusals_per_s: float | None = None


class ControlRequestKind(StrEnum):
    """Kinds of requests to a control VM."""

    PUT_PLAN = "put_plan"
    GET_PLAN = "get_plan"
    EVACUATE = "evacuate"
    END_EVACUATION = "take_back"
    HEARTBEAT = "heartbeat"
    LEAVE = "leave"
    ENTRIES = "entries"


class ControlRequest(NamedTuple):
    """A request of an operator, a target or a user of the directory to a control VM.

    `name` is a failure domain (to evacuate, or the caller's) or a target's id. `region`
    is the caller's region, and `host` the host that the caller wants to reach.
    """

    kind: ControlRequestKind
    name: str = ""
    region: str = ""
    host: str = ""


class Dialect:
    """Converts between the wire format and the gateway's types."""

    def read_caller(self, head, has_accounts=False):
        """Return the `CallerInfo` of a request's `Head`.

        If callers have accounts, its headers contain no credentials.
        """
        raise NotImplementedError

    def attempt_headers(self, info, attempt):
        """Return an attempt's headers, from a `CallerInfo` and an `AttemptInfo`."""
        raise NotImplementedError

    def read_response(self, head):
        """Return the `ResponseInfo` of a response's `HttpResponseHead`."""
        raise NotImplementedError

    def read_plan(self, document) -> RoutePlan:
        """Return the `RoutePlan` in an encoded document, or raise `SheetError`."""
        raise NotImplementedError

    def read_target(self, id_, document) -> TargetRecord | None:
        """Return the `TargetRecord` in a heartbeat, or None if it is invalid."""
        raise NotImplementedError

    def read_control_request(self, method, target) -> ControlRequest | None:
        """Return the `ControlRequest` for an HTTP method and target, or None."""
        raise NotImplementedError

    def write_entries(self, addresses, ttl_s):
        """Return the document that lists entry VMs to a caller."""
        raise NotImplementedError

    def write_heartbeat_reply(self):
        """Return the document that acknowledges a heartbeat."""
        raise NotImplementedError

    def is_readiness(self, method, target):
        """Return whether a request is a readiness check."""
        raise NotImplementedError
