"""What the gateway needs to know of the protocol that callers and targets speak.

An adapter derives from `Dialect` and decodes the names on the wire into these types
once. Nothing else in the gateway knows a header or a key of a document by its name.
"""

from enum import StrEnum
from typing import NamedTuple

from pollenmount.fleet.messages import TargetRecord
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
]


OUTPUT_LIMIT_PER_OUTPUT = 4


class PromptPart(NamedTuple):
    """A part of a prompt that other prompts may share, with its length."""

    id: str
    tokens: int


class Prompt(NamedTuple):
    """What is known of a generation: prompt tokens, most output tokens, parts.

    `hint` is the caller's estimate of the output tokens, 0 for none.
    """

    model: str
    tokens: int
    output_tokens: int
    parts: tuple[PromptPart, ...]
    hint: int = 0

    @property
    def expected_output(self):
        """Return how many output tokens are likely; most are far from the limit."""
        return self.hint or self.output_tokens // OUTPUT_LIMIT_PER_OUTPUT


class CallerInfo(NamedTuple):
    """What the headers of a caller's request say.

    `id` names this try of the caller; `wait_ms` is how long it waits, None if unsaid.
    `resume_after` is the number of the last event it has, '' for none. `headers` are
    those passed on as they are.
    """

    id: str
    host: str
    wait_ms: int | None
    resume_after: str
    prompt: Prompt | None
    headers: tuple[tuple[str, str], ...]


class AttemptInfo(NamedTuple):
    """What the headers of an attempt at a target say beside those passed on.

    `target_id` is the only target that may run it, `left_ms` the time it has, `rank`
    its urgency from 0.
    """

    target_id: str
    left_ms: int
    rank: int
    resume_after: str


class ResponseInfo(NamedTuple):
    """What the headers of a target's answer say.

    `id` is the request it answers; `stamped` whether the target vouches for it;
    `not_run` whether the target says that it didn't run the request. `headers` are
    those passed on.
    """

    id: str
    stamped: bool
    not_run: bool
    headers: tuple[tuple[str, str], ...]


class ControlRequestKind(StrEnum):
    """Kinds of calls at the operators' interface."""

    PUT_PLAN = "put_plan"
    GET_PLAN = "get_plan"
    EVACUATE = "evacuate"
    TAKE_BACK = "take_back"
    HEARTBEAT = "heartbeat"
    LEAVE = "leave"
    ENTRIES = "entries"


class ControlRequest(NamedTuple):
    """One call at the operators', targets' or directory's interface.

    `name` is the failure domain, the target's id, or the caller's failure domain;
    `region` the caller's region, `host` the host that it wants to reach.
    """

    kind: ControlRequestKind
    name: str = ""
    region: str = ""
    host: str = ""


class Dialect:
    """Translates between the wire and the gateway's types; decides nothing."""

    def read_caller(self, head):
        """Return the `CallerInfo` of a request's `Head`."""
        raise NotImplementedError

    def attempt_headers(self, info, attempt):
        """Return the headers of an attempt: a `CallerInfo` and an `AttemptInfo`."""
        raise NotImplementedError

    def read_response(self, head):
        """Return the `ResponseInfo` of an answer's `AnswerHead`."""
        raise NotImplementedError

    def read_plan(self, document) -> RoutePlan:
        """Return the `RoutePlan` in the bytes of a document, or raise `SheetError`."""
        raise NotImplementedError

    def read_target(self, id_, document) -> TargetRecord | None:
        """Return the `TargetRecord` in a heartbeat, None if it can't be used."""
        raise NotImplementedError

    def read_control_request(self, method, target) -> ControlRequest | None:
        """Return the `ControlRequest` that a method and target mean, or None."""
        raise NotImplementedError

    def write_entries(self, addresses, ttl_s):
        """Return the document that answers a caller of the directory."""
        raise NotImplementedError

    def write_heartbeat_reply(self):
        """Return the document that acknowledges a heartbeat."""
        raise NotImplementedError

    def is_readiness(self, method, target):
        """Return whether a request asks if this VM is ready."""
        raise NotImplementedError
